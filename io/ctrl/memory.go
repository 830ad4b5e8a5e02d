package ctrl

import (
	"context"
	"slices"
	"time"

	"cardamomspool/core/roster"
)

// remembered is the file that keeps the targets over a restart, so that the
// system serves at once when all its processes have ended at the same moment,
// and does not wait for heartbeats.
type remembered struct {
	Targets []roster.Target `json:"targets"`
}

const (
	targetsFile = "targets"
	// rememberPeriod bounds how often the targets are written.
	rememberPeriod = 500 * time.Millisecond
)

// recall takes in the targets that this host knew before it was restarted.
// They count as heard now: those that have ended meanwhile show it by their
// failures, or expire.
func (f *fleet) recall() error {
	var m remembered
	if err := f.load(targetsFile, &m); err != nil {
		return err
	}
	now := time.Now()
	for i := range m.Targets {
		m.Targets[i].Heard = now
	}
	f.board.Hear(true, m.Targets...)
	f.host.log.Info("targets recalled", "targets", len(m.Targets))
	return nil
}

// remember writes the targets whenever they have changed, until ctx ends. A
// disk that fails or stalls delays nothing else.
func (f *fleet) remember(ctx context.Context) {
	ticker := time.NewTicker(rememberPeriod)
	defer ticker.Stop()
	var written []roster.Target
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		list := f.board.Targets()
		if slices.EqualFunc(list, written, sameUse) {
			continue
		}
		if err := f.host.folder.Save(targetsFile, remembered{Targets: list}); err != nil {
			f.host.log.Error("targets not remembered", "error", err)
			continue
		}
		written = list
	}
}

// sameUse reports whether a and b are used alike.
func sameUse(a, b roster.Target) bool {
	return a.ID == b.ID && a.State == b.State && a.Born.Equal(b.Born) && a.Address == b.Address
}

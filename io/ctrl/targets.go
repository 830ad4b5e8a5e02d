package ctrl

import (
	"context"
	"slices"
	"time"

	"cardamomspool/core/roster"
)

// savedTargets is the content of the file that persists the known targets.
// Control hosts read it at startup so that the system serves at once, without
// waiting for heartbeats, when all its processes were restarted together.
type savedTargets struct {
	Targets []roster.Target `json:"targets"`
}

const (
	targetsFile = "targets"
	// saveTargetsPeriod is the minimum time between two writes of the targets.
	saveTargetsPeriod = 500 * time.Millisecond
)

// loadTargets loads the targets that this host knew before it was restarted.
// Their leases start now: a target that has ended in the meantime is detected by
// failed attempts or when its lease expires.
func (f *fleet) loadTargets() error {
	var m savedTargets
	if err := f.load(targetsFile, &m); err != nil {
		return err
	}
	now := time.Now()
	for i := range m.Targets {
		m.Targets[i].Heard = now
	}
	f.state.UpdateTargets(true, m.Targets...)
	f.host.log.Info("targets recalled", "targets", len(m.Targets))
	return nil
}

// saveTargets writes the targets to disk whenever they have changed, at most
// once per saveTargetsPeriod, until ctx ends. It runs in its own goroutine, so a
// disk that fails or stalls delays nothing else.
func (f *fleet) saveTargets(ctx context.Context) {
	ticker := time.NewTicker(saveTargetsPeriod)
	defer ticker.Stop()
	var written []roster.Target
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		list := f.state.Targets()
		if slices.EqualFunc(list, written, sameRouting) {
			continue
		}
		if err := f.host.folder.Save(targetsFile, savedTargets{Targets: list}); err != nil {
			f.host.log.Error("targets not saved", "error", err)
			continue
		}
		written = list
	}
}

// sameRouting reports whether a and b are equal in the fields whose change is
// worth a write to disk: ID, state, start time and address.
func sameRouting(a, b roster.Target) bool {
	return a.ID == b.ID && a.State == b.State && a.Born.Equal(b.Born) && a.Address == b.Address
}

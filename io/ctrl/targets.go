package ctrl

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/roster"
)

type (
	// savedTargets is the content of the file that persists the known targets.
	// Control hosts read it at startup so that the system serves at once, without
	// waiting for heartbeats, when all its processes were restarted together.
	savedTargets struct {
		Targets []roster.Target `json:"targets"`
	}

	// targetSaves hands out the writes of the targets, each of which serves all
	// requests that were made before it began.
	targetSaves struct {
		wanted chan struct{} // Holds a value when a write was requested.

		mu      sync.Mutex
		pending *targetSave // The next write.
	}

	// targetSave is one write of the targets. err is valid once done is closed.
	targetSave struct {
		done chan struct{}
		err  error
	}
)

const (
	targetsFile = "targets"
	// saveTargetsPeriod is the minimum time between two writes of the targets.
	saveTargetsPeriod = 500 * time.Millisecond
)

// loadTargets loads the targets that this host knew before it was restarted.
// Their leases start now: a target that has ended in the meantime is detected by
// failed attempts or when its lease expires. Targets that an earlier build has stored and
// this one refuses are left out.
func (f *fleet) loadTargets() error {
	var m savedTargets
	if err := f.load(targetsFile, &m); err != nil {
		return err
	}
	now := time.Now()
	for i := range m.Targets {
		m.Targets[i].Heard = now
	}
	m.Targets = slices.DeleteFunc(m.Targets, func(t roster.Target) bool {
		err := t.Validate()
		if err != nil {
			f.host.log.Error("stored target refused", "target", t.ID, "error", err)
		}
		return err != nil
	})
	f.state.UpdateTargets(true, m.Targets...)
	f.host.log.Info("targets recalled", "targets", len(m.Targets))
	return nil
}

// noteCold tells the other hosts that a target is cold until a time, by an answer to a probe of
// this host. The target's next heartbeat may come a second later, and a control host that begins
// to decide before that sends it as many calls as a warm one until its own probe is answered.
func (f *fleet) noteCold(target string, until time.Time) {
	t, known := f.state.Target(target)
	if !known || until.Sub(t.WarmAt) <= roster.WarmTolerance {
		return // The other hosts know it.
	}
	t.WarmAt = until
	f.state.UpdateTargets(true, t)
}

// saveTargets writes the targets to disk whenever they have changed, at most
// once per saveTargetsPeriod, and at once when persistTargets asks for it, until ctx
// ends. It runs in its own goroutine, so a disk that fails or stalls delays nothing
// else.
func (f *fleet) saveTargets(ctx context.Context) {
	ticker := time.NewTicker(saveTargetsPeriod)
	defer ticker.Stop()
	var written []roster.Target
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.saves.wanted:
		}
		save := f.saves.next()
		list := f.state.Targets()
		if !slices.EqualFunc(list, written, sameRouting) {
			if save.err = f.host.folder.Save(targetsFile, savedTargets{Targets: list}); save.err == nil {
				written = list
			} else {
				f.host.log.Error("targets not saved", "error", save.err)
			}
		}
		close(save.done)
	}
}

// persistTargets returns when the targets that are known now are on disk, and an error
// when ctx ends before that or they cannot be written.
func (f *fleet) persistTargets(ctx context.Context) error {
	save := f.saves.request()
	select {
	case <-save.done:
		return errors.Wrap(save.err, "control: targets not saved")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "control: targets not saved in time")
	}
}

// newTargetSaves returns targetSaves without a requested write.
func newTargetSaves() *targetSaves {
	return &targetSaves{wanted: make(chan struct{}, 1), pending: newTargetSave()}
}

func newTargetSave() *targetSave {
	return &targetSave{done: make(chan struct{})}
}

// request returns the next write, which begins after the call.
func (s *targetSaves) request() *targetSave {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case s.wanted <- struct{}{}:
	default:
	}
	return s.pending
}

// next returns the write that begins now; later requests wait for another one.
func (s *targetSaves) next() *targetSave {
	s.mu.Lock()
	defer s.mu.Unlock()
	save := s.pending
	s.pending = newTargetSave()
	return save
}

// sameRouting reports whether a and b are equal in the fields whose change is
// worth a write to disk: ID, state, start time and address.
func sameRouting(a, b roster.Target) bool {
	return a.ID == b.ID && a.State == b.State && a.Born.Equal(b.Born) && a.Address == b.Address
}

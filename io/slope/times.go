package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
	"cardamomspool/io/fetch"
	"cardamomspool/io/load"
)

type (
	// Quantiles are the quantiles of the times of a repeated measurement.
	Quantiles struct {
		// Count is the number of measured times.
		Count int
		// P50, P99 and Max are in milliseconds.
		P50, P99, Max float64
	}

	// targetList is the part of an entry host's list of targets that is read here.
	targetList struct {
		Targets []struct {
			Name  string `json:"name"`
			State string `json:"state"`
		} `json:"targets"`
	}
)

const (
	// forceTimeout bounds the wait until a change is accepted, and each wait until a
	// change or a state of a target has reached all entry hosts.
	forceTimeout           = 30 * time.Second
	forcePollInterval      = 2 * time.Millisecond
	changeAttemptTimeout   = 3 * time.Second
	changesPerKill         = 50 // Changes from one kill of a control host to the next.
	changesWhileDown       = 25 // Changes from a kill to the restart.
	statePollInterval      = 5 * time.Millisecond
	announceAttemptTimeout = 700 * time.Millisecond
	maxKillDelay           = 2500 * time.Microsecond
)

// ChangeTimes makes changes one after the other and measures the time from each
// request until the change is in force on all of 14 entry hosts. With kills,
// one control host is killed every 50 changes and started again 25 changes
// later.
func (r *Runner) ChangeTimes(ctx context.Context, changes int, kills bool) (Quantiles, error) {
	var times []time.Duration
	err := r.withFleet(ctx, controlEntryHosts, 36, 4, func(f *fleet) error {
		for i := range changes {
			if kills {
				if err := f.killOrRestart(i); err != nil {
					return err
				}
			}
			begin := time.Now()
			if err := f.changeUntilAccepted(ctx, i); err != nil {
				return err
			}
			// The changed document is at revision i+2, the three others at 1.
			if err := f.waitRevisions(ctx, i+2+3); err != nil {
				return err
			}
			times = append(times, time.Since(begin))
		}
		return nil
	})
	return quantiles(times), err
}

// quantiles sorts times and returns their quantiles, or all zeros without times.
func quantiles(times []time.Duration) Quantiles {
	if len(times) == 0 {
		return Quantiles{}
	}
	slices.Sort(times)
	return Quantiles{
		Count: len(times), P50: load.Quantile(times, 0.5), P99: load.Quantile(times, 0.99), Max: load.Quantile(times, 1),
	}
}

// killOrRestart kills a control host, or restarts the killed one, if that is due at the
// i-th change.
func (f *fleet) killOrRestart(i int) error {
	p := f.controls[i/changesPerKill%len(f.controls)]
	switch i % changesPerKill {
	case changesPerKill - changesWhileDown:
		return p.kill()
	case 0:
		if i > 0 {
			return f.controls[(i/changesPerKill-1)%len(f.controls)].restart()
		}
	}
	return nil
}

// changeUntilAccepted makes the i-th change of the first document. It retries at one
// control host after another, with the same idempotency key, until the change is
// accepted or forceTimeout has passed.
func (f *fleet) changeUntilAccepted(ctx context.Context, i int) error {
	doc := document(0)
	doc.Hold.Length = 1 + i%spec.MaxHoldLength
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	for attempt := 0; ; attempt++ {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, changeAttemptTimeout)
		err := f.applyAt(attemptCtx, f.controls[(i+attempt)%len(f.controls)], doc, uint64(i+1), fmt.Sprintf("change-%d", i))
		cancelAttempt()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		if err := sleep(ctx, forcePollInterval); err != nil {
			return err
		}
	}
}

// waitRevisions waits until, on every entry host, the revisions that are in force of
// all documents add up to sum or more, for forceTimeout at most.
func (f *fleet) waitRevisions(ctx context.Context, sum int) error {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	for _, p := range f.entries {
		for {
			var state struct {
				Documents struct {
					Revisions int `json:"revisions"`
				} `json:"documents"`
			}
			err := fetch.JSON(ctx, fmt.Sprintf("http://%s/debug/vars", p.admin), &state)
			if err == nil && state.Documents.Revisions >= sum {
				break
			}
			if err := sleep(ctx, forcePollInterval); err != nil {
				return errors.Wrapf(err, "slope: the revisions in force at %s add up to %d, not %d", p.admin, state.Documents.Revisions, sum)
			}
		}
	}
	return nil
}

// LeavingTimes announces, in each trial, to one of 14 entry hosts that a target
// is leaving, and kills that entry host 0 to 2.5 ms later. It measures the time from
// the announcement until all other entry hosts see the target as leaving. If the killed
// host does not answer, the announcement is repeated to the next one, as
// docs/TARGETS.md specifies for targets.
func (r *Runner) LeavingTimes(ctx context.Context, trials int) (Quantiles, error) {
	return r.leavingTimes(ctx, controlEntryHosts, trials)
}

func (r *Runner) leavingTimes(ctx context.Context, entries, trials int) (Quantiles, error) {
	var times []time.Duration
	err := r.withFleet(ctx, entries, 36, 4, func(f *fleet) error {
		for i := range trials {
			d, err := f.measureLeaving(ctx, i, trials)
			if err != nil {
				return err
			}
			times = append(times, d)
		}
		return nil
	})
	return quantiles(times), err
}

// measureLeaving runs the i-th of a number of trials of LeavingTimes and returns the
// measured time.
func (f *fleet) measureLeaving(ctx context.Context, i, trials int) (time.Duration, error) {
	a := wire.Announcement{
		Service: document(0).Name, Target: fmt.Sprintf("leaver-%d", i), DataCentre: "lab",
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(30000+i)), State: "ready", Incarnation: 1, Slots: 3,
	}
	victim := i % len(f.entries)
	if err := f.sendAnnouncement(ctx, victim, a); err != nil {
		return 0, err
	}
	if err := f.waitState(ctx, victim, a.Target, "ready"); err != nil {
		return 0, err
	}
	a.State = "leaving"
	begin := time.Now()
	done := make(chan error, 1)
	go func() { done <- f.sendAnnouncement(ctx, victim, a) }()
	time.Sleep(maxKillDelay * time.Duration(i) / time.Duration(trials))
	if err := f.entries[victim].kill(); err != nil {
		return 0, err
	}
	if err := <-done; err != nil {
		if err = f.sendAnnouncement(ctx, (victim+1)%len(f.entries), a); err != nil {
			return 0, err
		}
	}
	if err := f.waitState(ctx, victim, a.Target, "leaving"); err != nil {
		return 0, err
	}
	took := time.Since(begin)
	if err := f.entries[victim].restart(); err != nil {
		return 0, err
	}
	return took, f.waitState(ctx, -1, a.Target, "leaving")
}

// sendAnnouncement sends one announcement to one entry host.
func (f *fleet) sendAnnouncement(ctx context.Context, entry int, a wire.Announcement) error {
	data, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "slope: encode announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, announceAttemptTimeout)
	defer cancel()
	url := "http://" + f.settings[entry].AnnounceAddress.String() + wire.AnnouncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "slope: announce")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "slope: announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body) // Without the body the status has to do.
		return errors.Errorf("slope: announcement answered with %s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	return nil
}

// waitState waits until every entry host, except the one with index except, sees the
// target in the given state, for forceTimeout at most. An except of -1 excludes none.
func (f *fleet) waitState(ctx context.Context, except int, target, state string) error {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	for i, p := range f.entries {
		for i != except {
			var seen targetList
			err := fetch.JSON(ctx, fmt.Sprintf("http://%s/v1/targets", p.admin), &seen)
			if err == nil && seen.has(target, state) {
				break
			}
			if err := sleep(ctx, statePollInterval); err != nil {
				return errors.Wrapf(err, "slope: the entry host with index %d does not see target %s as %s", i, target, state)
			}
		}
	}
	return nil
}

// has reports whether the list holds the target with a state that begins with state,
// which further words may follow.
func (s *targetList) has(target, state string) bool {
	for _, t := range s.Targets {
		if t.Name == target && strings.HasPrefix(t.State, state) {
			return true
		}
	}
	return false
}

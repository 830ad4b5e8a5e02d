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
	// Times are the quantiles of a repeated measurement.
	Times struct {
		// Count is the number of times.
		Count int
		// P50, P99 and Most are in milliseconds.
		P50, P99, Most float64
	}

	// sighting is the part of an entry host's list of targets that is read.
	sighting struct {
		Targets []struct {
			Name  string `json:"name"`
			State string `json:"state"`
		} `json:"targets"`
	}
)

const (
	forceLimit   = 30 * time.Second
	forcePoll    = 2 * time.Millisecond
	changeTry    = 3 * time.Second
	killPeriod   = 50
	killDuration = 25
	leavePoll    = 5 * time.Millisecond
	leaveTry     = 700 * time.Millisecond
	leaveSpread  = 2500 * time.Microsecond
)

// Force makes changes one after the other and measures the time from each
// request to the moment at which every one of 14 entry hosts has it in force.
// With kills, one control host is killed every 50 changes and started again
// 25 changes later.
func (r *Runner) Force(ctx context.Context, changes int, kills bool) (Times, error) {
	var times []time.Duration
	err := r.withFleet(ctx, controlEntries, 36, 4, func(f *fleet) error {
		for i := range changes {
			if kills {
				if err := f.killInTurn(i); err != nil {
					return err
				}
			}
			begin := time.Now()
			if err := f.change(ctx, i); err != nil {
				return err
			}
			if err := f.waitRevisions(ctx, i+2+3); err != nil {
				return err
			}
			times = append(times, time.Since(begin))
		}
		return nil
	})
	return quantiles(times), err
}

func quantiles(times []time.Duration) Times {
	if len(times) == 0 {
		return Times{}
	}
	slices.Sort(times)
	return Times{
		Count: len(times), P50: load.Quantile(times, 0.5), P99: load.Quantile(times, 0.99), Most: load.Quantile(times, 1),
	}
}

// killInTurn kills or restarts a control host when it is time.
func (f *fleet) killInTurn(i int) error {
	p := f.controls[i/killPeriod%len(f.controls)]
	switch i % killPeriod {
	case killPeriod - killDuration:
		return p.kill()
	case 0:
		if i > 0 {
			return f.controls[(i/killPeriod-1)%len(f.controls)].restart()
		}
	}
	return nil
}

// change makes the i-th change of the first document through any control host,
// with one request identity until it is accepted.
func (f *fleet) change(ctx context.Context, i int) error {
	doc := document(0)
	doc.Hold.Length = 1 + i%spec.MaxHoldLength
	ctx, cancel := context.WithTimeout(ctx, forceLimit)
	defer cancel()
	for try := 0; ; try++ {
		attempt, end := context.WithTimeout(ctx, changeTry)
		err := f.applyAt(attempt, f.controls[(i+try)%len(f.controls)], doc, uint64(i+1), fmt.Sprintf("change-%d", i))
		end()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		if err := sleep(ctx, forcePoll); err != nil {
			return err
		}
	}
}

// waitRevisions waits until the revisions in force on every entry host add up
// to sum.
func (f *fleet) waitRevisions(ctx context.Context, sum int) error {
	ctx, cancel := context.WithTimeout(ctx, forceLimit)
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
			if err := sleep(ctx, forcePoll); err != nil {
				return errors.Wrapf(err, "slope: %s has revisions %d in force, not %d", p.admin, state.Documents.Revisions, sum)
			}
		}
	}
	return nil
}

// Leaving kills, in each trial, the entry host that hears a target leave, 0 to
// 2.5 ms after it was sent the announcement, and measures the time until every
// other one of 14 entry hosts knows. A target without an answer repeats itself
// to the next address, as docs/TARGETS.md tells it.
func (r *Runner) Leaving(ctx context.Context, trials int) (Times, error) {
	return r.leaving(ctx, controlEntries, trials)
}

func (r *Runner) leaving(ctx context.Context, entries, trials int) (Times, error) {
	var times []time.Duration
	err := r.withFleet(ctx, entries, 36, 4, func(f *fleet) error {
		for i := range trials {
			d, err := f.leave(ctx, i, trials)
			if err != nil {
				return err
			}
			times = append(times, d)
		}
		return nil
	})
	return quantiles(times), err
}

func (f *fleet) leave(ctx context.Context, i, trials int) (time.Duration, error) {
	a := wire.Announcement{
		Service: document(0).Name, Target: fmt.Sprintf("leaver-%d", i), DataCentre: "lab",
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(30000+i)), State: "ready", Incarnation: 1, Slots: 3,
	}
	victim := i % len(f.entries)
	if err := f.tell(ctx, victim, a); err != nil {
		return 0, err
	}
	if err := f.waitState(ctx, victim, a.Target, "ready"); err != nil {
		return 0, err
	}
	a.State = "leaving"
	begin := time.Now()
	done := make(chan error, 1)
	go func() { done <- f.tell(ctx, victim, a) }()
	time.Sleep(leaveSpread * time.Duration(i) / time.Duration(trials))
	if err := f.entries[victim].kill(); err != nil {
		return 0, err
	}
	if err := <-done; err != nil {
		if err = f.tell(ctx, (victim+1)%len(f.entries), a); err != nil {
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

// tell sends one announcement to one entry host.
func (f *fleet) tell(ctx context.Context, entry int, a wire.Announcement) error {
	data, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "slope")
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTry)
	defer cancel()
	url := "http://" + f.settings[entry].AnnounceAddress.String() + wire.AnnouncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "slope")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "slope: announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body) // The status says enough without it.
		return errors.Errorf("slope: announcement answered with %s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	return nil
}

// waitState waits until every entry host but the one at index but sees the
// target in a state.
func (f *fleet) waitState(ctx context.Context, but int, target, state string) error {
	ctx, cancel := context.WithTimeout(ctx, forceLimit)
	defer cancel()
	for i, p := range f.entries {
		for i != but {
			var seen sighting
			err := fetch.JSON(ctx, fmt.Sprintf("http://%s/v1/targets", p.admin), &seen)
			if err == nil && seen.has(target, state) {
				break
			}
			if err := sleep(ctx, leavePoll); err != nil {
				return errors.Wrapf(err, "slope: entry %d does not see %s %s", i, target, state)
			}
		}
	}
	return nil
}

func (s *sighting) has(target, state string) bool {
	for _, t := range s.Targets {
		if t.Name == target && strings.HasPrefix(t.State, state) {
			return true
		}
	}
	return false
}

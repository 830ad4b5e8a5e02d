package soak

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// limitRate is the limit that the last target names, in calls a second.
	limitRate = 4.0
	// In each limitWindow, a target may get limitTolerance times what its limit allows
	// and limitSlack calls more. This holds from limitDelay after its start.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	limitDelay     = 3 * time.Second
)

// arrivalsFile returns the path of the file to which the target with the given record
// file writes when its calls arrive.
func arrivalsFile(record string) string {
	return record + ".arrivals"
}

// formatArrival returns the line that tells when a call arrived.
func formatArrival(at time.Time) string {
	return strconv.FormatInt(at.UnixMilli(), 10) + "\n"
}

// readArrivals reads a file written with formatArrival.
func readArrivals(name string) ([]time.Time, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "soak: arrivals")
	}
	defer file.Close()
	var arrivals []time.Time
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		ms, parseErr := strconv.ParseInt(lines.Text(), 10, 64)
		if parseErr != nil {
			return nil, errors.Wrapf(parseErr, "soak: arrivals in %s", name)
		}
		arrivals = append(arrivals, time.UnixMilli(ms))
	}
	return arrivals, errors.Wrap(lines.Err(), "soak: arrivals")
}

// checkLimit adds a fault for each limitWindow in which the arrivals at a target, from
// from on, exceed its limit. excused returns the number of calls that are allowed in
// addition between two times.
func (r *Report) checkLimit(target string, arrivals []time.Time, from time.Time, excused func(begin, end time.Time) int) {
	for i, begin := range arrivals {
		if begin.Before(from) {
			continue
		}
		end, n := begin.Add(limitWindow), 0
		for _, at := range arrivals[i:] {
			if at.Before(end) {
				n++
			}
		}
		allowed := int(limitTolerance*limitRate*limitWindow.Seconds()) + limitSlack + excused(begin, end)
		if n > allowed {
			r.OverLimit++
			r.Faults = append(r.Faults, fmt.Sprintf("%s got %d calls in %s from %s, %d allowed", target, n, limitWindow, begin.Format(time.StampMilli), allowed))
			return // The windows that begin soon after it say the same.
		}
	}
}

// excusedCalls returns the calls that a limited target may get beyond its limit between
// begin and end because of faults: an entry host that has started anew or thawed sends as
// many as the target has slots until it is told again, and a relay that held calls back
// delivers them at once.
func (s *Soak) excusedCalls(begin, end time.Time) int {
	n := 0
	for _, p := range s.entries {
		p.mu.Lock()
		for _, list := range [][]interval{p.outages, p.stops} {
			for _, fault := range list {
				if overlaps([]interval{fault}, begin, end) {
					n += targetSlots
				}
			}
		}
		p.mu.Unlock()
	}
	for _, r := range s.callRelays {
		r.mu.Lock()
		if overlaps(r.disturbances, begin, end) {
			n += targetSlots * len(s.entries)
		}
		r.mu.Unlock()
	}
	return n
}

// checkLimits checks the arrivals at the limited target.
func (s *Soak) checkLimits(report *Report) error {
	i := len(s.targets) - 1
	arrivals, err := readArrivals(arrivalsFile(s.recordFiles[i]))
	if err != nil {
		return err
	}
	if len(arrivals) > 0 {
		report.checkLimit(s.targets[i].name, arrivals, arrivals[0].Add(limitDelay), s.excusedCalls)
	}
	return nil
}

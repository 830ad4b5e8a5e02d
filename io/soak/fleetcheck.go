package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// fleetContact is how long after a freeze an entry host may be out of touch: its streams end
	// after 1.6 s without an update.
	fleetContact = 2 * time.Second
	// keyDelay is the time in which control hosts learn of an acknowledged plan and spread it.
	// Until then, an entry host does not know that its plan is out of date.
	keyDelay = time.Second
)

// report compares what callers, targets and operators observed.
func (f *Fleet) report() Report {
	runs, seen := make(map[string]int), make(map[string][]sighting)
	for _, t := range f.servers {
		t.mu.Lock()
		for _, a := range t.arrivals {
			runs[a.id]++
			seen[a.id] = append(seen[a.id], a.sighting)
		}
		t.mu.Unlock()
	}
	report := check(f.callRecords, runs, func(c *callRecord) bool {
		return !f.plain && c.outcome != "" || c.entry.hadOutage(c.begin, c.end)
	})
	report.ByStatus = make(map[int]int)
	for i := range f.callRecords {
		c := &f.callRecords[i]
		report.ByStatus[c.status]++
		if c.status == http.StatusNotFound {
			report.addFault(&report.NotFound, c, "was answered 404")
		}
	}
	if !f.plain {
		report.checkKeys(f.callRecords, seen)
		f.checkAddedKeys(&report)
		f.checkEvacuations(&report)
		f.checkQuota(&report)
		for _, t := range f.servers {
			report.checkCold(t)
		}
	}
	report.Changes, report.Orders, report.LostChanges = len(f.changes), len(f.orders), len(f.lost)
	report.Faults = append(report.Faults, f.lost...)
	f.addTimeline(&report)
	return report
}

// checkAddedKeys adds a fault for each call that was answered 401 though its key was in force
// from keyDelay before its beginning to its end.
func (f *Fleet) checkAddedKeys(r *Report) {
	for i := range f.callRecords {
		c := &f.callRecords[i]
		if c.status != http.StatusUnauthorized || c.key.account != changingAccount {
			continue
		}
		for n := range f.changes {
			last := n+1 == len(f.changes) || f.changes[n+1].sent.After(c.end)
			if added := f.changes[n].acknowledged; changingKey(n) == c.key.text && !added.IsZero() && added.Add(keyDelay).Before(c.begin) && last {
				r.addFault(&r.ValidRefused, c, fmt.Sprintf("was refused with a key that came into force %s before", c.begin.Sub(added)))
			}
		}
	}
}

// checkEvacuations adds a fault for each call that reached an evacuated data centre while it had
// to be empty, from an entry host that had not been frozen shortly before.
func (f *Fleet) checkEvacuations(r *Report) {
	entries := make(map[string]*callRecord)
	for i := range f.callRecords {
		entries[f.callRecords[i].id] = &f.callRecords[i]
	}
	for _, t := range f.servers {
		if t.dataCentre != evacuatedDataCentre {
			continue
		}
		for _, a := range t.arrivals {
			for i := 0; i < len(f.orders); i += 2 {
				order := f.orders[i]
				if order.acknowledged.IsZero() || a.at.Before(order.acknowledged.Add(evacuationDelay)) || i+1 < len(f.orders) && !a.at.Before(f.orders[i+1].sent) {
					continue
				}
				if c := entries[a.id]; c != nil && !c.entry.hadOutage(a.at.Add(-fleetContact), a.at) {
					r.addFault(&r.Evacuated, c, fmt.Sprintf("reached %s %s after the order was acknowledged", t.name, a.at.Sub(order.acknowledged)))
				}
			}
		}
	}
}

// checkQuota adds a fault if the limited account got more calls in a window than its quota.
func (f *Fleet) checkQuota(r *Report) {
	var arrivals []time.Time
	for _, t := range f.servers {
		for _, a := range t.arrivals {
			if a.account == limitedAccount {
				arrivals = append(arrivals, a.at)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	r.WorstQuota = mostIn(arrivals, quotaWindow)
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOvershoot) + quotaSlack
	if float64(r.WorstQuota) > bound {
		r.Faults = append(r.Faults, fmt.Sprintf("account %s got %d calls in %s, %.1f allowed", limitedAccount, r.WorstQuota, quotaWindow, bound))
	}
}

// checkCold adds a fault if the target got more calls in a second than it takes while it is cold.
func (r *Report) checkCold(t *fleetTarget) {
	bound := warmRate*warmOvershoot + warmSlack
	for _, cold := range t.cold {
		var arrivals []time.Time
		for _, a := range t.arrivals {
			if !a.at.Before(cold.begin) && a.at.Before(cold.end) {
				arrivals = append(arrivals, a.at)
			}
		}
		slices.SortFunc(arrivals, time.Time.Compare)
		most := mostIn(arrivals, time.Second)
		r.WorstCold = max(r.WorstCold, most)
		if float64(most) > bound {
			r.Faults = append(r.Faults, fmt.Sprintf("%s got %d calls in a second while cold, from %s, %.1f allowed", t.name, most, cold.begin.Format(time.StampMilli), bound))
		}
	}
}

// mostIn returns the largest number of the given times, in order, in any window.
func mostIn(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

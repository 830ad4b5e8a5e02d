package main

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case lost: the aim, the route's timeout and the clients' deadline are those of
// szallitas-lekeres, whose work takes up to 4,800 ms by the site file.
const (
	lostAimMs     = 1500
	lostTimeoutMs = 4000
	lostDeadline  = 8 * time.Second
	lostShort     = 100 * time.Millisecond
	lostLong      = 3600 * time.Millisecond
	// lostLonger is the work of the requests that keep the other server busy.
	lostLonger = 4500 * time.Millisecond
	lostSlots  = 3
	lostIdle   = 1500 * time.Millisecond // Before a kept connection is used again.
	// lostSettle is the time from the start to the requests: a control host that has just started
	// grants no second attempts for the window of the retry budget.
	lostSettle = 12 * time.Second
	// lostStop is the time from the first long request to the SIGTERM.
	lostStop  = 3300 * time.Millisecond
	lostGrace = 7 * time.Second // gracePeriodS and one second.
)

// lostAtStop stops an entry host while its requests are at work at a server, and counts those
// that end with an answer of the host's own though their server was at work on them.
func lostAtStop(rec *recorder, trouble bool) int {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return notRun
	}
	defer d.stop()
	if err = d.start(); err != nil {
		return notRun
	}
	routes := []route{{Name: "r-status", Host: testHost, Prefix: lookupRoute, Type: "safe", Service: lookup, TimeoutMs: lostTimeoutMs, AimMs: lostAimMs, Attempts: 2}}
	if d.put(configBody(7, routes, []string{lookup}, usualLimits)) != http.StatusOK {
		return notRun
	}
	const first = "i-7f3a91c2"
	var (
		mu   sync.Mutex
		cut  = make(map[string]time.Time) // The requests whose connection was closed while they were at work.
		long atomic.Bool
	)
	work := func(s *server, w http.ResponseWriter, r *http.Request) bool {
		time.Sleep(time.Millisecond)
		id, took := r.Header.Get(word("id")), lostShort
		if long.Load() {
			took = lostLong
			if s.id != first {
				took = lostLonger
			}
		}
		select {
		case <-time.After(took):
		case <-r.Context().Done():
			mu.Lock()
			cut[id] = time.Now()
			mu.Unlock()
			rec.note("cut", "id=%s server=%s was at work on it", id, s.id)
			return true
		}
		w.Header().Set(word("signature"), "sig-"+id)
		_, _ = io.WriteString(w, "answer "+id+" \n")
		return true
	}
	if _, err = d.addServer(first, lookup, d.ip(41), 0, withSlots(lostSlots), onRun(work)); err != nil {
		return notRun
	}
	if !d.awaitReady(15 * time.Second) {
		return notRun
	}
	time.Sleep(lostSettle)
	host := d.entries[0]
	var (
		group sync.WaitGroup
		ok    atomic.Int64
	)
	for range lostSlots {
		group.Go(func() {
			if a := d.send(host, http.MethodGet, testHost, lookupRoute+"2f", newID(), lostDeadline, "", ""); a.status == http.StatusOK {
				ok.Add(1)
			}
		})
	}
	group.Wait()
	if _, err = d.addServer("i-02d9e6b4", lookup, d.ip(42), 0, withSlots(lostSlots), onRun(work)); err != nil {
		return notRun
	}
	time.Sleep(lostIdle)
	long.Store(true)
	var (
		stopped time.Time
		lost    atomic.Int64
	)
	begin := time.Now()
	for range 2 * lostSlots {
		group.Go(func() {
			id := newID()
			rec.note("sent", "id=%s GET to %s", id, host.name)
			a := d.send(host, http.MethodGet, testHost, lookupRoute+"2f", id, lostDeadline, "", "")
			end := time.Now()
			rec.note("answered", "id=%s %s", id, a)
			mu.Lock()
			defer mu.Unlock()
			at, wasCut := cut[id]
			switch {
			case a.status == http.StatusOK && a.signature != "":
				ok.Add(1)
			case wasCut && a.signature == "" && !stopped.IsZero() && end.After(stopped) && end.Before(stopped.Add(lostGrace)) && end.Sub(begin) < lostTimeoutMs*time.Millisecond:
				lost.Add(1)
				rec.note("lost", "id=%s was broken off at its server and got %d %s after the SIGTERM; the break was %s after it", id, a.status, end.Sub(stopped), at.Sub(stopped))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(lostStop)))
	if trouble {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		rec.note("fault", "SIGTERM to %s", host.name)
		host.signal(syscall.SIGTERM)
	}
	group.Wait()
	rec.note("judge", "%d requests were broken off at a server and answered by the host itself around its stop; %d were served", lost.Load(), ok.Load())
	switch {
	case lost.Load() > 0:
		return broken
	case ok.Load() == 0:
		return notRun
	}
	return held
}

package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case foreign.
const (
	drainTime    = 2 * time.Second // drainMs.
	foreignWork  = 150 * time.Millisecond
	foreignSlots = 3
	foreignPause = 30 * time.Millisecond // Between two requests: more than one server can run.
	// foreignAhead is by how much the count of the other writer is ahead.
	foreignAhead = 500
	// foreignWait is the time from the other writer's heartbeat to the departure: the server goes
	// on with heartbeats of its own.
	foreignWait = 6 * time.Second
	// foreignServes is how long the server that leaves goes on after its acknowledgement.
	foreignServes = 8 * time.Second
)

// foreign has another writer send one heartbeat with fields missing in the name of a server.
// The server then says that it is draining, which is acknowledged. It counts the requests that
// reach the server later than drainMs after that.
func foreign(rec *recorder, trouble bool) int {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return notRun
	}
	defer d.stop()
	if err = d.start(); err != nil {
		return notRun
	}
	if d.put(configBody(7, testRoutes(), testServices, usualLimits)) != http.StatusOK {
		return notRun
	}
	var (
		acknowledged atomic.Int64 // In Unix nanoseconds; 0 before.
		late, runs   atomic.Int64
	)
	count := func(_ *server, _ http.ResponseWriter, r *http.Request) bool {
		runs.Add(1)
		if at := acknowledged.Load(); at != 0 {
			if after := time.Since(time.Unix(0, at)); after > drainTime {
				late.Add(1)
				rec.note("late", "id=%s reaches the server %s after the acknowledgement", r.Header.Get(word("id")), after.Round(time.Millisecond))
			}
		}
		return false
	}
	leaver, err := d.addServer("i-7f3a91c2", lookup, d.ip(41), foreignWork, withSlots(foreignSlots), onRun(count))
	if err != nil {
		return notRun
	}
	if _, err = d.addServer("i-02d9e6b4", lookup, d.ip(42), foreignWork, withSlots(foreignSlots)); err != nil {
		return notRun
	}
	if !d.awaitReady(15 * time.Second) {
		return notRun
	}
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var served atomic.Int64
	group.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(foreignPause):
			}
			group.Go(func() {
				id := newID()
				a := d.send(d.entries[i%len(d.entries)], http.MethodGet, testHost, lookupRoute+"2f", id, time.Second, "", "")
				rec.note("answered", "id=%s %s", id, a)
				if a.status == http.StatusOK {
					served.Add(1)
				}
			})
		}
	})
	time.Sleep(3 * time.Second)
	before := runs.Load()
	if trouble {
		body, _ := json.Marshal(map[string]any{ // Without a version and the time of warming up that is left.
			"service": lookup, "address": leaver.address, "zone": "buda-a", word("slots"): foreignSlots, "state": "ready",
			"sequence": leaver.sequence.Load() + foreignAhead, "born": leaver.born,
		})
		client := http.Client{Timeout: time.Second}
		status, answer, err := call(&client, http.MethodPut, "http://"+addr(d.controls[0].ip, d.front)+word("heartbeats")+leaver.id, body)
		rec.note("writer", "another writer sends %s: %d %s %v", body, status, clip(answer), err)
	}
	time.Sleep(foreignWait)
	leaver.state.Store("draining")
	if !leaver.beat() {
		rec.note("server", "draining was not acknowledged")
		return notRun
	}
	acknowledged.Store(time.Now().UnixNano())
	rec.note("server", "draining was acknowledged with 200")
	time.Sleep(foreignServes)
	close(stop)
	group.Wait()
	rec.note("judge", "%d requests reached the server later than %s after it was acknowledged as draining, %d before it drained, %d were served in all", late.Load(), drainTime, before, served.Load())
	switch {
	case before == 0 || served.Load() == 0:
		return notRun
	case late.Load() > 0:
		return broken
	}
	return held
}

// misroute has another writer send one heartbeat with fields missing in the name of a server, and
// with another service than the server's. It counts the orders that the server is given.
func misroute(rec *recorder, trouble bool) int {
	d, err := begin(rec)
	if err != nil {
		rec.note("error", "%v", err)
		return notRun
	}
	defer d.stop()
	victim := d.servers[0] // Of lookup.
	var wrong atomic.Int64
	victim.hook.Store(func(_ *server, _ http.ResponseWriter, r *http.Request) bool {
		if r.Method == http.MethodPost {
			wrong.Add(1)
		}
		return false
	})
	if trouble {
		body, _ := json.Marshal(map[string]any{ // Without a version and the time of warming up that is left.
			"service": orders, "address": victim.address, "zone": "buda-a", word("slots"): foreignSlots, "state": "ready",
			"sequence": victim.sequence.Load() + foreignAhead, "born": victim.born,
		})
		client := http.Client{Timeout: time.Second}
		status, answer, err := call(&client, http.MethodPut, "http://"+addr(d.controls[0].ip, d.front)+word("heartbeats")+victim.id, body)
		rec.note("writer", "another writer sends %s: %d %s %v", body, status, clip(answer), err)
		time.Sleep(time.Second)
	}
	c := d.batch("orders", 60, http.MethodPost, orderRoute+"2f", "", "order")
	rec.note("judge", "%d of %d orders were run by a server of %s", wrong.Load(), c.sent, lookup)
	switch {
	case wrong.Load() > 0:
		return broken
	case c.served == 0:
		return notRun
	}
	return held
}

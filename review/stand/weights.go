package main

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"
)

// Figures of the case weights.
const (
	weightsEntries = 6
	weightsPause   = 250 * time.Millisecond // Between two requests.
	weightsCount   = 260
	weightsChange  = time.Second // Between two changes.
	weightsOff     = 0.2         // Of the rule.
)

// weights has the operator change the timeout of one route every second. It counts which
// services run the requests of another route, whose split stays the same.
func weights(rec *recorder, trouble bool) int {
	d, err := newDeployment(rec, 3, weightsEntries)
	if err != nil {
		return notRun
	}
	defer d.stop()
	if err = d.start(); err != nil {
		return notRun
	}
	services := []string{"naptar", "katalogus", "rendeles", "fuvar"}
	share := []float64{0.7, 0.1, 0.1, 0.1}
	config := func(version int) map[string]any {
		c := configBody(version, []route{
			{Name: "r-split", Host: testHost, Prefix: "/cufi502/", Type: "upload", Service: services[0], TimeoutMs: 2500, AimMs: 600, Attempts: 2},
			{Name: "r-other", Host: testHost, Prefix: lookupRoute, Type: "safe", Service: services[1], TimeoutMs: 1000 + version, AimMs: 400, Attempts: 2},
		}, services, usualLimits)
		spec := c["resources"].([]any)[0].(map[string]any)["spec"].(map[string]any)
		delete(spec, "service")
		var split []any
		for i, name := range services {
			split = append(split, map[string]any{"service": name, "weight": 100 * share[i]})
		}
		spec[word("split")] = split
		return c
	}
	if d.put(config(7)) != http.StatusOK {
		return notRun
	}
	var mu sync.Mutex
	runs := make(map[string]int)
	for j, name := range services {
		for i := range 2 {
			count := func(s *server, _ http.ResponseWriter, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				defer mu.Unlock()
				runs[s.service]++
				return false
			}
			if _, err = d.addServer(fmt.Sprintf("i-%d%d", j, i), name, d.ip(41+10*j+i), 20*time.Millisecond, onRun(count)); err != nil {
				return notRun
			}
		}
	}
	if !d.awaitReady(20 * time.Second) {
		return notRun
	}
	time.Sleep(contact + time.Second)
	done := make(chan struct{})
	var group sync.WaitGroup
	changes := 0
	if trouble {
		group.Go(func() {
			for version := 9; ; version += 2 {
				select {
				case <-done:
					return
				case <-time.After(weightsChange):
				}
				if d.put(config(version)) == http.StatusOK {
					changes++
				}
			}
		})
	}
	served := 0
	for i := range weightsCount {
		id, p := newID(), d.entries[i%len(d.entries)]
		rec.note("sent", "id=%s POST /cufi502/2f to %s", id, p.name)
		a := d.send(p, http.MethodPost, testHost, "/cufi502/2f", id, time.Second, "", "upload")
		rec.note("answered", "id=%s %s", id, a)
		if a.status == http.StatusOK {
			served++
		}
		time.Sleep(weightsPause - min(a.took, weightsPause))
	}
	close(done)
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	off := 0.0
	for i, name := range services {
		got := float64(runs[name]) / float64(max(served, 1))
		rec.note("share", "%s got %.3f of %d requests, its weight says %.2f", name, got, served, share[i])
		off = max(off, math.Abs(got-share[i]))
	}
	rec.note("judge", "the shares are off by up to %.3f, %.1f is allowed; %d of %d requests were served, %d changes of another route", off, weightsOff, served, weightsCount, changes)
	switch {
	case served < 200:
		return notRun
	case off > weightsOff:
		return broken
	}
	return held
}

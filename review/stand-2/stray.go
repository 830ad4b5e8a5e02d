package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	strayHost     = "shop.example"
	strayWatch    = 25 * time.Second
	strayPause    = 200 * time.Millisecond
	strayDeadline = 2 * time.Second
	// minLaterRequests is the number of requests on routes added later from which the rule holds.
	minLaterRequests = 20
)

// strayHeartbeat plays a steady state with a first route and one that was added later, each with
// two sound servers. One heartbeat for each server of the second route comes from another writer: it
// names a service that no configuration names, and the address of that server.
func strayHeartbeat(b *bench) (bool, error) {
	controls := []int{1, 2, 3}
	if err := b.startFleet(len(controls), 1); err != nil {
		return false, err
	}
	serve := func(s *server, c net.Conn, r *http.Request) bool {
		s.began(r)
		return s.answer(c, r, http.StatusOK, "done")
	}
	var later []*server
	for i, service := range []string{"svc-first", "svc-first", "svc-later", "svc-later"} {
		s, err := b.startServer(i+1, b.ports.ready+10, fmt.Sprintf("i-%d", i+1), service, serve, controls...)
		if err != nil {
			return false, err
		}
		if service == "svc-later" {
			later = append(later, s)
		}
	}
	services := []string{"svc-first", "svc-later"}
	routes := []route{{name: "first", host: strayHost, prefix: "/first/", kind: "safe", service: "svc-first", timeout: strayDeadline, attempts: 2}}
	if err := b.put(1, configuration(1, routes, services, nil), readyTimeout, controls...); err != nil {
		return false, err
	}
	if err := b.awaitReady(1); err != nil {
		return false, err
	}
	routes = append(routes, route{name: "later", host: strayHost, prefix: "/later/", kind: "safe", service: "svc-later", timeout: strayDeadline, attempts: 2})
	if err := b.put(2, configuration(2, routes, services, nil), readyTimeout, controls...); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // The configuration is in force, and all hosts are in touch.
	if b.trouble {
		for i, s := range later {
			text, err := json.Marshal(map[string]any{
				"service": "svc-of-nobody", "address": s.address, "zone": "zone-a", "version": "v1", word("slots"): 6,
				"state": "ready", word("warm"): 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			if err != nil {
				return false, err
			}
			status, _ := b.call(http.MethodPut, 1, fmt.Sprintf("%sother-%d", word("heartbeats"), i), text, orderTimeout)
			b.record("stray", "heartbeat of other-%d for svc-of-nobody at %s, the address of %s: %d", i, s.address, s.id, status)
		}
	}
	time.Sleep(time.Second)
	sent, served := make(map[string]int), make(map[string]int)
	for end := time.Now().Add(strayWatch); time.Now().Before(end); time.Sleep(strayPause) {
		for _, name := range []string{"first", "later"} {
			id := fmt.Sprintf("%s-%d", name, sent[name])
			sent[name]++
			r := b.request(1, id, http.MethodGet, strayHost, "/"+name+"/x", "", strayDeadline)
			b.record("client", "%s: status %d, signed %t, error %v", id, r.status, r.signed, r.err)
			if r.status == http.StatusOK && r.signed {
				served[name]++
			}
		}
	}
	b.record("count", "first route: %d of %d served; route added later: %d of %d", served["first"], sent["first"], served["later"], sent["later"])
	if served["first"]*2 < sent["first"] || sent["later"] < minLaterRequests {
		return false, fmt.Errorf("the first route was not served well: %d of %d", served["first"], sent["first"])
	}
	first := float64(served["first"]) / float64(sent["first"])
	return float64(served["later"])/float64(sent["later"]) < first/4, nil
}

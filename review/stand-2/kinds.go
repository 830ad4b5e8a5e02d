package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	kindsOrders  = 20
	kindsApplied = 3 * time.Second // Longer than the bound for changes to be in force.
	kindsPause   = 50 * time.Millisecond
	kindsFirst   = 7
	kindsSecond  = 9
)

// misspeltKind sends a configuration in which the kind of one entry is misspelt, so that nobody can
// tell what the entry is.
func misspeltKind(b *bench) (bool, error) {
	controls := []int{1, 2, 3}
	if err := b.startFleet(len(controls), 1); err != nil {
		return false, err
	}
	serve := func(s *server, c net.Conn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		s.began(r)
		return s.answer(c, r, http.StatusOK, "done")
	}
	for i := 1; i <= 2; i++ {
		if _, err := b.startServer(i, b.ports.ready+10, fmt.Sprintf("i-%d", i), "svc-orders", serve, controls...); err != nil {
			return false, err
		}
	}
	services := []string{"svc-orders"}
	routes := []route{
		{name: "orders", host: strayHost, prefix: "/orders/", kind: "unsafe", service: "svc-orders", timeout: strayDeadline, attempts: 2},
		{name: "stock", host: strayHost, prefix: "/stock/", kind: "safe", service: "svc-orders", timeout: strayDeadline, attempts: 2},
	}
	if err := b.put(kindsFirst, configuration(kindsFirst, routes, services, nil), readyTimeout, controls...); err != nil {
		return false, err
	}
	if err := b.awaitReady(1); err != nil {
		return false, err
	}
	time.Sleep(kindsApplied)
	if served := b.order("before"); served < kindsOrders {
		return false, fmt.Errorf("only %d of %d orders were served before", served, kindsOrders)
	}
	text := configuration(kindsSecond, routes, services, nil)
	if b.trouble { // The first entry is the route for orders.
		text = bytes.Replace(text, []byte(`"routes"`), []byte(`"route"`), 1)
	}
	status, _ := b.call(http.MethodPut, 1, "/config", text, orderTimeout)
	b.record("operator", "PUT version %d to core-1: %d: %s", kindsSecond, status, text)
	time.Sleep(kindsApplied)
	version, served := b.get(2, proposeTimeout), b.order("after")
	b.record("count", "version %d is read back; %d of %d orders were served", version, served, kindsOrders)
	if !b.trouble {
		return served < kindsOrders || version != kindsSecond, nil
	}
	return status == http.StatusOK || version == kindsSecond, nil
}

// order sends orders and returns how many of them were served.
func (b *bench) order(phase string) int {
	served := 0
	for i := range kindsOrders {
		id := fmt.Sprintf("%s-%d", phase, i)
		r := b.request(1, id, http.MethodPost, strayHost, "/orders/x", "one", strayDeadline)
		b.record("client", "%s: status %d, signed %t, error %v", id, r.status, r.signed, r.err)
		if r.status == http.StatusOK && r.signed {
			served++
		}
		time.Sleep(kindsPause)
	}
	return served
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the small sites, and of the rules.
const (
	configApply = 2 * time.Second // configApplyMs.
	contact     = 3 * time.Second // contactMs.
	// deniedFew is the number of denied requests that the rule DENIED allows, besides one in 500.
	deniedFew = 5
)

const (
	testHost    = "hulo84.example"
	lookup      = "huvo11a"
	orders      = "wuno96b"
	lookupRoute = "/leny950/"
	orderRoute  = "/puka111/"
	addedRoute  = "/cufi502/"
)

var testServices = []string{lookup, orders}

// testRoutes are the routes that are in force from the start.
func testRoutes() []route {
	return []route{
		{Name: "r-hh2b9wu", Host: testHost, Prefix: lookupRoute, Type: "safe", Service: lookup, TimeoutMs: 1000, AimMs: 400, Attempts: 2},
		{Name: "r-3fexd9d", Host: testHost, Prefix: orderRoute, Type: "unsafe", Service: orders, TimeoutMs: 1200, AimMs: 500, Attempts: 2},
	}
}

// begin starts a deployment with three control and two entry hosts and three servers of each
// service, puts the first configuration in force and waits until all hosts are in touch.
func begin(rec *recorder) (*deployment, error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return nil, err
	}
	if err = d.start(); err != nil {
		d.stop()
		return nil, err
	}
	if status := d.put(configBody(7, testRoutes(), testServices, usualLimits)); status != http.StatusOK {
		d.stop()
		return nil, fmt.Errorf("the first configuration was answered with %d", status)
	}
	for i := range 3 {
		for j, service := range testServices {
			if _, err = d.addServer(fmt.Sprintf("i-%d%d", j, i), service, d.ip(41+10*j+i), 20*time.Millisecond); err != nil {
				d.stop()
				return nil, err
			}
		}
	}
	if !d.awaitReady(15 * time.Second) {
		d.stop()
		return nil, fmt.Errorf("the entry hosts are not ready")
	}
	time.Sleep(contact + time.Second)
	return d, nil
}

// counts are the answers to a number of requests.
type counts struct {
	sent, served, denied, other int
}

// batch sends n requests in turn to all entry hosts and counts the answers. A denied request
// got a status from 300 to 499 that no server has sent, other than 408, 421 and 429.
func (d *deployment) batch(what string, n int, method, uri, header, body string) counts {
	var c counts
	for i := range n {
		id, p := newID(), d.entries[i%len(d.entries)]
		d.rec.note("sent", "id=%s %s %s to %s, %s, %d bytes of header", id, method, uri, p.name, what, len(header))
		a := d.send(p, method, testHost, uri, id, time.Second, header, body)
		d.rec.note("answered", "id=%s %s", id, a)
		c.sent++
		switch {
		case a.status/100 == 2 && a.signature == "sig-"+id && strings.HasPrefix(a.body, "answer "+id+" "):
			c.served++
		case a.status >= 300 && a.status < 500 && a.signature == "" && a.status != 408 && a.status != 421 && a.status != 429:
			c.denied++
		default:
			c.other++
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.rec.note("count", "%s: %+v", what, c)
	return c
}

// fields returns header lines of n bytes or a little more, as cookies make them long.
func fields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "X-Session-%d: %s\r\n", i, strings.Repeat("c", 200))
	}
	return b.String()
}

// verdict notes and returns whether the rule DENIED holds for denied requests of all that were
// sent.
func (d *deployment) verdict(denied, sent, served int) int {
	allowed := deniedFew + sent/500
	d.rec.note("judge", "%d of %d requests were denied, %d are allowed, %d were served", denied, sent, allowed, served)
	switch {
	case denied > allowed:
		return broken
	case served == 0:
		return notRun
	}
	return held
}

// limitsRaised has the operator raise the longest header. Later, clients send longer ones
// within the new limit.
func limitsRaised(rec *recorder, trouble bool) int {
	d, err := begin(rec)
	if err != nil {
		rec.note("error", "%v", err)
		return notRun
	}
	defer d.stop()
	before := d.batch("header within the first limit", 20, http.MethodGet, lookupRoute+"2f", fields(12000), "")
	length := 12000
	if trouble {
		raised := usualLimits
		raised.HeaderBytes = 65536
		if d.put(configBody(9, testRoutes(), testServices, raised)) != http.StatusOK {
			return notRun
		}
		length = 48000
	}
	time.Sleep(configApply + time.Second)
	if status, v := d.get(0); status != http.StatusOK || v == nil {
		return notRun
	}
	after := d.batch("header within the limit in force", 40, http.MethodGet, lookupRoute+"2f", fields(length), "")
	return d.verdict(before.denied+after.denied, before.sent+after.sent, before.served+after.served)
}

// unreadable has the operator send a configuration of which one entry does not say what it
// is, so that it cannot be read in full. It must be refused, and must not come into force.
func unreadable(rec *recorder, trouble bool) int {
	d, err := begin(rec)
	if err != nil {
		rec.note("error", "%v", err)
		return notRun
	}
	defer d.stop()
	before := d.batch("first configuration", 20, http.MethodPost, orderRoute+"2f", "", "order")
	next := configBody(9, testRoutes(), testServices, usualLimits)
	if trouble {
		entry := next["resources"].([]any)[1].(map[string]any)
		delete(entry, word("kind"))
		rec.note("operator", "the entry of the route %s lacks %s", orderRoute, word("kind"))
	}
	status := d.put(next)
	time.Sleep(configApply + time.Second)
	held9 := 0.0
	if s, v := d.get(0); s == http.StatusOK && v != nil {
		held9, _ = v["version"].(float64)
	}
	after := d.batch("after the second configuration", 20, http.MethodPost, orderRoute+"2f", "", "order")
	rec.note("judge", "the second configuration was answered with %d, read back is version %v, %d of %d requests were denied before and %d of %d after it",
		status, held9, before.denied, before.sent, after.denied, after.sent)
	switch {
	case before.served == 0 || status == 0:
		return notRun
	case trouble && (status == http.StatusOK || held9 == 9):
		return broken
	case !trouble && (status != http.StatusOK || after.served == 0):
		return notRun
	}
	return held
}

// chunksAdded has the operator add a route for uploads. Its clients send bodies in chunks and
// headers within the limits.
func chunksAdded(rec *recorder, trouble bool) int {
	const chunked, body = "Transfer-Encoding: chunked\r\n", "5\r\norder\r\n0\r\n\r\n"
	return routeAdded(rec, trouble, addedUse{
		kind: "upload", service: orders,
		usual: func(d *deployment) counts {
			return d.batch("orders in chunks", 20, http.MethodPost, orderRoute+"2f", chunked, body)
		},
		added: func(d *deployment) counts {
			return d.batch("uploads on the added route, header within the limit", 40, http.MethodPost, addedRoute+"2f", fields(12000)+chunked, body)
		},
	})
}

// slashAdded has the operator add a route for photos. The names of some photos have a slash,
// which clients encode.
func slashAdded(rec *recorder, trouble bool) int {
	return routeAdded(rec, trouble, addedUse{
		kind: "safe", service: lookup,
		usual: func(d *deployment) counts {
			return d.batch("lookups", 20, http.MethodGet, lookupRoute+"neck%20reset", "", "")
		},
		added: func(d *deployment) counts {
			return d.batch("photos on the added route", 40, http.MethodGet, addedRoute+"top%2Fcrack.jpg", "", "")
		},
	})
}

// addedUse is how an added route is used, and what is sent before.
type addedUse struct {
	kind, service string
	usual, added  func(*deployment) counts
}

// routeAdded has the operator add a route, and its clients use it once it must be in force.
func routeAdded(rec *recorder, trouble bool, use addedUse) int {
	d, err := begin(rec)
	if err != nil {
		rec.note("error", "%v", err)
		return notRun
	}
	defer d.stop()
	sum := use.usual(d)
	if trouble {
		added := append(testRoutes(), route{Name: "r-added", Host: testHost, Prefix: addedRoute, Type: use.kind, Service: use.service, TimeoutMs: 1200, AimMs: 500, Attempts: 2})
		if d.put(configBody(9, added, testServices, usualLimits)) != http.StatusOK {
			return notRun
		}
	}
	time.Sleep(configApply + time.Second)
	if trouble {
		plain := d.batch("plain requests on the added route", 10, http.MethodGet, addedRoute+"2f", "", "")
		c := use.added(d)
		sum = counts{sum.sent + plain.sent + c.sent, sum.served + plain.served + c.served, sum.denied + plain.denied + c.denied, sum.other + plain.other + c.other}
	}
	return d.verdict(sum.denied, sum.sent, sum.served)
}

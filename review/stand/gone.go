package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case gone: uploads that wait since the servers are busy. The aim and the
// deadline are those of damage-photos on the users' page of the large site.
const (
	goneRounds  = 3
	goneClients = 20
	// The clients before the first leaver of a round are at work when it comes; a share of 0.3 leaves.
	firstLeaver  = goneServers * goneSlots
	goneLeavers  = goneClients * 3 / 10
	goneServers  = 2
	goneSlots    = 3
	goneWork     = 800 * time.Millisecond
	goneAimMs    = 2000
	goneDeadline = 6000 // In milliseconds.
	goneLeave    = 150 * time.Millisecond
	goneBound    = 500 * time.Millisecond // Of the rule.
	goneFew      = 10                     // "More than a few" is taken for more than this.
)

// gone has clients leave while their requests with bodies wait at an entry host, and counts
// the requests that reach a server over half a second after their client has closed its
// connection.
func gone(rec *recorder, trouble bool) int {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return notRun
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return notRun
	}
	routes := []route{{Name: "r-photos", Host: testHost, Prefix: "/fotos/", Type: "upload", Service: lookup, TimeoutMs: goneDeadline, AimMs: goneAimMs, Attempts: 2}}
	services := []string{lookup}
	if d.put(configBody(7, routes, services, usualLimits)) != http.StatusOK {
		return notRun
	}
	var (
		mu     sync.Mutex
		closed = make(map[string]time.Time)
		late   int
		group  sync.WaitGroup
		ok     int
	)
	arrive := func(_ *server, _ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get(word("id"))
		if at, left := closed[id]; left && time.Since(at) > goneBound {
			late++
			rec.note("late", "id=%s reaches a server %s after its client has left", id, time.Since(at).Round(time.Millisecond))
		}
		return false
	}
	for i := range goneServers {
		if _, err = d.addServer(fmt.Sprintf("i-%d", i), lookup, d.ip(41+i), goneWork, withSlots(goneSlots), onRun(arrive)); err != nil {
			return notRun
		}
	}
	if !d.awaitReady(15 * time.Second) {
		return notRun
	}
	time.Sleep(contact + time.Second)
	for round := range goneRounds {
		for i := range goneClients {
			group.Go(func() {
				id, uri, header, body := newID(), "/fotos/1", "Content-Length: 60000\r\n", strings.Repeat("p", 60000)
				p := d.entries[i%len(d.entries)]
				conn, err := net.DialTimeout("tcp", addr(p.ip, d.call), time.Second)
				if err != nil {
					return
				}
				defer conn.Close()
				rec.note("client", "id=%s sends POST %s to %s", id, uri, p.name)
				_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
				if _, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s", uri, testHost, word("id"), id, word("deadline"), goneDeadline, header, body); err != nil {
					return
				}
				// Leaves while the request waits: its whole body has been sent.
				if trouble && i >= firstLeaver && i < firstLeaver+goneLeavers {
					time.Sleep(goneLeave)
					mu.Lock()
					closed[id] = time.Now()
					mu.Unlock()
					rec.note("client", "id=%s leaves", id)
					return
				}
				answer := make([]byte, 12)
				if _, err = io.ReadFull(conn, answer); err == nil {
					rec.note("client", "id=%s answer %q", id, answer)
					if strings.HasSuffix(string(answer), "200") {
						mu.Lock()
						ok++
						mu.Unlock()
					}
				}
			})
			time.Sleep(2 * time.Millisecond)
		}
		group.Wait()
		rec.note("round", "%d ended", round)
		time.Sleep(500 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	rec.note("judge", "%d requests reached a server over %s after their client had left, %d clients left, %d were answered with 200", late, goneBound, len(closed), ok)
	switch {
	case ok == 0:
		return notRun
	case late > goneFew:
		return broken
	}
	return held
}

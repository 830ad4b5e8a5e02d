package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// keptConn is a kept connection of a client to an entry host.
	keptConn struct {
		net.Conn
		answers *bufio.Reader
	}
)

const (
	lateUploads = 4
	lateFirst   = 2 * time.Second // From the signal to the first upload.
	lateStep    = 100 * time.Millisecond
	latePause   = 1200 * time.Millisecond // Between two chunks of an upload.
	lateChunks  = 3
	lateWork    = 1600 * time.Millisecond
	lateTimeout = 8 * time.Second
	lateChunk   = 20 << 10
	lateSettle  = 4 * time.Second
)

// lateUpload stops one entry host as planned. Uploads begin on kept connections to it while it
// drains, and end after the drain. No call of their service has been answered by this host before.
func lateUpload(b *bench) (bool, error) {
	controls := []int{1, 2, 3}
	if err := b.startFleet(len(controls), 2); err != nil {
		return false, err
	}
	work := func(s *server, c net.Conn, r *http.Request) bool {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			b.record("server", "%s: body of %s ends after %d bytes: %v", s.id, r.Header.Get(word("id")), n, err)
			return false
		}
		s.began(r)
		if s.service == "svc-up" {
			time.Sleep(lateWork)
		}
		ok := s.answer(c, r, http.StatusOK, "done")
		b.record("server", "%s answers %s: %t", s.id, r.Header.Get(word("id")), ok)
		return ok
	}
	for i, service := range []string{"svc-look", "svc-up", "svc-up"} {
		if _, err := b.startServer(i+1, b.ports.ready+10, fmt.Sprintf("i-%d", i+1), service, work, controls...); err != nil {
			return false, err
		}
	}
	routes := []route{
		{name: "look", host: strayHost, prefix: "/look/", kind: "safe", service: "svc-look", timeout: strayDeadline, attempts: 2},
		{name: "up", host: strayHost, prefix: "/up/", kind: "upload", service: "svc-up", timeout: lateTimeout, attempts: 2},
	}
	if err := b.put(1, configuration(1, routes, []string{"svc-look", "svc-up"}, nil), readyTimeout, controls...); err != nil {
		return false, err
	}
	for i := 1; i <= 2; i++ {
		if err := b.awaitReady(i); err != nil {
			return false, err
		}
	}
	time.Sleep(lateSettle)
	conns := make([]*keptConn, lateUploads)
	for i := range conns {
		var err error
		if conns[i], err = b.keep(1, fmt.Sprintf("look-%d", i)); err != nil {
			return false, err
		}
		defer conns[i].Close()
	}
	stopped := time.Now()
	if b.trouble {
		if err := b.signal("edge-1", syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		lost  int
	)
	for i, c := range conns {
		group.Go(func() {
			time.Sleep(time.Until(stopped.Add(lateFirst + time.Duration(i)*lateStep)))
			id := fmt.Sprintf("up-%d", i)
			r, sent := c.upload(id)
			b.record("client", "%s: last byte %.3f s after the signal, status %d, signed %t, error %v, ended %.3f s after it",
				id, sent.Sub(stopped).Seconds(), r.status, r.signed, r.err, time.Since(stopped).Seconds())
			if r.status == 0 {
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		})
	}
	group.Wait()
	b.record("count", "%d of %d uploads got no answer", lost, lateUploads)
	return lost > 0, nil
}

// keep opens a connection to the entry host i and has one request answered on it.
func (b *bench) keep(i int, id string) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", b.frontAddress(i), dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &keptConn{Conn: conn, answers: bufio.NewReader(conn)}
	if _, err = fmt.Fprintf(c, "GET /look/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", strayHost, word("id"), id, word("deadline"), strayDeadline.Milliseconds()); err != nil {
		return nil, err
	}
	r := c.read()
	b.record("client", "%s: status %d, error %v", id, r.status, r.err)
	if r.status != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d, error %w", id, r.status, r.err)
	}
	return c, nil
}

// upload sends a request in chunks, and returns its answer and when its last byte was sent.
func (c *keptConn) upload(id string) (reply, time.Time) {
	text := fmt.Sprintf("POST /up/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		strayHost, word("id"), id, word("deadline"), lateTimeout.Milliseconds())
	chunk := fmt.Sprintf("%x\r\n%s\r\n", lateChunk, strings.Repeat("x", lateChunk))
	for i := range lateChunks {
		text += chunk
		if i == lateChunks-1 {
			text += "0\r\n\r\n"
		}
		if _, err := io.WriteString(c, text); err != nil {
			return c.read(), time.Now() // The answer may have come before.
		}
		if text = ""; i < lateChunks-1 {
			time.Sleep(latePause)
		}
	}
	sent := time.Now()
	return c.read(), sent
}

// read reads one answer.
func (c *keptConn) read() reply {
	if err := c.SetReadDeadline(time.Now().Add(lateTimeout + dialTimeout)); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, signed: resp.Header.Get(word("signature")) != "", body: string(data)}
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// handler answers a request on its connection, and reports whether the connection is kept.
	handler func(s *server, c net.Conn, r *http.Request) bool

	// server is a server of a service, which speaks the protocol of the users' pages.
	server struct {
		bench       *bench
		id, service string
		address     string
		listener    net.Listener
		handle      handler

		mu       sync.Mutex
		sequence int
		born     int64
		state    string
		stopped  bool
		conns    map[net.Conn]bool
		runs     map[string]int // By request.
	}
)

const heartbeatPeriod = 1500 * time.Millisecond

// startServer starts a server with the given number, which sends heartbeats to the control hosts.
func (b *bench) startServer(number, port int, id, service string, handle handler, controls ...int) (*server, error) {
	l, err := b.listen(number, port)
	if err != nil {
		return nil, err
	}
	s := &server{
		bench: b, id: id, service: service, address: l.Addr().String(), listener: l, handle: handle,
		born: time.Now().UnixMilli(), state: "ready", conns: make(map[net.Conn]bool), runs: make(map[string]int),
	}
	b.servers = append(b.servers, s)
	go s.accept()
	go func() {
		for !s.isStopped() {
			s.beat(controls...)
			time.Sleep(heartbeatPeriod)
		}
	}()
	return s, nil
}

func (s *server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// beat sends a heartbeat to the first control host that acknowledges it.
func (s *server) beat(controls ...int) bool {
	s.mu.Lock()
	s.sequence++
	state := s.state
	text, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-a", "version": "v1", word("slots"): 6, "state": state,
		word("warm"): 0, "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	if err != nil {
		return false
	}
	for _, i := range controls {
		if status, _ := s.bench.call(http.MethodPut, i, word("heartbeats")+s.id, text, time.Second); status == http.StatusOK {
			return true
		}
	}
	s.bench.record("server", "%s: heartbeat %s not acknowledged", s.id, state)
	return false
}

// stop closes the listener and all connections.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	// Errors say that they are closed.
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve serves the requests of a connection.
func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/health" {
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 0,0,6\r\nContent-Length: 0\r\n\r\n", word("answerer"), s.id, word("load"))
			if err != nil {
				return
			}
			continue
		}
		if !s.handle(s, c, req) {
			return
		}
	}
}

// began records that a request runs and returns how often it has.
func (s *server) began(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(word("id"))
	s.runs[id]++
	s.bench.record("server", "%s runs %s %s %s", s.id, id, r.Method, r.URL.RequestURI())
	return s.runs[id]
}

// answer writes a whole answer.
func (s *server) answer(c net.Conn, r *http.Request, status int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s: 0,0,6\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), word("id"), r.Header.Get(word("id")), word("signature"), s.id, word("load"), len(body), body)
	return err == nil
}

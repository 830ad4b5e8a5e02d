package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of the users' pages: it runs requests, and sends heartbeats.
type server struct {
	d                    *deployment
	id, service, address string
	work                 time.Duration
	slots                int64
	running              atomic.Int64
	sequence             atomic.Uint64
	born                 int64
	state                atomic.Value // "ready" or "draining".
	http                 *http.Server
	quit                 chan struct{}
	once                 sync.Once
	// hook is like onRun, for a server that runs already.
	hook atomic.Value
	// onRun, if not nil, handles a request in place of the usual answer. It returns true if it did.
	onRun func(s *server, w http.ResponseWriter, r *http.Request) bool
}

// withSlots sets the number of requests that a server runs at once.
func withSlots(n int64) func(*server) { return func(s *server) { s.slots = n } }

// onRun sets what handles a request in place of the usual answer, if it returns true.
func onRun(f func(*server, http.ResponseWriter, *http.Request) bool) func(*server) {
	return func(s *server) { s.onRun = f }
}

// addServer starts a server and announces it.
func (d *deployment) addServer(id, service, ip string, work time.Duration, opts ...func(*server)) (*server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, service: service, address: l.Addr().String(), work: work, slots: 6, born: time.Now().UnixMilli(), quit: make(chan struct{})}
	s.state.Store("ready")
	for _, opt := range opts {
		opt(s)
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.announce()
	d.servers = append(d.servers, s)
	return s, nil
}

func (s *server) close() {
	s.once.Do(func() { close(s.quit) })
	_ = s.http.Close()
}

// announce sends heartbeats until the server is closed.
func (s *server) announce() {
	for {
		s.beat()
		select {
		case <-s.quit:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// beat sends one heartbeat to one control host after the other until one acknowledges it.
func (s *server) beat() bool {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": "buda-a", "version": "v1", word("slots"): s.slots,
		"state": s.state.Load(), word("warmup"): 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	client := http.Client{Timeout: time.Second}
	for _, p := range s.d.controls {
		status, _, err := call(&client, http.MethodPut, "http://"+addr(p.ip, s.d.front)+word("heartbeats")+s.id, body)
		if err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// ServeHTTP answers health checks and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get(word("id"))
	if id != "" {
		h.Set(word("id"), id)
	}
	load := func() { h.Set(word("load"), fmt.Sprintf("%d,0,%d,100", s.running.Load(), s.slots)) }
	if r.URL.Path == "/health" {
		h.Set(word("answerer"), s.id)
		load()
		if s.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	refuse := func(status int) {
		load()
		h.Set(word("unexecuted"), "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get(word("expected")); {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		refuse(http.StatusMisdirectedRequest)
		return
	}
	defer s.running.Add(-1)
	if s.running.Add(1) > s.slots {
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.d.rec.note("run", "id=%s server=%s method=%s uri=%s host=%s", id, s.id, r.Method, r.RequestURI, r.Host)
	s.d.rec.ran(id)
	if s.onRun != nil && s.onRun(s, w, r) {
		return
	}
	if f, ok := s.hook.Load().(func(*server, http.ResponseWriter, *http.Request) bool); ok && f(s, w, r) {
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	load()
	body := fmt.Sprintf("answer %s %d %s\n", id, n, s.id)
	h.Set(word("signature"), "sig-"+id)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// call sends a request and returns the status and the body of the answer.
func call(client *http.Client, method, url string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

package telem

import (
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"sync"
)

// Set is a registry of metrics that are served as one JSON object. Use NewSet.
type Set struct {
	vars *expvar.Map
	mu   sync.Mutex // Held while a histogram is added.
}

// NewSet returns a Set with the memory statistics of the process.
func NewSet() *Set {
	s := &Set{vars: new(expvar.Map).Init()}
	s.vars.Set("memstats", expvar.Func(memstats))
	return s
}

// Count returns the counter called name, and creates it on first use.
func (s *Set) Count(name string) *expvar.Int {
	if v, ok := s.vars.Get(name).(*expvar.Int); ok {
		return v
	}
	s.vars.Add(name, 0)
	return s.vars.Get(name).(*expvar.Int)
}

// Histogram returns the histogram of durations called name for a label, and creates
// it on first use. Each label costs a histogram's memory, so that there must be
// few.
func (s *Set) Histogram(name, label string) *Histogram {
	if family, ok := s.vars.Get(name).(*expvar.Map); ok {
		if h, ok := family.Get(label).(*Histogram); ok {
			return h
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	family, ok := s.vars.Get(name).(*expvar.Map)
	if !ok {
		family = new(expvar.Map).Init()
		s.vars.Set(name, family)
	}
	h, ok := family.Get(label).(*Histogram)
	if !ok {
		h = new(Histogram)
		family.Set(label, h)
	}
	return h
}

// Func registers a metric called name whose value f returns.
func (s *Set) Func(name string, f func() any) {
	s.vars.Set(name, expvar.Func(f))
}

// ServeHTTP writes all metrics as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, s.vars.String())
}

func memstats() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return struct {
		HeapAlloc  uint64 `json:"heap_alloc_bytes"`
		Sys        uint64 `json:"sys_bytes"`
		Goroutines int    `json:"goroutines"`
	}{m.HeapAlloc, m.Sys, runtime.NumGoroutine()}
}

// Level returns the log level with the given name, such as debug, info, warn or
// error. It reports false for an unknown name.
func Level(name string) (slog.Level, bool) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(strings.ToUpper(name))); err != nil {
		return 0, false
	}
	return level, true
}

// Logger returns a logger that writes JSON lines of level or above to w, each
// with the host's name and data centre.
func Logger(w io.Writer, level slog.Level, host, dataCentre string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("host", host, "data_centre", dataCentre)
}

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

	"cardamomspool/internal/build"
)

// Registry holds metrics that are served as one JSON object. Use NewRegistry.
type Registry struct {
	vars *expvar.Map
	mu   sync.Mutex // Serialises the creation of histograms.
}

// NewRegistry returns a Registry with two metrics, the version of the program and the
// memory statistics of the process.
func NewRegistry() *Registry {
	r := &Registry{vars: new(expvar.Map).Init()}
	r.vars.Set("version", expvar.Func(func() any { return build.Version() }))
	r.vars.Set("memstats", expvar.Func(memstats))
	return r
}

// Counter returns the counter called name, and creates it on first use.
func (r *Registry) Counter(name string) *expvar.Int {
	if v, ok := r.vars.Get(name).(*expvar.Int); ok {
		return v
	}
	r.vars.Add(name, 0)
	return r.vars.Get(name).(*expvar.Int)
}

// Histogram returns the histogram of durations called name for a label, such as a
// service, and creates it on first use. Each label takes the memory of a whole
// histogram, so there must be few labels.
func (r *Registry) Histogram(name, label string) *Histogram {
	if family, ok := r.vars.Get(name).(*expvar.Map); ok {
		if h, ok := family.Get(label).(*Histogram); ok {
			return h
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	family, ok := r.vars.Get(name).(*expvar.Map)
	if !ok {
		family = new(expvar.Map).Init()
		r.vars.Set(name, family)
	}
	h, ok := family.Get(label).(*Histogram)
	if !ok {
		h = new(Histogram)
		family.Set(label, h)
	}
	return h
}

// Func registers a metric called name whose value f returns.
func (r *Registry) Func(name string, f func() any) {
	r.vars.Set(name, expvar.Func(f))
}

// ServeHTTP writes all metrics as one JSON object. Their values are read without a lock of
// the registry: a function of Func may wait for a lock whose holder adds a metric, and
// expvar.Map.String would hold the lock that this needs.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	values := new(expvar.Map)
	r.vars.Do(func(kv expvar.KeyValue) { values.Set(kv.Key, kv.Value) })
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintln(w, values.String())
}

// memstats returns the memory statistics of the process, with the number of its
// goroutines.
func memstats() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return struct {
		HeapAlloc  uint64 `json:"heap_alloc_bytes"`
		Sys        uint64 `json:"sys_bytes"`
		Goroutines int    `json:"goroutines"`
	}{m.HeapAlloc, m.Sys, runtime.NumGoroutine()}
}

// ParseLevel returns the log level with the given name, such as debug, info,
// warn or error. It reports false for an unknown name.
func ParseLevel(name string) (slog.Level, bool) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(strings.ToUpper(name))); err != nil {
		return 0, false
	}
	return level, true
}

// NewLogger returns a logger that writes JSON lines of level or above to w, each
// with the host's name and data centre.
func NewLogger(w io.Writer, level slog.Level, host, dataCentre string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("host", host, "data_centre", dataCentre)
}

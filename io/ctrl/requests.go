package ctrl

import (
	"cmp"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cardamomspool/io/telem"
)

type (
	// openRequests holds the requests of operators and targets that are not answered, and
	// measures how long they go on after the signal to stop.
	openRequests struct {
		log     *slog.Logger
		metrics *telem.Registry

		mu      sync.Mutex
		list    map[*openRequest]struct{}
		stopped time.Time     // When the host was told to stop; zero before.
		longest time.Duration // From stopped to the last answer.
		cut     int           // Number of requests that were cut off.
	}

	// openRequest is a request whose handler runs.
	openRequest struct {
		server, method, path string
		arrived              time.Time
	}
)

const (
	// maxCutOffLines bounds the log lines about requests that a stop cuts off.
	maxCutOffLines = 32
	// debugPath begins the paths of metrics.
	debugPath = "/debug/"
	// refusal is the body of the answer to a request that arrives during a stop.
	refusal = `{"error":"this control host stops"}` + "\n"
)

func newOpenRequests(log *slog.Logger, metrics *telem.Registry) *openRequests {
	return &openRequests{log: log, metrics: metrics, list: make(map[*openRequest]struct{})}
}

// wrap returns a handler that calls next and follows its requests. Those that arrive after
// the signal to stop are refused, so that their callers go on to another host. server names
// the server in log lines.
func (o *openRequests) wrap(server string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open := &openRequest{server: server, method: r.Method, path: r.URL.Path, arrived: time.Now()}
		if !o.add(open) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			// The client may have closed the connection.
			_, _ = io.WriteString(w, refusal)
			return
		}
		defer o.remove(open)
		next.ServeHTTP(w, r)
	})
}

// add adds a request, unless the host stops and the request is to be refused. Metrics are
// served until the end.
func (o *openRequests) add(r *openRequest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.stopped.IsZero() && !strings.HasPrefix(r.path, debugPath) {
		o.metrics.Counter("requests_refused_by_stop").Add(1)
		return false
	}
	o.list[r] = struct{}{}
	return true
}

// remove removes a request whose handler has ended.
func (o *openRequests) remove(r *openRequest) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, open := o.list[r]; !open || o.stopped.IsZero() {
		delete(o.list, r)
		return
	}
	delete(o.list, r)
	took := now.Sub(o.stopped)
	o.longest = max(o.longest, took)
	o.metrics.Histogram("time_after_stop", "ended").Observe(took)
}

// stop records the signal to stop and returns the number of open requests.
func (o *openRequests) stop(now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = now
	return len(o.list)
}

// cutOff logs and counts the open requests, whose connections are closed now.
func (o *openRequests) cutOff(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*openRequest, 0, len(o.list))
	for r := range o.list {
		list = append(list, r)
	}
	clear(o.list)
	slices.SortFunc(list, func(a, b *openRequest) int { return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.path, b.path)) })
	o.cut += len(list)
	o.metrics.Counter("requests_cut_by_stop").Add(int64(len(list)))
	for i, r := range list {
		after := now.Sub(o.stopped)
		o.metrics.Histogram("time_after_stop", "cut_off").Observe(after)
		if i < maxCutOffLines {
			o.log.Warn("request cut off by stop", "server", r.server, "method", r.method, "path", r.path,
				"after_stop", after.String(), "arrived_after_stop", r.arrived.Sub(o.stopped).String())
		}
	}
	if left := len(list) - maxCutOffLines; left > 0 {
		o.log.Warn("further requests cut off by stop", "requests", left)
	}
}

// result returns the number of requests that were cut off, and the time from the signal to
// stop to the last answer.
func (o *openRequests) result() (cut int, longest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cut, o.longest
}

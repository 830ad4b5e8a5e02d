package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cardamomspool/core/keys"
	"cardamomspool/core/wire"
	"cardamomspool/io/stub"
)

type (
	// Summary counts the outcomes of the calls of a load.
	Summary struct {
		// Calls counts the calls that were sent. Each has one of the next three
		// outcomes.
		Calls int `json:"calls"`
		// Answered counts calls that were answered with status 200.
		Answered int `json:"answered"`
		// RefusedNotRun counts calls that were refused as not run.
		RefusedNotRun int `json:"refused_not_run"`
		// Unknown counts all other calls.
		Unknown int `json:"unknown"`
		// WrongAnswers counts calls that got another call's answer, and calls
		// that ran although they were refused as not run.
		WrongAnswers int `json:"wrong_answers"`
		// RanTwice counts calls that ran more than once.
		RanTwice int `json:"ran_twice"`
		// P50, P99 and P999 are quantiles of the latency of answered calls, in
		// milliseconds.
		P50  float64 `json:"p50"`
		P99  float64 `json:"p99"`
		P999 float64 `json:"p99_9"`
	}

	// Load sends a number of calls. Use New to create it.
	Load struct {
		urls        []string
		method      string
		key         string // The key of a client account; empty for none.
		host        string // The Host header field; empty for that of the URL.
		calls       int
		rate        float64 // Calls per second.
		record      *stub.Record
		progress    func(done, calls int)
		client      *http.Client
		arrivalRNG  *rand.Rand // Draws the intervals; nil for calls at equal intervals.
		surge       Surge
		withoutBody bool

		mu         sync.Mutex
		summary    Summary
		latencies  []time.Duration
		refusedIDs []string
		sentIDs    []string
	}

	// Surge raises the rate periodically.
	Surge struct {
		// Factor multiplies the rate during a surge; 0 means no surges.
		Factor float64
		// Duration is how long a surge lasts.
		Duration time.Duration
		// Period is the time from the start of one surge to the start of the
		// next. It must not be 0 if there are surges.
		Period time.Duration
	}

	// Option sets one property of a Load.
	Option func(*Load)
)

const (
	callTimeout        = 30 * time.Second
	maxAnswerBytes     = 1 << 20
	maxIdleConnections = 256
	progressInterval   = time.Second
)

// WithRate sets the calls sent per second; the default is 500.
func WithRate(perSecond float64) Option {
	return func(l *Load) { l.rate = perSecond }
}

// WithPoisson makes calls arrive as a Poisson process, at exponentially distributed
// intervals drawn from seed, instead of at equal intervals.
func WithPoisson(seed uint64) Option {
	return func(l *Load) { l.arrivalRNG = rand.New(rand.NewPCG(seed, 2)) }
}

// WithSurge raises the rate periodically, first at the start of the load.
func WithSurge(s Surge) Option {
	return func(l *Load) { l.surge = s }
}

// WithoutBody sends calls without a body.
func WithoutBody() Option {
	return func(l *Load) { l.withoutBody = true }
}

// WithMethod sets the method; the default is POST.
func WithMethod(method string) Option {
	return func(l *Load) { l.method = method }
}

// WithKey has the calls carry a key of a client account.
func WithKey(key string) Option {
	return func(l *Load) { l.key = key }
}

// WithHost sets the Host header field of the calls.
func WithHost(host string) Option {
	return func(l *Load) { l.host = host }
}

// WithRecord sets the record that the targets write. The summary uses it to count calls
// that ran twice, and calls that ran although they were refused as not run. Without a
// record it counts none of these.
func WithRecord(r *stub.Record) Option {
	return func(l *Load) { l.record = r }
}

// WithProgress sets a function that is called once a second with the number of
// calls that have ended and the number of calls that the load is to send.
func WithProgress(f func(done, calls int)) Option {
	return func(l *Load) { l.progress = f }
}

// New returns a load of the given number of calls, sent to the urls in turn.
func New(urls []string, calls int, opts ...Option) *Load {
	l := &Load{urls: urls, method: http.MethodPost, calls: calls, rate: 500, progress: func(int, int) {}}
	for _, opt := range opts {
		opt(l)
	}
	l.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
	}}
	return l
}

// Run sends all calls at the set rate without waiting for answers, and returns the
// summary once all calls have ended. It sends no more calls once ctx has ended, but still
// waits for those that were sent. It must be called only once.
func (l *Load) Run(ctx context.Context) Summary {
	// A server that shuts down waits seconds for connections that were never used.
	defer l.client.CloseIdleConnections()
	var group sync.WaitGroup
	start := time.Now()
	stop := l.startProgress()
	due := start
	for i := range l.calls {
		due = due.Add(l.interval(due.Sub(start)))
		if !sleepUntil(ctx, due) {
			break
		}
		callDue := due // A copy, since the loop advances due before the call reads it.
		group.Go(func() { l.call(i, callDue) })
	}
	group.Wait()
	stop()
	return l.summarise()
}

// interval returns the time from the call due at offset, counted from the start of
// the load, to the next call.
func (l *Load) interval(offset time.Duration) time.Duration {
	rate := l.rate
	if l.surge.Factor > 0 && offset%l.surge.Period < l.surge.Duration {
		rate *= l.surge.Factor
	}
	mean := float64(time.Second) / rate
	if l.arrivalRNG == nil {
		return time.Duration(mean)
	}
	return time.Duration(mean * l.arrivalRNG.ExpFloat64())
}

// startProgress calls progress periodically until the returned function is called.
func (l *Load) startProgress() func() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				l.mu.Lock()
				done := l.summary.Answered + l.summary.RefusedNotRun + l.summary.Unknown
				l.mu.Unlock()
				l.progress(done, l.calls)
			}
		}
	}()
	return cancel
}

// sleepUntil waits until t and reports false if ctx has ended. A timer may fire
// before the clock has reached its time, so the clock is read again.
func sleepUntil(ctx context.Context, t time.Time) bool {
	for {
		wait := time.Until(t)
		if wait <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
	}
}

// call sends the i-th call and counts its outcome. The latency counts from the time
// when the call was due, so that delays of the load generator itself are included.
func (l *Load) call(i int, due time.Time) {
	id := fmt.Sprintf("call-%d", i)
	status, outcome, answer, err := l.send(l.urls[i%len(l.urls)], id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Calls++
	l.sentIDs = append(l.sentIDs, id)
	switch {
	case err == nil && status == http.StatusOK:
		l.summary.Answered++
		l.latencies = append(l.latencies, time.Since(due))
		if strings.TrimSpace(answer) != id {
			l.summary.WrongAnswers++
		}
	case err == nil && outcome == wire.OutcomeNotRun:
		l.summary.RefusedNotRun++
		l.refusedIDs = append(l.refusedIDs, id)
	default:
		l.summary.Unknown++
	}
}

// send sends a call with the given identity and returns the status, the outcome from
// the header and the body of the answer.
func (l *Load) send(url, id string) (int, string, string, error) {
	var (
		req  *http.Request
		resp *http.Response
		body []byte
		err  error
	)
	var payload io.Reader
	if !l.withoutBody {
		payload = strings.NewReader(id)
	}
	if req, err = http.NewRequest(l.method, url, payload); err != nil {
		return 0, "", "", err
	}
	req.Header.Set(stub.HeaderCall, id)
	if l.key != "" {
		req.Header.Set(keys.Field, keys.Scheme+" "+l.key)
	}
	if l.host != "" {
		req.Host = l.host
	}
	if resp, err = l.client.Do(req); err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		return 0, "", "", err
	}
	return resp.StatusCode, resp.Header.Get(wire.HeaderOutcome), string(body), nil
}

// summarise returns the summary, with quantiles and the counts from the record.
func (l *Load) summarise() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.summary
	slices.Sort(l.latencies)
	s.P50, s.P99, s.P999 = Quantile(l.latencies, 0.50), Quantile(l.latencies, 0.99), Quantile(l.latencies, 0.999)
	if l.record == nil {
		return s
	}
	for _, id := range l.sentIDs {
		if l.record.Runs(id) > 1 {
			s.RanTwice++
		}
	}
	for _, id := range l.refusedIDs {
		if l.record.Runs(id) > 0 {
			s.WrongAnswers++ // The call was refused as not run, but ran.
		}
	}
	return s
}

// Quantile returns the q-quantile of the sorted times in milliseconds by the
// nearest-rank method, or 0 if there are no times.
func Quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := max(int(math.Ceil(q*float64(len(sorted)))), 1)
	return float64(sorted[rank-1].Microseconds()) / 1000
}

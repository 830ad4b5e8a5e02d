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

	"cardamomspool/core/wire"
	"cardamomspool/io/stub"
)

type (
	// Summary counts the outcomes of a load. Times are in milliseconds.
	Summary struct {
		Calls         int     `json:"calls"`
		Answered      int     `json:"answered"`
		RefusedNotRun int     `json:"refused_not_run"`
		Unknown       int     `json:"unknown"`
		WrongAnswers  int     `json:"wrong_answers"`
		RanTwice      int     `json:"ran_twice"`
		P50           float64 `json:"p50"`
		P99           float64 `json:"p99"`
		P999          float64 `json:"p99_9"`
	}

	// Load is a number of calls to send. Use New.
	Load struct {
		urls     []string
		method   string
		host     string
		calls    int
		rate     float64
		record   *stub.Record
		progress func(done, calls int)
		client   *http.Client
		rng      *rand.Rand
		surge    Surge
		noBody   bool

		mu      sync.Mutex
		sum     Summary
		times   []time.Duration
		refused []string
		sent    []string
	}

	// Surge raises the rate for a part of each period.
	Surge struct {
		// Factor multiplies the rate; 0 means no surge.
		Factor float64
		// Span is how long a surge lasts.
		Span time.Duration
		// Every is the time from the start of a surge to the next one.
		Every time.Duration
	}

	// Option sets one property of a Load.
	Option func(*Load)
)

const (
	callTimeout   = 30 * time.Second
	maxAnswer     = 1 << 20
	connections   = 256
	progressEvery = time.Second
)

// WithRate sets the calls sent per second; the default is 500.
func WithRate(perSecond float64) Option {
	return func(l *Load) { l.rate = perSecond }
}

// WithPoisson makes calls arrive at exponential intervals drawn from seed,
// rather than at equal ones.
func WithPoisson(seed uint64) Option {
	return func(l *Load) { l.rng = rand.New(rand.NewPCG(seed, 2)) }
}

// WithSurge raises the rate at times.
func WithSurge(s Surge) Option {
	return func(l *Load) { l.surge = s }
}

// WithoutBody sends calls without a body.
func WithoutBody() Option {
	return func(l *Load) { l.noBody = true }
}

// WithMethod sets the method; the default is POST.
func WithMethod(method string) Option {
	return func(l *Load) { l.method = method }
}

// WithHost sets the host name that the calls are for.
func WithHost(host string) Option {
	return func(l *Load) { l.host = host }
}

// WithRecord sets the record of the targets, which shows calls run twice and
// calls run although refused as not run.
func WithRecord(r *stub.Record) Option {
	return func(l *Load) { l.record = r }
}

// WithProgress sets a function that is told once a second how far the load is.
func WithProgress(f func(done, calls int)) Option {
	return func(l *Load) { l.progress = f }
}

// New returns a load of calls spread over urls in turn.
func New(urls []string, calls int, opts ...Option) *Load {
	l := &Load{urls: urls, method: http.MethodPost, calls: calls, rate: 500, progress: func(int, int) {}}
	for _, opt := range opts {
		opt(l)
	}
	l.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, DisableCompression: true,
	}}
	return l
}

// Run sends all calls at the set rate, whatever the time they take, and
// returns once all have ended. When ctx ends it sends no more.
func (l *Load) Run(ctx context.Context) Summary {
	// A server that stops waits seconds for connections that were never used.
	defer l.client.CloseIdleConnections()
	var group sync.WaitGroup
	start := time.Now()
	stop := l.report()
	due := start
	for i := range l.calls {
		due = due.Add(l.interval(due.Sub(start)))
		if !sleepUntil(ctx, due) {
			break
		}
		at := due // The loop moves due on before the call reads it.
		group.Go(func() { l.call(i, at) })
	}
	group.Wait()
	stop()
	return l.summary()
}

// interval returns the time between the call due at offset and the next.
func (l *Load) interval(offset time.Duration) time.Duration {
	rate := l.rate
	if l.surge.Factor > 0 && offset%l.surge.Every < l.surge.Span {
		rate *= l.surge.Factor
	}
	mean := float64(time.Second) / rate
	if l.rng == nil {
		return time.Duration(mean)
	}
	return time.Duration(mean * l.rng.ExpFloat64())
}

func (l *Load) report() func() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ticker := time.NewTicker(progressEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				l.mu.Lock()
				done := l.sum.Answered + l.sum.RefusedNotRun + l.sum.Unknown
				l.mu.Unlock()
				l.progress(done, l.calls)
			}
		}
	}()
	return cancel
}

// sleepUntil waits until t and reports whether ctx has not ended. A timer may
// fire before the clock has reached its time, so the clock is read again.
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

// call sends one call; its time counts from when it was due.
func (l *Load) call(i int, due time.Time) {
	id := fmt.Sprintf("call-%d", i)
	status, outcome, answer, err := l.send(l.urls[i%len(l.urls)], id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum.Calls++
	l.sent = append(l.sent, id)
	switch {
	case err == nil && status == http.StatusOK:
		l.sum.Answered++
		l.times = append(l.times, time.Since(due))
		if strings.TrimSpace(answer) != id {
			l.sum.WrongAnswers++
		}
	case err == nil && outcome == wire.OutcomeNotRun:
		l.sum.RefusedNotRun++
		l.refused = append(l.refused, id)
	default:
		l.sum.Unknown++
	}
}

func (l *Load) send(url, id string) (int, string, string, error) {
	var (
		req  *http.Request
		resp *http.Response
		body []byte
		err  error
	)
	var payload io.Reader
	if !l.noBody {
		payload = strings.NewReader(id)
	}
	if req, err = http.NewRequest(l.method, url, payload); err != nil {
		return 0, "", "", err
	}
	req.Header.Set(stub.HeaderCall, id)
	if l.host != "" {
		req.Host = l.host
	}
	if resp, err = l.client.Do(req); err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	if body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer)); err != nil {
		return 0, "", "", err
	}
	return resp.StatusCode, resp.Header.Get(wire.HeaderOutcome), string(body), nil
}

func (l *Load) summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sum
	slices.Sort(l.times)
	s.P50, s.P99, s.P999 = Quantile(l.times, 0.50), Quantile(l.times, 0.99), Quantile(l.times, 0.999)
	if l.record == nil {
		return s
	}
	for _, id := range l.sent {
		if l.record.Runs(id) > 1 {
			s.RanTwice++
		}
	}
	for _, id := range l.refused {
		if l.record.Runs(id) > 0 {
			s.WrongAnswers++ // A call refused as not run was run.
		}
	}
	return s
}

// Quantile returns the q-quantile of sorted times in milliseconds by the
// nearest-rank method, and 0 when there are none.
func Quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := max(int(math.Ceil(q*float64(len(sorted)))), 1)
	return float64(sorted[rank-1].Microseconds()) / 1000
}

package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/engine"
	"cardamomspool/core/keys"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
	"cardamomspool/io/links"
	"cardamomspool/io/telem"
)

type (
	// forwarder sends calls to targets and streams their responses back.
	forwarder struct {
		links    callLinks
		dialect  wire.Dialect
		activity *activityTracker
		losses   lossObserver
		log      *slog.Logger
		metrics  *telem.Registry
		work     context.Context // Ends the checks of links.
		stopping atomic.Bool     // The host drains or stops: no second attempts for silent connections.
	}

	// earlyHints passes a target's informational responses on to the caller.
	earlyHints struct {
		w       responseWriter
		attempt *attempt
		mu      sync.Mutex
		ended   bool
		// withheld has the Link fields of those that are passed on only once the attempt
		// has won.
		withheld [][]string
	}

	// callerError is an error in writing to the caller.
	callerError struct{ error }

	// responseWriter writes the response to the caller.
	responseWriter struct {
		http.ResponseWriter
		controller *http.ResponseController
		body       *body // The caller's body; nil for a call that is refused before it is read.
	}
)

const (
	copyBufferBytes = 32 << 10
	// silenceTimeout is how long a reused connection may go without a response
	// byte after the last written byte of the request; then the target's idle
	// connections that have received nothing since are closed (see watchSilence).
	// It is silenceAimFactor times the aim of the call, if that is longer.
	silenceTimeout   = 300 * time.Millisecond
	silenceAimFactor = 2
	// maxRefusalBytes bounds the body of a target's refusal that is read to
	// reuse its connection.
	maxRefusalBytes = 4 << 10
)

var (
	errForeignResponse = errors.New("entry: the response names another call")
	errBadStatus       = errors.New("entry: the response has no final status")
)

// WriteHeader writes the status. A response before the end of the request body
// closes the connection, since net/http would parse the rest of the body as
// another request.
func (w responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK && w.body != nil && !w.body.complete() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// newForwarder returns a forwarder that reaches targets over l.
func newForwarder(l callLinks, dialect wire.Dialect, log *slog.Logger, metrics *telem.Registry) *forwarder {
	return &forwarder{links: l, dialect: dialect, log: log, metrics: metrics, work: context.Background()}
}

// attempt sends the call to one target, over this host's own link or through a carrier,
// streams the target's response to the caller and sets a.feedback. It returns NotRun only
// when no byte of the request can have reached the target or when the target reports that
// it did not run the call.
func (f *forwarder) attempt(ctx context.Context, w responseWriter, r *http.Request, a *attempt, s engine.Send) engine.Result {
	a.linkLost, a.keyProblem = false, nil
	a.resetsWhenFull = a.host.signs.ResetsWhenFull(a.service.doc.Name, time.Now())
	conn, err := f.links.Connect(ctx, s.Address, a.need())
	if err == nil {
		return f.exchange(ctx, w, r, a, s, conn)
	}
	full := a.resetsWhenFull && errors.Is(err, syscall.ECONNRESET)
	refusing := errors.Is(err, links.ErrRefusing)
	if !full && !refusing { // Another host would find the target full too.
		if result, carried := f.carry(ctx, w, r, a, s); carried {
			return result
		}
	}
	if a.keyProblem != nil {
		return engine.NotRun
	}
	if a.withdrawn() {
		return engine.Withdrawn
	}
	f.log.Info("target not reached", "call", a.name, "target", s.Target, "link_lost", a.linkLost, "error", err)
	if refusing {
		a.feedback = route.Feedback{Outcome: route.Shed}
		return engine.NotRun
	}
	if !full {
		f.activity.recordFailure(a.service.doc.Name, s.Target)
	}
	a.feedback = a.feedbackWithoutResponse(r.Context(), engine.NotRun, full)
	return engine.NotRun
}

// exchange sends the call on conn, a connection to the target or to a carrier, as attempt
// does.
func (f *forwarder) exchange(ctx context.Context, w responseWriter, r *http.Request, a *attempt, s engine.Send, conn *links.Conn) engine.Result {
	a.carryOutcome, a.targetAnswered = "", false
	a.marks.connected = time.Now()
	if a.keyProblem = a.host.checkKey(a.call, r); a.keyProblem != nil { // The connection may have taken long.
		f.links.Discard(conn)
		return engine.NotRun
	}
	f.links.Trim(conn.Address(), a.maxConnections)
	view := a.body.newView()
	defer view.release()
	conn.SetOnLost(view.abort)
	var (
		req        *http.Request
		resp       *http.Response
		targetInfo wire.AnswerInfo
		err        error
	)
	hints := earlyHints{w: w, attempt: a}
	a.hints = &hints
	defer hints.end()
	if req, err = f.newRequest(httptrace.WithClientTrace(ctx, hints.trace()), r, a, s, view); err != nil {
		return f.failAttempt(ctx, r, conn, a, s, err)
	}
	stopWatch := f.watchSilence(conn, a, s)
	defer stopWatch()
	resp, err = conn.RoundTrip(req)
	a.marks.written = conn.WrittenAt()
	hints.end()
	if err == nil {
		outcome := wire.TakeCarryOutcome(resp.Header)
		if conn.Address() == s.Address {
			f.links.Heard(s.Address, time.Now())
		} else if a.carryOutcome = outcome; outcome != "" {
			return f.endCarried(r, conn, resp, a)
		}
		targetInfo = f.dialect.ParseAnswer(resp.StatusCode, resp.Header, a.name)
		if err = checkFinalResponse(resp, targetInfo); conn.Address() == s.Address {
			err = f.checkRefusal(conn, a, s, targetInfo, err)
		}
	}
	if err != nil {
		return f.failAttempt(ctx, r, conn, a, s, err)
	}
	a.targetAnswered, a.status, a.marks.answered = true, resp.StatusCode, time.Now()
	a.noteAnswer()
	f.activity.recordResponse(a.service.doc.Name, s.Target, targetInfo)
	a.host.observeLeaving(a.call, s, targetInfo)
	a.feedback = responseFeedback(resp.StatusCode, targetInfo, f.metrics)
	if targetInfo.NotRun && !a.carriedIn {
		if f.discardResponse(conn, resp) {
			f.endResponse(conn, s, targetInfo)
		}
		return engine.NotRun
	}
	result, err := f.receiveAnswer(ctx, w, resp, a, s)
	if err == nil && !targetInfo.NotRun {
		a.host.callAnswered(a.call, r)
	}
	if err != nil && a.withdrawn() {
		return f.endWithdrawn(conn, a)
	}
	if err != nil {
		f.links.Discard(conn)
		f.activity.recordFailure(a.service.doc.Name, s.Target)
		callerLeft := r.Context().Err() != nil || errors.As(err, new(callerError))
		f.log.Warn("answer cut short", "call", a.name, "target", s.Target, "passed_on", result == engine.Broken,
			"caller_left", callerLeft, "error", err)
		if !callerLeft {
			a.feedback.Outcome = route.Failed
		}
		f.observeLoss(r, a, s, conn)
		return result
	}
	f.endResponse(conn, s, targetInfo)
	return result
}

// failAttempt closes the connection of an attempt that got no response, and sets
// a.feedback. It returns Unknown if a byte of the request may have reached the target,
// else NotRun.
func (f *forwarder) failAttempt(ctx context.Context, r *http.Request, conn *links.Conn, a *attempt, s engine.Send, err error) engine.Result {
	if a.withdrawn() && !conn.WasClosedByTarget() {
		return f.endWithdrawn(conn, a)
	}
	result := engine.NotRun
	if f.links.Discard(conn) {
		result = engine.Unknown
	}
	reset := conn.Address() == s.Address && conn.WasReset()
	switch {
	case reset && a.resetsWhenFull:
		// The link works: the target is probably full.
	case conn.Address() == s.Address:
		a.linkLost = f.links.LostDuring(ctx, conn, a.need())
	default:
		a.linkLost = ctx.Err() == nil // The connection to the carrier has failed.
	}
	var attrs []any
	if reset {
		f.metrics.Counter("connections_reset").Add(1)
		attrs = []any{"reset", true}
	}
	f.log.With(attrs...).Info("attempt failed", "call", a.name, "target", s.Target, "fresh_connection", conn.Fresh(),
		"may_have_run", result == engine.Unknown, "carrier", carrierName(a.carrier), "link_lost", a.linkLost, "error", err)
	if !reset || !a.resetsWhenFull {
		f.activity.recordFailure(a.service.doc.Name, s.Target)
	}
	a.feedback = a.feedbackWithoutResponse(r.Context(), result, reset)
	if result == engine.Unknown {
		f.observeLoss(r, a, s, conn)
	}
	return result
}

// discardResponse reads a target's refusal, which is not passed to the caller, so
// that the connection can be reused. If the refusal has maxRefusalBytes or more or
// is cut short, it closes the connection instead and returns false.
func (f *forwarder) discardResponse(conn *links.Conn, resp *http.Response) bool {
	if n, err := io.CopyN(io.Discard, resp.Body, maxRefusalBytes); n == maxRefusalBytes || !errors.Is(err, io.EOF) {
		f.links.Discard(conn)
		return false
	}
	resp.Body.Close()
	return true
}

// watchSilence acts when a target sends no response byte on conn, a reused connection or
// one to a carrier, for the silence timeout of the call. It then closes the idle
// connections to that target that have received nothing since the last progress on
// conn, because a device on the path may have dropped them all. conn itself stays open,
// because its target may just be slow. If conn leads to a carrier, had received nothing for
// more than links.MaxTrustedSilence before the request, or the link to the target is lost,
// watchSilence also reports the attempt as silent, unless the host is stopping, so that a
// second one may be made beside it. The returned function ends the watch.
func (f *forwarder) watchSilence(conn *links.Conn, a *attempt, s engine.Send) func() {
	carried := conn.Address() != s.Address
	if conn.Fresh() && !carried {
		return func() {}
	}
	stale := conn.LastReadBefore(conn.Began().Add(-links.MaxTrustedSilence))
	timeout, carrier := silenceTimeoutFor(a.class), carrierName(a.carrier)
	var timer *time.Timer
	timer = time.AfterFunc(timeout, func() {
		since, silent := conn.LastProgress()
		if !silent {
			return
		}
		if wait := timeout - time.Since(since); wait > 0 {
			timer.Reset(wait)
			return
		}
		n := f.links.Retire(conn.Address(), since)
		lost := f.links.LostInSilence(conn, s.Address, a.need())
		suspect := (stale || lost || carried) && !f.stopping.Load() && a.reportSilence()
		f.metrics.Counter("connections_silent").Add(1)
		f.log.Warn("connection silent", "call", a.name, "target", s.Target, "retired", n, "suspect", suspect,
			"carrier", carrier, "link_lost", lost)
	})
	return func() { timer.Stop() }
}

// silenceTimeoutFor returns how long a call waits for the first response byte,
// after its last written byte, before the connection counts as silent.
func silenceTimeoutFor(class spec.Class) time.Duration {
	return max(silenceTimeout, silenceAimFactor*class.Aim)
}

// checkFinalResponse returns an error when the response is informational (1xx) or
// names another call, and so cannot be the final response to the call.
func checkFinalResponse(resp *http.Response, targetInfo wire.AnswerInfo) error {
	if resp.StatusCode < http.StatusOK {
		return errBadStatus
	}
	if targetInfo.Foreign {
		return errForeignResponse
	}
	return nil
}

// newRequest returns the request for one attempt at a target, to be sent to the target or
// to a.carrier.
func (f *forwarder) newRequest(ctx context.Context, r *http.Request, a *attempt, s engine.Send, view *bodyView) (*http.Request, error) {
	req := r.Clone(ctx)
	req.RequestURI = ""
	req.URL.Scheme = "http"
	req.URL.Host = s.Address.String()
	// After a refusal net/http still sends the body, unless the connection is to
	// be closed.
	req.Close = expectsContinue(r)
	req.GetBody = nil
	req.Body = nil
	req.Trailer = r.Trailer // The server fills it in at the end of the body.
	if r.ContentLength != 0 {
		req.Body = view
	}
	stripHeader(req.Header)
	if !f.dialect.OmitForwarded && !a.carriedIn {
		setForwarded(req.Header, r, a.trustedProxies)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	info := wire.AttemptInfo{Call: a.name, Target: s.Target, TimeLeft: time.Until(a.deadline)}
	a.admission.describe(&info)
	if info.Accounts {
		wire.DeleteField(req.Header, keys.Field) // The key is for this host alone.
	}
	f.dialect.PrepareAttempt(req.Header, info)
	if !a.carrier.IsValid() {
		return req, nil
	}
	id, _ := a.identify(r)
	return req, prepareCarry(req, a, s, id, a.keyDigest(r))
}

// expectsContinue reports whether the caller sends its body only after a 100
// Continue.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// trace returns a trace that passes 103 Early Hints on to the caller. net/http handles 100
// Continue on both sides.
func (e *earlyHints) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		if code != http.StatusEarlyHints || e.ended {
			return nil
		}
		passed := e.attempt.whileAlone(func() { e.pass(header["Link"]) })
		if !passed && len(e.withheld) < maxWithheldHints {
			e.withheld = append(e.withheld, header["Link"])
		}
		return nil
	}}
}

// pass writes 103 Early Hints with the given Link fields. The caller holds mu.
func (e *earlyHints) pass(links []string) {
	e.w.Header()["Link"] = links
	e.w.WriteHeader(http.StatusEarlyHints)
	e.w.Header().Del("Link")
}

// passWithheld passes on what was withheld, as the attempt has won.
func (e *earlyHints) passWithheld() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, links := range e.withheld {
		e.pass(links)
	}
	e.withheld = nil
}

// end makes the trace pass nothing on any more, as net/http may call it after the round trip
// has been given up, while the final response is written.
func (e *earlyHints) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
}

// streamResponse streams a response to the caller, or as it is to the entry host for which
// this one has carried the call. It returns an error when the response was cut short by
// the target or the caller has disconnected.
func (f *forwarder) streamResponse(w responseWriter, resp *http.Response, carriedIn bool) error {
	defer resp.Body.Close()
	stripHeader(resp.Header)
	prepare := f.dialect.PrepareAnswer
	if carriedIn {
		prepare = func(http.Header) {}
	}
	prepare(resp.Header)
	header := w.Header()
	copyHeader(header, resp.Header)
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp); err != nil {
		return err
	}
	prepare(resp.Trailer)
	for name, values := range resp.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyBody copies the body of a response. A response of unknown length is flushed
// after every read, since its target may pause for long between two chunks.
func copyBody(w responseWriter, resp *http.Response) error {
	buf := make([]byte, copyBufferSize(resp.ContentLength))
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return callerError{writeErr}
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		if resp.ContentLength >= 0 {
			continue
		}
		if err = w.controller.Flush(); err != nil {
			return callerError{err}
		}
	}
}

// copyBufferSize returns the buffer size for a response of length bytes, or of
// unknown length if negative. One extra byte lets the last read of a short
// response return its end as well.
func copyBufferSize(length int64) int64 {
	if length < 0 {
		return copyBufferBytes
	}
	return min(length+1, copyBufferBytes)
}

package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/engine"
	"cardamomspool/core/spec"
	"cardamomspool/core/wire"
	"cardamomspool/io/telem"
)

type (
	// exchange sends calls to targets and streams their answers back.
	exchange struct {
		pool     *pool
		dialect  wire.Dialect
		evidence *evidence
		log      *slog.Logger
		metrics  *telem.Set
		stopping atomic.Bool // The host stops, so that calls should end as they are.
	}

	// answerWriter gives the caller its answer.
	answerWriter struct {
		http.ResponseWriter
		control *http.ResponseController
		body    *body // The caller's body, once it may be read.
	}
)

const (
	copyBufferBytes = 32 << 10
	// silenceLimit is how long a connection may stay without any byte of an
	// answer until the idle connections beside it are no longer trusted. Calls
	// that aim at a later answer wait silenceAims times as long as they aim.
	silenceLimit = 300 * time.Millisecond
	silenceAims  = 2
	// maxRefusalBytes bounds the body of a target's refusal that is read so
	// that its connection can be used again.
	maxRefusalBytes = 4 << 10
)

var (
	errForeignAnswer = errors.New("entry: the answer names another call")
	errBadStatus     = errors.New("entry: the answer's status is not a final one")
)

// WriteHeader closes the connection after an answer that is given before the
// request is whole: the library would take the rest for another request.
func (w answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK && w.body != nil && !w.body.whole() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

func newExchange(dialect wire.Dialect, log *slog.Logger, metrics *telem.Set) *exchange {
	return &exchange{pool: newPool(metrics), dialect: dialect, log: log, metrics: metrics}
}

// attempt sends the call to one target and, when the target answers, streams
// the answer to the caller. NotRun is returned only when no byte of the
// request can have reached the target or when the target said so itself.
func (x *exchange) attempt(ctx context.Context, w answerWriter, r *http.Request, c *call, s engine.Send) engine.Result {
	var (
		l   *link
		err error
	)
	if l, err = x.pool.get(ctx, s.Address, !c.class.Idempotent); err != nil {
		x.log.Info("target not reached", "call", c.name, "target", s.Target, "error", err)
		x.evidence.failed(c.service.doc.Name, s.Target)
		c.feedback = noAnswer(r.Context(), engine.NotRun)
		return engine.NotRun
	}
	x.pool.trim(s.Address, c.connections)
	view := c.body.view()
	defer view.release()
	l.carry(view.breakOff)
	out := x.newRequest(httptrace.WithClientTrace(ctx, earlyHints(w)), r, c, s, view)
	stop := x.watchSilence(l, c, s)
	defer stop()
	var (
		answer *http.Response
		heard  wire.Heard
	)
	if answer, err = l.client.RoundTrip(out); err == nil {
		heard = x.dialect.Hear(answer.StatusCode, answer.Header, c.name)
		err = checkAnswer(answer, heard)
	}
	if err != nil {
		x.evidence.failed(c.service.doc.Name, s.Target)
		result := x.failed(l, c, s, err)
		c.feedback = noAnswer(r.Context(), result)
		return result
	}
	x.evidence.answered(c.service.doc.Name, s.Target, heard)
	c.feedback = readFeedback(answer.StatusCode, heard, x.metrics)
	if heard.NotRun {
		x.drop(l, answer)
		return engine.NotRun
	}
	if err = x.giveAnswer(w, answer); err != nil {
		x.pool.discard(l)
		x.log.Warn("answer cut short", "call", c.name, "target", s.Target, "error", err)
		return engine.Broken
	}
	l.end()
	return engine.Answered
}

// failed ends an attempt without an answer.
func (x *exchange) failed(l *link, c *call, s engine.Send, err error) engine.Result {
	result := engine.NotRun
	if x.pool.discard(l) {
		result = engine.Unknown
	}
	x.log.Info("attempt failed", "call", c.name, "target", s.Target, "fresh_connection", l.fresh,
		"may_have_run", result == engine.Unknown, "error", err)
	return result
}

// drop reads the rest of a refusal that the caller does not get.
func (x *exchange) drop(l *link, answer *http.Response) {
	if n, err := io.CopyN(io.Discard, answer.Body, maxRefusalBytes); n == maxRefusalBytes || !errors.Is(err, io.EOF) {
		x.pool.discard(l)
		return
	}
	answer.Body.Close()
	l.end()
}

// watchSilence retires the idle connections beside l when its target sends no
// byte for silenceLimit, because the path may have lost track of them all. An
// idempotent call leaves a connection that had long been idle; any other call
// goes on waiting, because its target may merely be slow. The returned
// function ends the watch.
func (x *exchange) watchSilence(l *link, c *call, s engine.Send) func() {
	if l.fresh {
		return func() {}
	}
	doubtful := l.heardBefore(l.begun.Add(-trustAge))
	limit := silenceOf(c.class)
	var timer *time.Timer
	timer = time.AfterFunc(limit, func() {
		since, silent := l.silentSince()
		if !silent {
			return
		}
		if wait := limit - time.Since(since); wait > 0 {
			timer.Reset(wait)
			return
		}
		abandon := doubtful && c.class.Idempotent && !x.stopping.Load()
		n := x.pool.retire(s.Address, since)
		x.metrics.Count("connections_silent").Add(1)
		x.log.Warn("connection silent", "call", c.name, "target", s.Target, "retired", n, "abandoned", abandon)
		if abandon {
			l.seal()
		}
	})
	return func() { timer.Stop() }
}

// silenceOf returns how long a call waits for the first byte of an answer
// until it takes the connection for silent.
func silenceOf(class spec.Class) time.Duration {
	return max(silenceLimit, silenceAims*class.Aim)
}

// checkAnswer returns why an answer can not be the final answer to the call.
func checkAnswer(answer *http.Response, heard wire.Heard) error {
	if answer.StatusCode < http.StatusOK {
		return errBadStatus
	}
	if heard.Foreign {
		return errForeignAnswer
	}
	return nil
}

// newRequest builds the request to a target.
func (x *exchange) newRequest(ctx context.Context, r *http.Request, c *call, s engine.Send, view *bodyView) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = s.Address.String()
	// The library sends the body of a refused upload after all, unless the
	// connection is to be closed.
	out.Close = asksFirst(r)
	out.GetBody = nil
	out.Body = nil
	out.Trailer = r.Trailer // The server fills it in once the body is read.
	if r.ContentLength != 0 {
		out.Body = view
	}
	stripHeader(out.Header)
	if !x.dialect.Plain {
		setForwarded(out.Header, r, c.trusted)
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	x.dialect.Ask(out.Header, wire.Asked{Call: c.name, Target: s.Target, Left: time.Until(c.deadline)})
	return out
}

// asksFirst reports whether the caller waits to be told to send its body.
func asksFirst(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// earlyHints passes informational answers on; the libraries on both sides
// treat 100 Continue themselves.
func earlyHints(w answerWriter) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: func(code int, header textproto.MIMEHeader) error {
		if code != http.StatusEarlyHints {
			return nil
		}
		link := header["Link"]
		w.Header()["Link"] = link
		w.WriteHeader(code)
		w.Header().Del("Link")
		return nil
	}}
}

// giveAnswer streams an answer to the caller. It returns an error when the
// answer was cut short, by the target or because the caller has gone.
func (x *exchange) giveAnswer(w answerWriter, answer *http.Response) error {
	defer answer.Body.Close()
	stripHeader(answer.Header)
	x.dialect.Answer(answer.Header)
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = append(header[name], values...)
	}
	for name := range answer.Trailer {
		header.Add("Trailer", name)
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // Keeps the library from guessing one.
	}
	w.WriteHeader(answer.StatusCode)
	if err := copyAnswer(w, answer); err != nil {
		return err
	}
	x.dialect.Answer(answer.Trailer)
	for name, values := range answer.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

// copyAnswer copies an answer's body. An answer of unknown length is flushed
// with every read, since its target may pause for long between two parts.
func copyAnswer(w answerWriter, answer *http.Response) error {
	buf := make([]byte, answerBuffer(answer.ContentLength))
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if _, failed := w.Write(buf[:n]); failed != nil {
				return failed
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		if answer.ContentLength >= 0 {
			continue
		}
		if err = w.control.Flush(); err != nil {
			return err
		}
	}
}

// answerBuffer returns the size of the buffer for an answer of length bytes;
// one byte more lets the end of a short answer come with its last read.
func answerBuffer(length int64) int64 {
	if length < 0 {
		return copyBufferBytes
	}
	return min(length+1, copyBufferBytes)
}

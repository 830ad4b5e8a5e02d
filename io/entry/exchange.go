package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/wire"
)

type (
	// exchange sends calls to targets and streams their answers back.
	exchange struct {
		transport *http.Transport
		evidence  *evidence
	}

	// body is a caller's request body; it notes when reading has begun, after
	// which the request can not be sent again.
	body struct {
		io.ReadCloser
		read atomic.Bool
		sent bool
	}
)

const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	idlePerTarget    = 64
	copyBufferBytes  = 32 << 10
	maxAnswerHeaders = 64 << 10
)

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func newExchange() *exchange {
	return &exchange{transport: &http.Transport{
		DialContext:            dialer(dialTimeout),
		MaxIdleConnsPerHost:    idlePerTarget,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeaders,
	}}
}

func newBody(r io.ReadCloser) *body {
	return &body{ReadCloser: r}
}

// Read notes that the body has been touched.
func (b *body) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}

// Close leaves the caller's body open, so that an attempt that did not touch
// it can be followed by another.
func (b *body) Close() error {
	return nil
}

func (b *body) started() bool {
	return b.read.Load()
}

// attempt sends the call to one target. When the target answers, the answer
// is streamed to the caller; if it is then cut short, the caller's connection
// is aborted so that it can not be taken for whole.
func (x *exchange) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, s engine.Send) engine.Result {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	out := x.request(httptrace.WithClientTrace(ctx, trace), r, c, s)
	var (
		answer *http.Response
		err    error
	)
	if answer, err = x.transport.RoundTrip(out); err != nil {
		x.evidence.failed(c.service.doc.Name, s.Target)
		if !connected {
			return engine.NotRun
		}
		c.body.sent = true
		return engine.Unknown
	}
	defer answer.Body.Close()
	x.evidence.answered(c.service.doc.Name, s.Target, answer.Header)
	if answer.Header.Get(wire.HeaderOutcome) == wire.OutcomeNotRun && answer.StatusCode == http.StatusServiceUnavailable {
		return engine.NotRun
	}
	c.body.sent = true
	giveAnswer(w, answer)
	return engine.Answered
}

// request builds the request to a target. Its body is never nil when the call
// is not idempotent, so that the transport does not send it twice by itself.
func (x *exchange) request(ctx context.Context, r *http.Request, c *call, s engine.Send) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = s.Address.String()
	out.Close = false
	out.GetBody = nil
	if r.ContentLength == 0 {
		out.Body = nil
	} else {
		out.Body = c.body
	}
	stripHeader(out.Header)
	for name := range out.Header {
		if strings.HasPrefix(name, wire.Prefix) {
			delete(out.Header, name)
		}
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	out.Header.Set(wire.HeaderCall, c.name)
	if deadline, ok := ctx.Deadline(); ok {
		out.Header.Set(wire.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	return out
}

func giveAnswer(w http.ResponseWriter, answer *http.Response) {
	stripHeader(answer.Header)
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	w.WriteHeader(answer.StatusCode)
	buf := make([]byte, copyBufferBytes)
	if _, err := io.CopyBuffer(w, answer.Body, buf); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stripHeader removes the fields that hold for one connection only. Source:
// RFC 9110, section 7.6.1.
func stripHeader(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

package entry

import (
	"context"
	"io"
	"net/http"
	"slices"

	"cardamomspool/core/engine"
)

// heldAnswer is a whole answer of a target that has not been passed to the caller yet.
type heldAnswer struct {
	target string
	status int
	header http.Header
	body   []byte
}

// maxHeldBytes bounds the body of an answer that is read whole before any of it is
// passed to the caller.
const maxHeldBytes = 8 << 10

// failureStatuses are the statuses with which a target says that it failed, and another
// may not.
var failureStatuses = []int{
	http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable,
}

// mayHold reports whether another attempt may follow this one, or is running beside it,
// although the target has answered: the call may run more than once and its body can be
// sent again.
func (a *attempt) mayHold(s engine.Send) bool {
	return a.class.Idempotent && !a.carriedIn && !a.carrier.IsValid() && a.body.replayable() &&
		(a.class.Attempts == 0 || s.Attempt < a.class.Attempts || a.mayYield())
}

// receiveAnswer passes a target's answer to the caller. If another attempt may follow, a
// short answer is read whole first. One that breaks off is then a failed attempt. One with
// which the target says that it failed is kept in a.failure, to be passed on unless another
// target answers. It returns Withdrawn if another attempt has won.
func (f *forwarder) receiveAnswer(ctx context.Context, w responseWriter, resp *http.Response, a *attempt, s engine.Send) (engine.Result, error) {
	failed := slices.Contains(failureStatuses, resp.StatusCode)
	if !failed && !a.claim(ctx, failed) {
		return a.notClaimed(ctx)
	}
	if !a.mayHold(s) || resp.ContentLength < 0 || resp.ContentLength > maxHeldBytes || len(resp.Trailer) > 0 {
		if failed && !a.claim(ctx, failed) {
			return a.notClaimed(ctx)
		}
		if err := f.streamResponse(w, resp, a.carriedIn); err != nil {
			return engine.Broken, err
		}
		return engine.Answered, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes))
	if err != nil {
		return engine.Unknown, err
	}
	resp.Body.Close()
	answer := &heldAnswer{target: s.Target, status: resp.StatusCode, header: resp.Header, body: body}
	if failed {
		a.failure = answer
		f.metrics.Counter("answers_held").Add(1)
		return engine.Unknown, nil
	}
	if err = f.writeAnswer(w, answer); err != nil {
		return engine.Broken, err
	}
	return engine.Answered, nil
}

// writeAnswer passes an answer to the caller.
func (f *forwarder) writeAnswer(w responseWriter, a *heldAnswer) error {
	stripHeader(a.header)
	f.dialect.PrepareAnswer(a.header)
	copyHeader(w.Header(), a.header)
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		return callerError{err}
	}
	return nil
}

// copyHeader copies the header of an answer to that of the response to the caller.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // Disables content sniffing in net/http.
	}
}

// passHeld passes the answer that is held for a call to its caller and reports whether
// there was one. No other attempt has given a better one.
func (h *Host) passHeld(w responseWriter, c *call) bool {
	a := c.held
	if a == nil {
		return false
	}
	c.held = nil
	if err := h.forwarder.writeAnswer(w, a); err != nil {
		h.log.Info("answer not passed on", "call", c.name, "target", a.target, "status", a.status, "error", err)
		return true
	}
	if h.sampled() {
		h.log.Info("failure passed on", "call", c.name, "service", c.service.doc.Name, "target", a.target, "status", a.status)
	}
	return true
}

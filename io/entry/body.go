package entry

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/keys"
	"cardamomspool/core/wire"
)

type (
	// body is a caller's request body. It buffers up to maxReplayBytes, so that a
	// call can be retried as long as no more of its body has been read.
	body struct {
		controller *http.ResponseController
		// interrupted is set when this host has made a read of source fail. The
		// rest of the body can then not be read.
		interrupted atomic.Bool
		// whole is set once source was read to its end.
		whole atomic.Bool

		mu           sync.Mutex // Held while source is read.
		source       io.Reader
		replayBuffer []byte
		bytesRead    int64
		err          error // The error that ended source: io.EOF when it was read whole, nil before its end.
		// onEnd, if not nil, is called when source was read to its end.
		onEnd func()
	}

	// bodyView reads a body from its start for one attempt. Once closed it reads
	// nothing more from the caller.
	bodyView struct {
		body   *body
		offset int64
		closed atomic.Bool

		abortMu  sync.Mutex // Held during abort; guards released.
		released bool       // The attempt has ended: abort must not interrupt the caller.
	}
)

// maxReplayBytes bounds the part of a body that is buffered for retries.
const maxReplayBytes = 16 << 10

var (
	_ io.ReadCloser = (*bodyView)(nil)

	errViewClosed  = errors.New("entry: the attempt has ended")
	errInterrupted = errors.New("entry: the body was not read to its end")
)

// newBody returns the body of r, limited to limit bytes. Without a body in r it
// is empty and complete.
func newBody(w responseWriter, r *http.Request, limit int) *body {
	b := &body{controller: w.controller}
	if r.ContentLength == 0 {
		b.err = io.EOF
		b.whole.Store(true)
		return b
	}
	b.source = http.MaxBytesReader(w.ResponseWriter, r.Body, int64(limit))
	return b
}

// prefetch reads from the caller before the first attempt: the whole body when
// length, in bytes, is at most maxReplayBytes and not negative (unknown), otherwise
// what one read returns. A slow caller of a short body thus occupies no target, and
// a body that is invalid from its start reaches none. It returns the error with
// which the body ended early.
func (b *body) prefetch(length int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil {
		b.readSource(make([]byte, min(maxReplayBytes, max(length-b.bytesRead, 512))))
		if length < 0 || length > maxReplayBytes {
			break
		}
	}
	return b.sourceErrorLocked()
}

// readSource reads once from source into p and returns the number of bytes. It
// also buffers the first maxReplayBytes of the body. The caller holds mu.
func (b *body) readSource(p []byte) int {
	n, err := b.source.Read(p)
	if b.bytesRead == int64(len(b.replayBuffer)) {
		b.replayBuffer = append(b.replayBuffer, p[:min(n, maxReplayBytes-len(b.replayBuffer))]...)
	}
	b.bytesRead += int64(n)
	b.err = err
	if err != nil && b.interrupted.Load() {
		b.err = errInterrupted
	}
	if errors.Is(b.err, io.EOF) {
		if b.onEnd != nil {
			b.onEnd()
		}
		b.whole.Store(true)
	}
	return n
}

// filterTrailer has the key and the account removed from the trailer of a call at a
// deployment with client accounts. net/http adds all fields of a trailer to r.Trailer at
// the end of the body, also those that the caller has not named before.
func (b *body) filterTrailer(c *call, r *http.Request) {
	if c.admission.plan == nil || c.admission.plan.accounts == nil || r.Trailer == nil {
		return
	}
	filter := func() {
		wire.DeleteField(r.Trailer, keys.Field)
		if c.host.dialect.FilterTrailer != nil {
			c.host.dialect.FilterTrailer(r.Trailer)
		}
	}
	filter()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onEnd = filter
}

// fetchBeginning reads until limit bytes, at most maxReplayBytes, or the whole body are
// buffered. It returns the error with which the body ended early. No view may be open.
func (b *body) fetchBeginning(limit int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && b.bytesRead < int64(limit) {
		b.readSource(make([]byte, int64(limit)-b.bytesRead))
	}
	return b.sourceErrorLocked()
}

// beginning returns the first limit bytes of what was read of the body, or less. limit is
// at most maxReplayBytes.
func (b *body) beginning(limit int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.replayBuffer[:min(limit, len(b.replayBuffer))])
}

// sourceErrorLocked returns the error with which source ended before the end of
// the body, or nil. The caller holds mu.
func (b *body) sourceErrorLocked() error {
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// sourceError returns the error with which the caller's body ended early, or
// nil. It returns nil for a body that this host stopped reading.
func (b *body) sourceError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, errInterrupted) {
		return nil
	}
	return b.sourceErrorLocked()
}

// complete reports whether the caller's body was read to its end. It does not
// block.
func (b *body) complete() bool {
	return b.whole.Load()
}

// replayable reports whether another attempt can read the body from its start:
// all bytes read so far are buffered and the caller's body has not failed. No view
// may be open.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytesRead == int64(len(b.replayBuffer)) && b.sourceErrorLocked() == nil
}

// buffered reports whether the whole body is buffered, so that two attempts can read it at
// the same time. It does not wait for the caller.
func (b *body) buffered() bool {
	if !b.complete() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytesRead == int64(len(b.replayBuffer)) && b.sourceErrorLocked() == nil
}

// newView returns a view for one attempt, which must release it.
func (b *body) newView() *bodyView {
	return &bodyView{body: b}
}

// Read returns buffered bytes first and then reads from the caller.
func (v *bodyView) Read(p []byte) (int, error) {
	v.body.mu.Lock()
	defer v.body.mu.Unlock()
	b := v.body
	switch {
	case v.closed.Load():
		return 0, errViewClosed
	case v.offset < int64(len(b.replayBuffer)):
		n := copy(p, b.replayBuffer[v.offset:])
		v.offset += int64(n)
		return n, nil
	case b.err != nil:
		return 0, b.err
	}
	n := b.readSource(p)
	v.offset += int64(n)
	if n > 0 {
		return n, nil // The next Read returns the error, if any.
	}
	return 0, b.err
}

// Close makes further reads fail. net/http calls it, possibly during a Read.
func (v *bodyView) Close() error {
	v.closed.Store(true)
	return nil
}

// abort closes the view without blocking. If a read from the caller is blocked,
// abort interrupts that read, after which the body cannot be read further;
// otherwise net/http would wait for the read before reporting that the connection
// to the target has ended. After release abort interrupts nothing, since the
// caller may have sent its next request.
func (v *bodyView) abort() {
	v.abortMu.Lock()
	defer v.abortMu.Unlock()
	v.closed.Store(true)
	if v.released || v.body.complete() {
		return
	}
	if v.body.mu.TryLock() {
		v.body.mu.Unlock()
		return
	}
	v.body.interrupted.Store(true)
	if err := v.body.controller.SetReadDeadline(time.Now()); err != nil {
		return // The caller's connection is closed, which ends the read.
	}
}

// release closes the view, as abort does, and returns when no read is in progress.
func (v *bodyView) release() {
	v.abort()
	v.abortMu.Lock()
	v.released = true
	v.abortMu.Unlock()
	v.body.mu.Lock()
	defer v.body.mu.Unlock()
}

package entry

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

type (
	// body is a caller's request body. It keeps its first replayLimit bytes,
	// so that an attempt that was not run can be followed by another.
	body struct {
		control *http.ResponseController
		// interrupted says that this host broke off a read of source.
		interrupted atomic.Bool

		mu     sync.Mutex // Held while source is read.
		source io.Reader
		kept   []byte
		total  int64
		err    error // What the source ended with; io.EOF when whole.
	}

	// bodyView is the body as one attempt reads it. Once closed it reads
	// nothing more from the caller.
	bodyView struct {
		body   *body
		at     int64
		closed atomic.Bool

		ending   sync.Mutex // Held while the view is broken off.
		released bool
	}
)

const replayLimit = 16 << 10

var (
	_ io.ReadCloser = (*bodyView)(nil)

	errViewClosed  = errors.New("entry: the attempt has ended")
	errInterrupted = errors.New("entry: the body was not read to its end")
)

// newBody returns the body of r, or one that is empty and whole.
func newBody(w answerWriter, r *http.Request, limit int) *body {
	b := &body{control: w.control}
	if r.ContentLength == 0 {
		b.err = io.EOF
		return b
	}
	b.source = http.MaxBytesReader(w.ResponseWriter, r.Body, int64(limit))
	return b
}

// prefetch reads the first bytes of the body, and the whole of one whose
// length is known to be within replayLimit, so that a slow caller holds no
// target and a body that is broken from the start reaches none.
func (b *body) prefetch(length int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil {
		b.fill(make([]byte, min(replayLimit, max(length-b.total, 512))))
		if length < 0 || length > replayLimit {
			break
		}
	}
	return b.fault()
}

// fill reads once from the source and keeps what fits. The caller holds mu.
func (b *body) fill(p []byte) int {
	n, err := b.source.Read(p)
	if b.total+int64(n) <= replayLimit {
		b.kept = append(b.kept, p[:n]...)
	}
	b.total += int64(n)
	b.err = err
	if err != nil && b.interrupted.Load() {
		b.err = errInterrupted
	}
	return n
}

// fault returns why the source ended early, or nil. The caller holds mu.
func (b *body) fault() error {
	if errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// failed returns why the caller's body ended early, or nil. A body that this
// host stopped reading has not failed.
func (b *body) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(b.err, errInterrupted) {
		return nil
	}
	return b.fault()
}

// whole reports whether the caller's body was read to its end. It does not
// wait for a read that is under way.
func (b *body) whole() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// replayable reports whether another attempt can read the body from its
// start. No view may be open.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total == int64(len(b.kept)) && b.fault() == nil
}

func (b *body) view() *bodyView {
	return &bodyView{body: b}
}

// Read reads the kept bytes, then the caller's.
func (v *bodyView) Read(p []byte) (int, error) {
	v.body.mu.Lock()
	defer v.body.mu.Unlock()
	b := v.body
	switch {
	case v.closed.Load():
		return 0, errViewClosed
	case v.at < int64(len(b.kept)):
		n := copy(p, b.kept[v.at:])
		v.at += int64(n)
		return n, nil
	case b.err != nil:
		return 0, b.err
	}
	n := b.fill(p)
	v.at += int64(n)
	if n > 0 {
		return n, nil // The error, if any, comes with the next read.
	}
	return 0, b.err
}

// Close keeps the attempt from reading on. The library calls it, also while a
// read is under way.
func (v *bodyView) Close() error {
	v.closed.Store(true)
	return nil
}

// breakOff ends the view without waiting. A read that waits for the caller is
// interrupted, and with it the body. The library waits for such a read before
// it reports that the connection to the target has ended. It does nothing once
// the view is released: the caller may have sent its next request.
func (v *bodyView) breakOff() {
	v.ending.Lock()
	defer v.ending.Unlock()
	v.closed.Store(true)
	if v.released {
		return
	}
	if v.body.mu.TryLock() {
		v.body.mu.Unlock()
		return
	}
	v.body.interrupted.Store(true)
	if err := v.body.control.SetReadDeadline(time.Now()); err != nil {
		return // The caller's connection has gone, which ends the read.
	}
}

// release ends the view and returns once no read is under way.
func (v *bodyView) release() {
	v.breakOff()
	v.ending.Lock()
	v.released = true
	v.ending.Unlock()
	v.body.mu.Lock()
	defer v.body.mu.Unlock()
}

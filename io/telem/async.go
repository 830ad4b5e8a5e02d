package telem

import (
	"context"
	"io"
	"sync/atomic"
)

// AsyncWriter is a non-blocking writer: Write puts lines into a bounded buffer,
// and Run writes them to the underlying writer. When the buffer is full, lines
// are dropped and counted. Use NewAsyncWriter.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// batchBytes is the size from which a batch is written without adding further
// lines. A batch may exceed it by one line.
const batchBytes = 32 << 10

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns a writer to w that buffers up to the given number of
// lines, at least 1.
func NewAsyncWriter(w io.Writer, lines int) *AsyncWriter {
	return &AsyncWriter{w: w, lines: make(chan []byte, max(lines, 1))}
}

// Write puts a copy of one line into the buffer, or drops it when the buffer is
// full. It returns the line's length and never fails; see Dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the buffer was full
// or a write failed.
func (a *AsyncWriter) Dropped() int64 {
	return a.dropped.Load()
}

// Run writes buffered lines until ctx ends, and then the lines that are still in
// the buffer.
func (a *AsyncWriter) Run(ctx context.Context) {
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.flush(append(batch[:0], line...))
		case <-ctx.Done():
			for len(a.lines) > 0 {
				batch = a.flush(batch[:0])
			}
			return
		}
	}
}

// flush appends buffered lines to batch, writes it and returns its memory for reuse.
func (a *AsyncWriter) flush(batch []byte) []byte {
	lines := int64(1)
	for len(batch) < batchBytes {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
			lines++
			continue
		default:
		}
		break
	}
	if _, err := a.w.Write(batch); err != nil {
		a.dropped.Add(lines)
	}
	return batch
}

package telem_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/io/telem"
)

func TestAsyncWritesAllLinesInOrderBeforeItEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	var out, want bytes.Buffer
	a := telem.NewAsyncWriter(&out, 100)
	for i := range 100 {
		fmt.Fprintf(a, "line %d\n", i)
		fmt.Fprintf(&want, "line %d\n", i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a.Run(ctx)
	g.Expect(out.String()).To(gomega.Equal(want.String()))
	g.Expect(a.Dropped()).To(gomega.BeZero())
}

func TestAsyncDropsAndCountsWhenTheWriterStalls(t *testing.T) {
	g := gomega.NewWithT(t)
	stalled, stall := io.Pipe()
	a := telem.NewAsyncWriter(stall, 10)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx)
	}()
	written := make(chan struct{})
	line := bytes.Repeat([]byte("x"), 1024)
	go func() {
		defer close(written)
		for range 1000 {
			a.Write(line)
		}
	}()
	g.Eventually(written, 10*time.Second).Should(gomega.BeClosed())
	// Lines that are not dropped are in the buffer or in the one stalled write,
	// which holds at most 32 KiB and one line.
	g.Expect(a.Dropped()).To(gomega.BeNumerically(">=", 1000-10-33))
	stalled.Close()
	cancel()
	g.Eventually(ended, 10*time.Second).Should(gomega.BeClosed())
}

func BenchmarkAsyncWriter(b *testing.B) {
	a := telem.NewAsyncWriter(io.Discard, 4096)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go a.Run(ctx)
	line := bytes.Repeat([]byte("x"), 300)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := a.Write(line); err != nil {
			b.Fatal(err)
		}
	}
}

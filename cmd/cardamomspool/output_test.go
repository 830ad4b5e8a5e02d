package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// TestProcessRunsWithoutLogReader closes the reading end of the log's pipe. The
// process must keep serving and stop as usual. If it did not ignore SIGPIPE, the first
// log line would end it.
func TestProcessRunsWithoutLogReader(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reader.Close()).To(gomega.Succeed())
	cmd, call := startFleetEntry(t, 100*time.Millisecond, writer)
	writer.Close()
	g.Eventually(func() error { return awaitListener(call) }, startTimeout).Should(gomega.Succeed())
	g.Consistently(func() error { return awaitListener(call) }, time.Second, 50*time.Millisecond).Should(gomega.Succeed())
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	g.Expect(cmd.Wait()).To(gomega.Succeed())
}

// TestProcessStopsWithBlockedLog fills the log's pipe, so that writes to it
// block. The process must serve, and when it stops it must wait for the pipe no
// longer than flushTimeout.
func TestProcessStopsWithBlockedLog(t *testing.T) {
	t.Parallel()
	const drain = 100 * time.Millisecond
	g := gomega.NewWithT(t)
	reader, writer, err := os.Pipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer reader.Close()
	size, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = writer.Write(make([]byte, size))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cmd, call := startFleetEntry(t, drain, writer)
	writer.Close()
	g.Eventually(func() error { return awaitListener(call) }, startTimeout).Should(gomega.Succeed())
	g.Expect(cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	g.Eventually(ended, drain+flushTimeout+5*time.Second).Should(gomega.Receive(gomega.Succeed()))
}

package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/io/drain"
)

// maxShutdownTime is well below the 5 s that http.Server.Shutdown waits.
const maxShutdownTime = 3 * time.Second

func TestShutdownDoesNotWaitForUnusedConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := drain.New(&http.Server{ReadHeaderTimeout: time.Minute})
	go s.Serve(l)
	unused, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer unused.Close()
	time.Sleep(50 * time.Millisecond) // The server accepts the connection.

	begin := time.Now()
	g.Expect(s.Shutdown(context.Background())).To(gomega.Succeed())
	g.Expect(time.Since(begin)).To(gomega.BeNumerically("<", maxShutdownTime))
}

func TestShutdownCompletesOpenRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	started := make(chan struct{})
	s := drain.New(&http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			time.Sleep(2 * drain.UnusedAge)
			io.WriteString(w, "whole")
		})})
	go s.Serve(l)
	stopped := make(chan error, 1)
	go func() {
		<-started
		stopped <- s.Shutdown(context.Background())
	}()
	resp, err := http.Get("http://" + l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal("whole"))
	g.Eventually(stopped, maxShutdownTime).Should(gomega.Receive(gomega.BeNil()))
}

// Guards against a connection that is closed while its first request is still on the
// way, behind the bodies of others on the host's link.
func TestShutdownAnswersRequestThatArrivesLate(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "late") })})
	go s.Serve(l)
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer c.Close()
	time.Sleep(50 * time.Millisecond) // The server accepts the connection.
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	time.Sleep(600 * time.Millisecond)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := io.ReadAll(c)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(answer)).To(gomega.HaveSuffix("late"))
	g.Expect(<-stopped).To(gomega.Succeed())
}

// Guards against requests on kept connections that are lost as a server stops: their
// first bytes have been read, the rest is still on the way.
func TestShutdownAnswersRequestThatHasBegunOnKeptConnection(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			s := drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") })})
			go s.Serve(l)
			c, err := net.Dial("tcp", l.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer c.Close()
			g.Expect(c.SetDeadline(time.Now().Add(maxShutdownTime))).To(gomega.Succeed())
			answers := bufio.NewReader(c)
			call := func(parts ...string) {
				for i, part := range parts {
					if i > 0 {
						time.Sleep(pause)
					}
					_, err := io.WriteString(c, part)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				resp, err := http.ReadResponse(answers, nil)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				body, err := io.ReadAll(resp.Body)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(string(body)).To(gomega.Equal("whole"))
			}
			call(request)
			_, err = io.WriteString(c, request[:10])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(20 * time.Millisecond) // The server reads the first bytes.
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(context.Background()) }()
			time.Sleep(5 * time.Millisecond)
			call(request[10:20], request[20:])
			g.Eventually(stopped, maxShutdownTime).Should(gomega.Receive(gomega.BeNil()))
		})
	}
}

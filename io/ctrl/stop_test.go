package ctrl_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
	"cardamomspool/core/strict"
	"cardamomspool/internal/granted"
	"cardamomspool/io/ctrl"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// answer is the status of an answer, or why there is none.
type answer struct {
	status int
	err    error
}

const (
	// stallTime is how long hosts are stalled in these specs; it is shorter than the time
	// after which a message to them counts as lost.
	stallTime = 400 * time.Millisecond
	// prompt bounds what a stopping host does at once.
	prompt = 500 * time.Millisecond
)

// newStoppingFleet returns a running fleet of three hosts that have agreed on plan 1 and
// serve plans and targets at their fronts, each with the given time to stop.
func newStoppingFleet(stopTime time.Duration) *testFleet {
	s := newTestFleet(3)
	s.front = planFront
	s.settings = func(cfg *setup.Control) { cfg.StopGrace = strict.Duration(stopTime) }
	for i := range 3 {
		s.startHost(i, true)
	}
	s.putPlan(1)
	for i := range 3 {
		s.expectPlan(i, 1)
	}
	return s
}

// planFront serves changes of the plan and the states of targets.
func planFront(h *ctrl.Host) http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, err error) {
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	mux.HandleFunc("PUT /plan/{version}", func(w http.ResponseWriter, r *http.Request) {
		version, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
		if err == nil {
			err = h.PutPlan(r.Context(), document(version))
		}
		reply(w, err)
	})
	mux.HandleFunc("PUT /targets/{id}/{state}", func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if err == nil {
			t := stoppingTarget(r.PathValue("id"))
			if r.PathValue("state") == "draining" {
				t.State = member.Draining
			}
			err = h.Announce(r.Context(), t)
		}
		reply(w, err)
	})
	return mux
}

// stoppingTarget returns a ready target.
func stoppingTarget(id string) roster.Target {
	return roster.Target{
		ID: id, Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 3, State: member.Ready,
		Born: time.UnixMilli(1), Sequence: uint64(time.Now().UnixMilli()), Heard: time.Now(),
	}
}

// frontAddress and apiAddress return the addresses of host i.
func (s *testFleet) frontAddress(i int) string {
	return netip.AddrPortFrom(s.address(i), s.ports[2].Port()).String()
}

func (s *testFleet) apiAddress(i int) string {
	return netip.AddrPortFrom(s.address(i), s.ports[1].Port()).String()
}

// send sends a request without a body on a connection of its own.
func send(method, address, path string) <-chan answer {
	done := make(chan answer, 1)
	go func() {
		r, err := http.NewRequest(method, "http://"+address+path, http.NoBody)
		if err != nil {
			done <- answer{err: err}
			return
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(r)
		if err != nil {
			done <- answer{err: err}
			return
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		done <- answer{status: resp.StatusCode, err: err}
	}()
	return done
}

// dial opens a connection that is closed when the spec ends.
func dial(address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	gomega.ExpectWithOffset(1, err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(c.Close)
	gomega.ExpectWithOffset(1, c.SetDeadline(time.Now().Add(time.Minute))).To(gomega.Succeed())
	return c, bufio.NewReader(c)
}

// readAnswer reads an answer.
func readAnswer(r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return answer{status: resp.StatusCode, err: err}
}

// header returns the header of a request with a body of n bytes.
func header(path string, n int) string {
	return fmt.Sprintf("PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, n)
}

// beginStop tells host i to stop and returns what receives the result of its Run.
func (s *testFleet) beginStop(i int) <-chan error {
	r := s.hosts[i]
	s.mu.Lock()
	delete(s.hosts, i)
	s.mu.Unlock()
	r.stop()
	return r.ended
}

// openStreams opens the streams of an entry host to host i.
func (s *testFleet) openStreams(i int) (peerpb.Fleet_PlaceClient, peerpb.Fleet_FollowClient) {
	var (
		conn   *grpc.ClientConn
		place  peerpb.Fleet_PlaceClient
		follow peerpb.Fleet_FollowClient
		err    error
	)
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	conn, err = peer.Dial(netip.AddrPortFrom(s.address(i), s.ports[0].Port()))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(conn.Close)
	client := peerpb.NewFleetClient(conn)
	follow, err = client.Follow(ctx, &peerpb.FollowRequest{Host: "entry-1", Entry: "127.0.0.1:1", DataCentre: "xela"})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = follow.Recv()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	place, err = client.Place(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(place.Send(arrival(1))).To(gomega.Succeed())
	_, err = place.Recv()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return place, follow
}

// arrival returns the arrival of a call.
func arrival(call uint64) *peerpb.CallEvents {
	return &peerpb.CallEvents{Events: []*peerpb.CallEvent{{
		Call: call, Service: "s", Event: &peerpb.CallEvent_Arrive{Arrive: &peerpb.CallArrive{LeftMs: 5000, Attempts: 1, Weight: 1}},
	}}}
}

var _ = ginkgo.Describe("A stopping control host", func() {
	ginkgo.It("names the requests that it cuts off", func() {
		s := newStoppingFleet(300 * time.Millisecond)
		c, _ := dial(s.frontAddress(0))
		_, err := io.WriteString(c, header("/targets/t/ready", 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		granted.Sleep(stallTime / 4)
		gomega.Eventually(s.beginStop(0)).WithContext(within(4 * time.Second)).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(s.lines.text()).To(gomega.MatchRegexp(`"request cut off by stop","host":"control-0".*"server":"front","method":"PUT","path":"/targets/t/ready","after_stop":"\d`))
		gomega.Expect(s.lines.text()).To(gomega.MatchRegexp(`"control host stopped","host":"control-0".*"requests_cut_off":1`))
	})

	// Guards against changes that a stopping host gives up although it has the time to
	// finish them.
	ginkgo.DescribeTable("finishes a change that waits for a majority", func(atFront bool) {
		s := newStoppingFleet(6 * time.Second)
		var release []func()
		for i := 1; i < 3; i++ {
			release = append(release, ctrl.HoldSteps(s.hosts[i].host))
		}
		var done <-chan answer
		if atFront {
			done = send(http.MethodPut, s.frontAddress(0), "/plan/2")
		} else {
			done = send(http.MethodPost, s.apiAddress(0), "/v1/evacuations/xela")
		}
		granted.Sleep(stallTime / 4)
		ended := s.beginStop(0)
		granted.Sleep(stallTime / 2)
		for _, f := range release {
			f()
		}
		gomega.Eventually(done).WithContext(within(8 * time.Second)).Should(gomega.Receive(gomega.Equal(answer{status: http.StatusOK})))
		gomega.Eventually(ended).WithContext(within(4 * time.Second)).Should(gomega.Receive(gomega.BeNil()))
		if atFront {
			s.expectPlan(1, 2)
		}
	},
		ginkgo.Entry("at the front", true),
		ginkgo.Entry("at the operators' API", false),
	)

	ginkgo.It("answers every request that it has begun to read", func() {
		s := newStoppingFleet(6 * time.Second)
		s.stopHost(2) // A majority now needs the disk of the stopping host.
		body := strings.Repeat("x", 64)
		c, answers := dial(s.frontAddress(0))
		_, err := io.WriteString(c, header("/targets/t/draining", len(body))+body[:1])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		granted.Sleep(stallTime / 4)
		ended := s.beginStop(0)
		granted.Sleep(stallTime / 2)
		_, err = io.WriteString(c, body[1:])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(readAnswer(answers)).To(gomega.Equal(answer{status: http.StatusOK}))
		gomega.Eventually(ended).WithContext(within(4 * time.Second)).Should(gomega.Receive(gomega.BeNil()))
	})

	ginkgo.It("answers a change that finds no majority before its time is over", func() {
		const stopTime = 3 * time.Second
		s := newStoppingFleet(stopTime)
		s.stopHost(1)
		s.stopHost(2)
		change := send(http.MethodPut, s.frontAddress(0), "/plan/2")
		order := send(http.MethodPost, s.apiAddress(0), "/v1/evacuations/xela")
		granted.Sleep(stallTime / 4)
		ended := s.beginStop(0)
		gomega.Eventually(ended).WithContext(within(stopTime)).Should(gomega.Receive(gomega.BeNil()))
		for _, done := range []<-chan answer{change, order} {
			gomega.Eventually(done).WithContext(within(prompt)).Should(gomega.Receive(gomega.Equal(answer{status: http.StatusServiceUnavailable})))
		}
	})

	// Guards against calls that wait for a decision which no one makes any more.
	ginkgo.It("ends the streams of calls at once while a request is open", func() {
		s := newStoppingFleet(2 * time.Second)
		place, _ := s.openStreams(0)
		c, answers := dial(s.frontAddress(0))
		_, err := io.WriteString(c, header("/targets/t/ready", 1))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		granted.Sleep(stallTime / 4)
		ended := s.beginStop(0)
		streamEnded := make(chan error, 1)
		go func() {
			for {
				if _, err := place.Recv(); err != nil {
					streamEnded <- err
					return
				}
			}
		}()
		gomega.Eventually(streamEnded).WithContext(within(prompt)).Should(gomega.Receive())
		gomega.Expect(ended).NotTo(gomega.Receive())
		_, err = io.WriteString(c, "x")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(readAnswer(answers)).To(gomega.Equal(answer{status: http.StatusOK}))
		gomega.Eventually(ended).WithContext(within(4 * time.Second)).Should(gomega.Receive(gomega.BeNil()))
	})

	ginkgo.It("leaves at once when no request is open", func() {
		s := newStoppingFleet(10 * time.Second)
		s.openStreams(0)
		c, answers := dial(s.frontAddress(0))
		_, err := io.WriteString(c, header("/targets/t/ready", 0))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(readAnswer(answers).status).To(gomega.Equal(http.StatusOK))
		gomega.Eventually(s.beginStop(0)).WithContext(within(prompt)).Should(gomega.Receive(gomega.BeNil()))
	})

	// Guards against targets whose heartbeat was acknowledged and is known to no host.
	ginkgo.It("acknowledges no heartbeat that the other hosts don't learn", func() {
		s := newStoppingFleet(2 * time.Second)
		s.openStreams(0)
		c, answers := dial(s.frontAddress(0))
		_, err := io.WriteString(c, header("/targets/first/ready", 0))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(readAnswer(answers).status).To(gomega.Equal(http.StatusOK))
		_, err = io.WriteString(c, header("/targets/second/ready", 1)) // Keeps the connection open.
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		other, otherAnswers := dial(s.frontAddress(0))
		granted.Sleep(stallTime / 4)
		ended := s.beginStop(0)
		granted.Sleep(stallTime / 4)
		_, err = io.WriteString(other, header("/targets/third/ready", 0))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.WriteString(c, "x")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		second, third := readAnswer(answers), readAnswer(otherAnswers)
		gomega.Eventually(ended).WithContext(within(4 * time.Second)).Should(gomega.Receive(gomega.BeNil()))
		for id, a := range map[string]answer{"second": second, "third": third} {
			_, known := s.hosts[1].host.Target(id)
			gomega.Expect(a.status == http.StatusOK).To(gomega.Equal(known), "%s: %v, known %v", id, a, known)
		}
		gomega.Expect(third.status).To(gomega.Equal(http.StatusServiceUnavailable), "a request that begins during the stop goes on to another host")
	})

	// Guards against stops that take a time of their own, whatever the process is granted.
	ginkgo.It("uses the time that it is given and no more", func() {
		stopTimes := []time.Duration{3 * time.Second, 6 * time.Second, 10 * time.Second, 30 * time.Second}
		s := newTestFleet(1)
		s.front = planFront
		for i, stopTime := range stopTimes {
			s.settings = func(cfg *setup.Control) {
				cfg.StopTime, cfg.StopGrace = strict.Duration(stopTime), setup.DefaultControl().StopGrace
			}
			s.startHost(i, true)
		}
		s.putPlan(1)
		var group sync.WaitGroup
		defer group.Wait()
		for i, stopTime := range stopTimes {
			c, answers := dial(s.frontAddress(i))
			_, err := io.WriteString(c, header("/targets/t/ready", 1))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			endless, _ := dial(s.frontAddress(i))
			if stopTime < 10*time.Second {
				_, err = io.WriteString(endless, header("/targets/t/ready", 1))
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
			granted.Sleep(stallTime / 4)
			within, cancel := granted.WithTimeout(context.Background(), stopTime)
			ended := s.beginStop(i)
			group.Go(func() {
				defer ginkgo.GinkgoRecover()
				defer cancel()
				time.Sleep(min(stopTime*2/3, 8*time.Second))
				_, err := io.WriteString(c, "x")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(readAnswer(answers)).To(gomega.Equal(answer{status: http.StatusOK}), "%v", stopTime)
				gomega.Eventually(ended).WithContext(within).Should(gomega.Receive(gomega.BeNil()), "%v", stopTime)
			})
		}
	})
})

package ctrl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/core/strict"
	"cardamomspool/internal/granted"
	"cardamomspool/io/ctrl"
	"cardamomspool/io/feed"
	"cardamomspool/io/ports"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

type (
	// testFleet runs the control hosts of a fleet in this process, each on its
	// own loopback address. ports holds addresses whose ports are the peer, the
	// admin and the front port of all hosts; hosts holds the running hosts by index.
	testFleet struct {
		folder string
		ports  []netip.AddrPort
		seeds  []netip.AddrPort
		hosts  map[int]*runningHost
		mu     sync.Mutex           // Guards changes of hosts against sendHeartbeats.
		views  map[uint64]feed.View // Those seen by votingView.
		// configure, unless nil, may change the settings of hosts before they start.
		configure func(*setup.Fleet)
		// settings, unless nil, may change all settings of hosts before they start.
		settings func(*setup.Control)
		// front, unless nil, serves the front address of hosts.
		front func(*ctrl.Host) http.Handler
		lines logLines // Those of all hosts.
	}

	// logLines keeps log lines and shows them with a spec that fails.
	logLines struct {
		mu   sync.Mutex
		kept bytes.Buffer
	}

	// runningHost is a host whose Run has been called; ended receives its result.
	runningHost struct {
		host  *ctrl.Host
		stop  context.CancelFunc
		ended chan error
	}
)

const (
	// planTimeout bounds the wait for a plan; operators wait at least as long.
	planTimeout = 4 * time.Second
	pollPeriod  = 20 * time.Millisecond
)

func TestControlHosts(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Control hosts of a fleet")
}

// newTestFleet returns a fleet without running hosts. Its seeds are the addresses of
// the first hosts, as many as seeds says.
func newTestFleet(seeds int) *testFleet {
	free, err := ports.Free(3)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &testFleet{folder: ginkgo.GinkgoT().TempDir(), ports: free, hosts: make(map[int]*runningHost), views: make(map[uint64]feed.View)}
	for i := range seeds {
		s.seeds = append(s.seeds, netip.AddrPortFrom(s.address(i), free[0].Port()))
	}
	ginkgo.DeferCleanup(func() {
		for i := range s.hosts {
			s.stopHost(i)
		}
	})
	return s
}

// address returns the IP address of host i.
func (s *testFleet) address(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
}

func (s *testFleet) dataFolder(i int) string {
	return filepath.Join(s.folder, fmt.Sprint(i))
}

// startHost starts the host with index i. first tells whether the fleet starts for
// the first time (setup.Fleet.FirstStart).
func (s *testFleet) startHost(i int, first bool) {
	cfg := setup.DefaultControl()
	cfg.Host, cfg.DataCentre, cfg.DataFolder = fmt.Sprintf("control-%d", i), "xela", s.dataFolder(i)
	cfg.PeerAddress = netip.AddrPortFrom(s.address(i), s.ports[0].Port())
	cfg.AdminAddress = netip.AddrPortFrom(s.address(i), s.ports[1].Port())
	cfg.StopGrace = strict.Duration(100 * time.Millisecond)
	cfg.Fleet = setup.Fleet{
		Adapter: setup.AdapterPlatform, Seeds: s.seeds, FirstStart: first,
		FrontAddress: netip.AddrPortFrom(s.address(i), s.ports[2].Port()),
	}
	if s.configure != nil {
		s.configure(&cfg.Fleet)
	}
	if s.settings != nil {
		s.settings(&cfg)
	}
	gomega.Expect(cfg.Validate()).To(gomega.BeEmpty())
	log := telem.NewLogger(&s.lines, slog.LevelInfo, cfg.Host, cfg.DataCentre)
	opts := []ctrl.Option{ctrl.WithLogger(log)}
	if s.front != nil {
		opts = append(opts, ctrl.WithFront(s.front))
	}
	host, err := ctrl.New(cfg, opts...)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	r := &runningHost{host: host, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- host.Run(ctx) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i] = r
}

// Write keeps lines.
func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kept.Write(p)
	return ginkgo.GinkgoWriter.Write(p)
}

// text returns all lines.
func (l *logLines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kept.String()
}

// sendHeartbeats renews the lease of a target at all running hosts until the spec ends, which
// may take longer than roster.Lease on a busy machine.
func (s *testFleet) sendHeartbeats(t roster.Target) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		ticker := time.NewTicker(roster.Lease / 8)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			s.mu.Lock()
			running := slices.Collect(maps.Values(s.hosts))
			s.mu.Unlock()
			for _, r := range running {
				t.Sequence, t.Heard = uint64(time.Now().UnixMilli()), time.Now()
				if err := r.host.Announce(ctx, t); err != nil {
					ginkgo.GinkgoWriter.Println("heartbeat not taken:", err) // The host stops.
				}
			}
		}
	})
	ginkgo.DeferCleanup(func() {
		cancel()
		done.Wait()
	})
}

// stopHost stops host i and expects Run to return no error within 5 s.
func (s *testFleet) stopHost(i int) {
	r := s.hosts[i]
	s.mu.Lock()
	delete(s.hosts, i)
	s.mu.Unlock()
	r.stop()
	gomega.Eventually(r.ended).WithContext(within(5 * time.Second)).Should(gomega.Receive(gomega.BeNil()))
}

func (s *testFleet) wipeDisk(i int) {
	gomega.Expect(os.RemoveAll(s.dataFolder(i))).To(gomega.Succeed())
}

// savedState returns the state of a target on the disk of host i, and 0 if there is none.
func (s *testFleet) savedState(i int, target string) member.State {
	content, err := os.ReadFile(filepath.Join(s.dataFolder(i), "targets.doc"))
	if err != nil {
		return 0
	}
	var saved struct {
		Targets []roster.Target `json:"targets"`
	}
	_, body, _ := strings.Cut(string(content), "\n")
	gomega.Expect(json.Unmarshal([]byte(body), &saved)).To(gomega.Succeed())
	for _, t := range saved.Targets {
		if t.ID == target {
			return t.State
		}
	}
	return 0
}

// within returns a context that ends after d in granted time: a machine that runs this process
// for a part of the time only makes all hosts slow at once.
func within(d time.Duration) context.Context {
	ctx, _ := granted.WithTimeout(context.Background(), d)
	return ctx
}

// expectSaved waits until host i has a ready target on its disk: for twice the time between two
// writes.
func (s *testFleet) expectSaved(i int, target string) {
	gomega.EventuallyWithOffset(1, func() member.State { return s.savedState(i, target) }).
		WithContext(within(time.Second)).WithPolling(pollPeriod).Should(gomega.Equal(member.Ready), "host %d", i)
}

// putPlan proposes a plan at any host, retrying as an operator does.
func (s *testFleet) putPlan(version uint64) {
	s.putDocument(document(version))
}

// putDocument is putPlan for the given plan.
func (s *testFleet) putDocument(d plan.Document) {
	gomega.EventuallyWithOffset(2, func() error {
		var err error
		for _, r := range s.hosts {
			if err = r.host.PutPlan(context.Background(), d); err == nil {
				return nil
			}
		}
		return err
	}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Succeed(), "plan %d", d.Plan.Version)
}

// expectPlan waits until host i reads a plan with the given version.
func (s *testFleet) expectPlan(i int, version uint64) {
	gomega.EventuallyWithOffset(1, func() (uint64, error) {
		d, _, err := s.hosts[i].host.ReadPlan(context.Background())
		return d.Plan.Version, err
	}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Equal(version), "host %d", i)
}

// currentHosts returns the indices of the running hosts that are current.
func (s *testFleet) currentHosts() []int {
	var list []int
	for i, r := range s.hosts {
		if r.host.Status().Current {
			list = append(list, i)
		}
	}
	return list
}

// document returns an empty plan of the given version, with a source that names it.
func document(version uint64) plan.Document {
	return plan.Document{
		Plan:   plan.Plan{Version: version},
		Source: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version)),
	}
}

var _ = ginkgo.Describe("A fleet's control hosts", func() {
	ginkgo.It("agree on the highest plan version and return its source", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.putPlan(5)
		s.putPlan(3)
		for i := range 3 {
			s.expectPlan(i, 5)
		}
		d, found, err := s.hosts[0].host.ReadPlan(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(found).To(gomega.BeTrue())
		gomega.Expect(string(d.Source)).To(gomega.Equal(`{"version":5}`))
	})

	ginkgo.It("replace a lost voting host and stay available", func() {
		s := newTestFleet(3)
		for i := range 4 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		s.stopHost(2)
		gomega.Eventually(s.currentHosts).WithContext(within(10 * time.Second)).WithPolling(pollPeriod).Should(gomega.ConsistOf(0, 1, 3))
		s.putPlan(2)
		s.expectPlan(3, 2)
		s.stopHost(1) // The new view tolerates one more loss.
		s.putPlan(3)
		s.expectPlan(0, 3)
	})

	ginkgo.It("keep a view while all its members are alive", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		s.stopHost(2)
		s.startHost(3, false)
		gomega.Eventually(s.currentHosts).WithContext(within(10 * time.Second)).WithPolling(pollPeriod).Should(gomega.ConsistOf(0, 1, 3))
		s.startHost(2, false)
		epoch := s.hosts[0].host.View().Epoch
		gomega.Expect(epoch).To(gomega.BeEquivalentTo(2))
		gomega.Consistently(func() uint64 { return s.hosts[0].host.View().Epoch }, 4*time.Second, pollPeriod).Should(gomega.Equal(epoch))
		s.putPlan(2)
	})

	ginkgo.It("let a restarted host join a view agreed while it was down", func() {
		s := newTestFleet(3)
		for i := range 4 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		s.stopHost(2)
		gomega.Eventually(s.currentHosts).WithContext(within(10 * time.Second)).WithPolling(pollPeriod).Should(gomega.ConsistOf(0, 1, 3))
		s.putPlan(2)
		s.stopHost(0)
		s.startHost(2, false)
		gomega.Eventually(s.currentHosts).WithContext(within(10 * time.Second)).WithPolling(pollPeriod).Should(gomega.ConsistOf(1, 2, 3))
		s.expectPlan(2, 2)
	})

	ginkgo.It("recover a host with an empty disk from the other hosts", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.putPlan(7)
		s.stopHost(1)
		s.wipeDisk(1)
		s.startHost(1, false)
		s.expectPlan(1, 7)
		s.stopHost(0)
		s.putPlan(8)
	})

	ginkgo.It("keep the agreed plan when all hosts restart after a change of view", func() {
		s := newTestFleet(3)
		for i := range 4 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		s.stopHost(0)
		gomega.Eventually(s.currentHosts).WithContext(within(10 * time.Second)).WithPolling(pollPeriod).Should(gomega.ConsistOf(1, 2, 3))
		s.putPlan(2)
		for i := 1; i < 4; i++ {
			s.stopHost(i)
		}
		s.wipeDisk(1)
		for i := 1; i < 4; i++ {
			s.startHost(i, false)
		}
		for i := 1; i < 4; i++ {
			s.expectPlan(i, 2)
		}
	})

	ginkgo.It("restore the targets at once when all hosts restart", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		t := roster.Target{
			ID: "t", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 3, State: member.Ready,
			Born: time.UnixMilli(1), Sequence: 4, Heard: time.Now(),
		}
		gomega.Expect(s.hosts[0].host.Announce(context.Background(), t)).To(gomega.Succeed())
		for i := range 3 {
			s.expectSaved(i, "t")
		}
		for i := range 3 {
			s.stopHost(i)
		}
		for i := range 3 {
			s.startHost(i, false)
		}
		gomega.Eventually(func() member.State {
			known, _ := s.hosts[2].host.Target("t")
			return known.State
		}).WithContext(within(time.Second)).WithPolling(pollPeriod).Should(gomega.Equal(member.Ready))
	})

	// Guards against departed targets that are recalled as ready after a loss of power.
	ginkgo.It("have a departure on the disks of a majority before they acknowledge it", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		for n := range uint64(5) {
			t := roster.Target{
				ID: fmt.Sprint("t", n), Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(100+n)), Slots: 3,
				State: member.Ready, Born: time.UnixMilli(1), Sequence: 4, Heard: time.Now(),
			}
			gomega.Expect(s.hosts[0].host.Announce(context.Background(), t)).To(gomega.Succeed())
			t.State, t.Sequence = member.Draining, 5
			gomega.Eventually(func() error { return s.hosts[0].host.Announce(context.Background(), t) }).WithContext(within(planTimeout)).Should(gomega.Succeed())
			saved := 0
			for i := range 3 {
				if s.savedState(i, t.ID) == member.Draining {
					saved++
				}
			}
			gomega.Expect(saved).To(gomega.BeNumerically(">=", 2), "target %d", n)
		}
	})

	ginkgo.It("answer nothing without a majority", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.putPlan(1)
		// A host that still recovers gives another reason.
		gomega.Eventually(func() error {
			_, _, err := s.hosts[0].host.ReadPlan(context.Background())
			return err
		}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Succeed())
		s.stopHost(1)
		s.stopHost(2)
		_, _, err := s.hosts[0].host.ReadPlan(context.Background())
		gomega.Expect(err).To(gomega.MatchError(quorum.ErrNoMajority))
	})
})

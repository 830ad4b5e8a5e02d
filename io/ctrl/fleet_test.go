package ctrl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/core/roster"
	"cardamomspool/core/strict"
	"cardamomspool/io/ctrl"
	"cardamomspool/io/ports"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

type (
	// system is a number of control hosts of a fleet in this process, each on
	// a loopback address of its own.
	system struct {
		folder string
		ports  []netip.AddrPort
		seeds  []netip.AddrPort
		hosts  map[int]*running
	}

	running struct {
		host  *ctrl.Host
		stop  context.CancelFunc
		ended chan error
	}
)

const (
	// acknowledged is within what operators wait for a plan.
	acknowledged = 4 * time.Second
	pollPeriod   = 20 * time.Millisecond
)

func TestControlHosts(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Control hosts of a fleet")
}

func newSystem(seeds int) *system {
	free, err := ports.Free(3)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := &system{folder: ginkgo.GinkgoT().TempDir(), ports: free, hosts: make(map[int]*running)}
	for i := range seeds {
		s.seeds = append(s.seeds, netip.AddrPortFrom(s.address(i), free[0].Port()))
	}
	ginkgo.DeferCleanup(func() {
		for i := range s.hosts {
			s.halt(i)
		}
	})
	return s
}

func (s *system) address(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
}

func (s *system) dataFolder(i int) string {
	return filepath.Join(s.folder, fmt.Sprint(i))
}

// start starts host i.
func (s *system) start(i int, first bool) {
	cfg := setup.DefaultControl()
	cfg.Host, cfg.DataCentre, cfg.DataFolder = fmt.Sprintf("control-%d", i), "xela", s.dataFolder(i)
	cfg.PeerAddress = netip.AddrPortFrom(s.address(i), s.ports[0].Port())
	cfg.AdminAddress = netip.AddrPortFrom(s.address(i), s.ports[1].Port())
	cfg.StopGrace = strict.Duration(100 * time.Millisecond)
	cfg.Fleet = setup.Fleet{
		Adapter: setup.AdapterPlatform, Seeds: s.seeds, FirstStart: first,
		FrontAddress: netip.AddrPortFrom(s.address(i), s.ports[2].Port()),
	}
	gomega.Expect(cfg.Validate()).To(gomega.BeEmpty())
	log := telem.Logger(ginkgo.GinkgoWriter, slog.LevelInfo, cfg.Host, cfg.DataCentre)
	host, err := ctrl.New(cfg, ctrl.WithLogger(log))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	r := &running{host: host, stop: stop, ended: make(chan error, 1)}
	go func() { r.ended <- host.Run(ctx) }()
	s.hosts[i] = r
}

func (s *system) halt(i int) {
	r := s.hosts[i]
	delete(s.hosts, i)
	r.stop()
	gomega.Eventually(r.ended, 5*time.Second).Should(gomega.Receive(gomega.BeNil()))
}

func (s *system) wipe(i int) {
	gomega.Expect(os.RemoveAll(s.dataFolder(i))).To(gomega.Succeed())
}

// put puts a plan in force, at any host, as an operator does.
func (s *system) put(version uint64) {
	d := document(version)
	gomega.EventuallyWithOffset(1, func() error {
		var err error
		for _, r := range s.hosts {
			if err = r.host.PutPlan(context.Background(), d); err == nil {
				return nil
			}
		}
		return err
	}, acknowledged, pollPeriod).Should(gomega.Succeed(), "plan %d", version)
}

// expect waits until host i reads back the plan of that version.
func (s *system) expect(i int, version uint64) {
	gomega.EventuallyWithOffset(1, func() (uint64, error) {
		d, _, err := s.hosts[i].host.ReadPlan(context.Background())
		return d.Plan.Version, err
	}, acknowledged, pollPeriod).Should(gomega.Equal(version), "host %d", i)
}

func (s *system) voting() []int {
	var list []int
	for i, r := range s.hosts {
		if r.host.Status().Current {
			list = append(list, i)
		}
	}
	return list
}

func document(version uint64) plan.Document {
	return plan.Document{
		Plan:   plan.Plan{Version: version},
		Source: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version)),
	}
}

var _ = ginkgo.Describe("A fleet's control hosts", func() {
	ginkgo.It("agree on the highest version and read back what was sent", func() {
		s := newSystem(3)
		for i := range 3 {
			s.start(i, true)
		}
		s.put(5)
		s.put(3)
		for i := range 3 {
			s.expect(i, 5)
		}
		d, found, err := s.hosts[0].host.ReadPlan(context.Background())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(found).To(gomega.BeTrue())
		gomega.Expect(string(d.Source)).To(gomega.Equal(`{"version":5}`))
	})

	ginkgo.It("give a lost host's vote to another and go on", func() {
		s := newSystem(3)
		for i := range 4 {
			s.start(i, true)
		}
		s.put(1)
		s.halt(2)
		gomega.Eventually(s.voting, 10*time.Second, pollPeriod).Should(gomega.ConsistOf(0, 1, 3))
		s.put(2)
		s.expect(3, 2)
		s.halt(1) // The new view bears one more loss.
		s.put(3)
		s.expect(0, 3)
	})

	ginkgo.It("keep a view in which all members are alive", func() {
		s := newSystem(3)
		for i := range 3 {
			s.start(i, true)
		}
		s.put(1)
		s.halt(2)
		s.start(3, false)
		gomega.Eventually(s.voting, 10*time.Second, pollPeriod).Should(gomega.ConsistOf(0, 1, 3))
		s.start(2, false)
		epoch := s.hosts[0].host.View().Epoch
		gomega.Expect(epoch).To(gomega.BeEquivalentTo(2))
		gomega.Consistently(func() uint64 { return s.hosts[0].host.View().Epoch }, 4*time.Second, pollPeriod).Should(gomega.Equal(epoch))
		s.put(2)
	})

	ginkgo.It("let a host come back to a view that it has missed", func() {
		s := newSystem(3)
		for i := range 4 {
			s.start(i, true)
		}
		s.put(1)
		s.halt(2)
		gomega.Eventually(s.voting, 10*time.Second, pollPeriod).Should(gomega.ConsistOf(0, 1, 3))
		s.put(2)
		s.halt(0)
		s.start(2, false)
		gomega.Eventually(s.voting, 10*time.Second, pollPeriod).Should(gomega.ConsistOf(1, 2, 3))
		s.expect(2, 2)
	})

	ginkgo.It("recover a host with an empty disk from the others", func() {
		s := newSystem(3)
		for i := range 3 {
			s.start(i, true)
		}
		s.put(7)
		s.halt(1)
		s.wipe(1)
		s.start(1, false)
		s.expect(1, 7)
		s.halt(0)
		s.put(8)
	})

	ginkgo.It("keep what was agreed when all are killed after a change of view", func() {
		s := newSystem(3)
		for i := range 4 {
			s.start(i, true)
		}
		s.put(1)
		s.halt(0)
		gomega.Eventually(s.voting, 10*time.Second, pollPeriod).Should(gomega.ConsistOf(1, 2, 3))
		s.put(2)
		for i := 1; i < 4; i++ {
			s.halt(i)
		}
		s.wipe(1)
		for i := 1; i < 4; i++ {
			s.start(i, false)
		}
		for i := 1; i < 4; i++ {
			s.expect(i, 2)
		}
	})

	ginkgo.It("know the targets again at once when all were killed", func() {
		s := newSystem(3)
		for i := range 3 {
			s.start(i, true)
		}
		s.put(1)
		t := roster.Target{
			ID: "t", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 3, State: member.Ready,
			Born: time.UnixMilli(1), Sequence: 4, Heard: time.Now(),
		}
		gomega.Expect(s.hosts[0].host.Announce(context.Background(), t)).To(gomega.Succeed())
		time.Sleep(time.Second) // Twice the time between two writes.
		for i := range 3 {
			s.halt(i)
		}
		for i := range 3 {
			s.start(i, false)
		}
		gomega.Eventually(func() member.State {
			known, _ := s.hosts[2].host.Target("t")
			return known.State
		}, time.Second, pollPeriod).Should(gomega.Equal(member.Ready))
	})

	ginkgo.It("answer nothing without a majority", func() {
		s := newSystem(3)
		for i := range 3 {
			s.start(i, true)
		}
		s.put(1)
		s.halt(1)
		s.halt(2)
		_, _, err := s.hosts[0].host.ReadPlan(context.Background())
		gomega.Expect(err).To(gomega.MatchError(quorum.ErrNoMajority))
	})
})

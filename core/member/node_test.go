package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomspool/core/member"
	"cardamomspool/internal/golden"
)

func target(name string, incarnation uint64, state member.State) member.Record {
	return member.Record{
		Key:     member.Key{Service: "bookings", Target: name},
		Address: netip.MustParseAddrPort("127.0.0.1:9001"), DataCentre: "xela", State: state, Incarnation: incarnation,
	}
}

// leavingTimeout is the time within which every entry host must know that a
// target is leaving.
const leavingTimeout = 3 * time.Second

func TestSession(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 5)
	n.run(time.Second)
	n.announce("e01", 1, target("t1", 1, member.Cold))
	n.run(time.Second)
	n.announce("e01", 2, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.logf("the target goes round all hosts, which changes nothing")
	for i, host := range n.hosts[1:] {
		n.announce(host, uint64(10+i), target("t1", 1, member.Ready))
		n.run(time.Second)
	}
	n.logf("the target moves")
	n.announce("e03", 20, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.logf("late and wrong announcements")
	n.announce("e02", 21, target("t1", 1, member.Cold))
	otherAddress := target("t1", 1, member.Ready)
	otherAddress.Address = netip.MustParseAddrPort("127.0.0.1:9002")
	n.announce("e02", 22, otherAddress)
	n.run(time.Second)
	n.logf("the target restarts")
	n.announce("e03", 23, target("t1", 2, member.Ready))
	n.run(time.Second)
	n.announce("e03", 24, target("t1", 1, member.Leaving))
	n.run(time.Second)
	n.logf("its answers say that it drains")
	n.handle("e05", member.Observe{Key: target("t1", 2, 0).Key, Incarnation: 2, State: member.Draining}, nil)
	n.run(time.Second)
	n.announce("e03", 25, target("t1", 2, member.Leaving))
	n.run(time.Second)
	n.logf("e04 restarts and learns all from the others")
	n.kill("e04")
	n.run(time.Second)
	n.start("e04")
	n.run(3 * time.Second)
	g.Expect(n.converged()).To(gomega.BeTrue())
	golden.Compare(t, "session", n.log.String())
}

func TestPartitionSession(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(2, 6)
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.announce("e04", 2, target("t2", 1, member.Ready))
	n.run(2 * time.Second)
	n.logf("e04 to e06 are cut off")
	n.partition = map[string]int{"e04": 1, "e05": 1, "e06": 1}
	n.run(time.Second)
	n.announce("e01", 3, target("t1", 1, member.Leaving))
	n.announce("e05", 4, target("t3", 1, member.Ready))
	for range 20 {
		n.run(time.Second)
		n.announce("e04", 5, target("t2", 1, member.Ready))
	}
	n.logf("the cut heals")
	n.heal()
	n.run(leavingTimeout)
	g.Expect(n.allHave(target("t1", 1, 0).Key, member.Leaving)).To(gomega.BeTrue())
	g.Expect(n.converged()).To(gomega.BeTrue())
	n.logf("e01 is frozen, then killed; its targets go elsewhere")
	n.announce("e01", 6, target("t4", 1, member.Ready))
	n.run(time.Second)
	n.frozen["e01"] = true
	n.run(2 * time.Second)
	n.kill("e01")
	for i := range 3 {
		n.announce("e02", uint64(7+i), target("t4", 1, member.Ready))
		n.run(time.Second)
	}
	g.Expect(n.converged()).To(gomega.BeTrue())
	golden.Compare(t, "cut", n.log.String())
}

// The host that receives a leaving announcement crashes or freezes, with each
// seed a quarter of a tick later: from the arrival of the announcement until
// shortly after the reply. A target without a reply retries at another host after
// half a second.
func TestLeavingSpreadsWhenReceivingHostDies(t *testing.T) {
	k := target("t1", 1, 0).Key
	for seed := range uint64(40) {
		for _, loss := range []int{0, 20} {
			g := gomega.NewWithT(t)
			n := newNetwork(seed, 14)
			n.announce("e05", 1, target("t1", 1, member.Ready))
			n.run(5 * time.Second)
			g.Expect(n.allHave(k, member.Ready)).To(gomega.BeTrue())
			n.loss = loss
			n.announce("e05", 2, target("t1", 1, member.Leaving))
			begin := n.now
			n.run(time.Duration(seed) * tickInterval / 4)
			if seed%2 == 0 {
				n.kill("e05")
			} else {
				n.frozen["e05"] = true
			}
			if _, ok := n.accepted[2]; !ok {
				n.run(500 * time.Millisecond)
				n.announce("e11", 3, target("t1", 1, member.Leaving))
			}
			for !n.allHave(k, member.Leaving) && n.now.Sub(begin) <= leavingTimeout {
				n.run(tickInterval)
			}
			g.Expect(n.now.Sub(begin)).To(gomega.BeNumerically("<", leavingTimeout), "seed %d loss %d", seed, loss)
		}
	}
}

func TestIsolatedHostDoesNotAcceptLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(3, 3)
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.partition["e01"] = 1
	n.announce("e01", 2, target("t1", 1, member.Leaving))
	n.run(2 * time.Second)
	g.Expect(n.rejected[2]).To(gomega.MatchError(member.ErrIsolated))
	g.Expect(n.state("e01", target("t1", 1, 0).Key)).To(gomega.Equal(member.Leaving))
}

// A host that reaches no other stops spreading a change after its retries. The
// digests, which continue, repair the rest.
func TestIsolatedHostStopsSpreading(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(7, 14)
	n.partition["e01"] = 1
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.run(time.Minute)
	spreads := n.messages["Spread"]
	n.run(time.Minute)
	g.Expect(n.messages["Spread"]).To(gomega.Equal(spreads))
	n.heal()
	n.run(leavingTimeout)
	g.Expect(n.allHave(target("t1", 1, 0).Key, member.Ready)).To(gomega.BeTrue())
}

// An entry host is missing from the peer lists of the others while their
// settings are changed one by one. The targets that announce themselves there
// must be usable everywhere and not suspect.
func TestHostMissingFromPeerLists(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(8, 3)
	n.nodes["e01"] = member.NewNode("e01", []string{"e02"}, rand.New(rand.NewPCG(1, 1)))
	n.nodes["e02"] = member.NewNode("e02", []string{"e01"}, rand.New(rand.NewPCG(2, 2)))
	for range 60 {
		n.announce("e03", 1, target("t1", 1, member.Ready))
		n.run(time.Second)
	}
	for _, host := range n.hosts {
		usable, suspect := n.usable(host, target("t1", 1, 0).Key)
		g.Expect(usable).To(gomega.BeTrue(), host)
		g.Expect(suspect).To(gomega.BeFalse(), host)
	}
}

// Two targets stop announcing themselves and become suspect. A target that still
// responds to an entry host must stay usable on that host; one whose calls fail
// there must not. On a host that sends it no calls, the failing target stays
// usable until UnusedTimeout, and it is gone after a day.
func TestAnsweringSuspectStaysUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(4, 3)
	alive, dead := target("alive", 1, member.Ready), target("dead", 1, member.Ready)
	n.announce("e01", 1, alive)
	n.announce("e01", 2, dead)
	n.run(time.Second)
	for range 60 {
		n.run(time.Second)
		n.handle("e02", member.Evidence{Key: alive.Key, Answered: n.now, Failed: n.now}, nil)
		n.handle("e02", member.Evidence{Key: dead.Key, Failed: n.now}, nil)
	}
	usable, suspect := n.usable("e02", alive.Key)
	g.Expect(usable && suspect).To(gomega.BeTrue())
	usable, _ = n.usable("e02", dead.Key)
	g.Expect(usable).To(gomega.BeFalse())
	usable, _ = n.usable("e03", dead.Key)
	g.Expect(usable).To(gomega.BeTrue(), "an entry host without calls keeps a suspect target")
	n.run(25 * time.Hour)
	g.Expect(n.state("e03", dead.Key)).To(gomega.BeZero())
}

// A partition lasts longer than TombstoneTime. The side that missed the departure
// has expired the target's lease by then, so the target must not become usable
// again.
func TestTombstoneExpires(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(5, 2)
	k := target("t1", 1, 0).Key
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.partition["e02"] = 1
	n.announce("e01", 2, target("t1", 1, member.Leaving))
	n.run(member.TombstoneTime + time.Minute)
	g.Expect(n.state("e01", k)).To(gomega.BeZero())
	n.heal()
	n.run(10 * time.Second)
	usable, _ := n.usable("e01", k)
	g.Expect(usable).To(gomega.BeFalse())
	usable, _ = n.usable("e02", k)
	g.Expect(usable).To(gomega.BeFalse())
	n.run(time.Hour)
	g.Expect(n.nodes["e02"].Records(nil)).To(gomega.BeEmpty())
}

// Announcements that change nothing must cause no messages between hosts besides
// the digests.
func TestRenewalsSendOnlyDigests(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(6, 14)
	announceAll := func() {
		for i := range 36 {
			n.announce(n.hosts[i%14], uint64(i), target(fmt.Sprintf("t%d", i), 1, member.Ready))
		}
		n.run(time.Second)
	}
	for range 3 {
		announceAll()
	}
	clear(n.messages)
	for range 20 {
		announceAll()
	}
	g.Expect(n.messages).To(gomega.HaveLen(1), n.summary())
	g.Expect(n.messages["Digest"]).To(gomega.BeNumerically("~", 14*20, 14*2))
}

func TestIntervalGrowsWithTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	node := member.NewNode("e1", nil, nil)
	now := startTime
	for i := range 30 {
		node.Handle(nil, member.Announce{Record: target(fmt.Sprintf("t%d", i), 1, member.Ready)}, now)
	}
	node.Handle(nil, member.Tick{}, now.Add(time.Second))
	actions := node.Handle(nil, member.Announce{Record: target("t0", 1, member.Ready)}, now.Add(time.Second))
	g.Expect(actions).To(gomega.ConsistOf(member.Accept{Interval: 30 * time.Second, Lease: 150 * time.Second}))
}

func TestJoinIsSemilattice(t *testing.T) {
	records := rapid.Custom(func(rt *rapid.T) member.Record {
		small := rapid.Uint64Range(1, 2)
		r := target("t1", small.Draw(rt, "incarnation"), member.State(rapid.IntRange(1, 4).Draw(rt, "state")))
		r.Address = netip.AddrPortFrom(r.Address.Addr(), uint16(small.Draw(rt, "port")))
		r.Epoch, r.Owner, r.LeaseExpired = small.Draw(rt, "epoch"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "owner"), rapid.Bool().Draw(rt, "leaseExpired")
		return r
	})
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		a, b, c := records.Draw(rt, "a"), records.Draw(rt, "b"), records.Draw(rt, "c")
		g.Expect(a.Join(a)).To(gomega.Equal(a))
		g.Expect(a.Join(b)).To(gomega.Equal(b.Join(a)))
		g.Expect(a.Join(b).Join(c)).To(gomega.Equal(a.Join(b.Join(c))))
		g.Expect(a.Join(b).Join(b)).To(gomega.Equal(a.Join(b)))
	})
}

// The host that owns the leases of targets with long intervals crashes. The next
// host must ask a target for an early announcement and take over its lease, so that
// the target does not become suspect.
func TestTargetOfDeadHostIsTakenOver(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(9, 3)
	for range 2 {
		for i := range 60 {
			for _, host := range n.hosts {
				n.announce(host, 0, target(fmt.Sprintf("%s-%d", host, i), 1, member.Ready))
			}
		}
		n.run(2 * time.Second)
	}
	n.kill("e01")
	n.run(20 * time.Second)
	r := target("e01-0", 1, member.Ready)
	n.announce("e02", 1, r)
	n.run(tickInterval)
	g.Expect(n.log.String()).To(gomega.HaveSuffix("e02 accepts announcement, next in 1s\n"))
	n.run(time.Second)
	n.announce("e02", 2, r)
	n.run(30 * time.Second)
	for _, host := range n.running() {
		_, suspect := n.usable(host, r.Key)
		g.Expect(suspect).To(gomega.BeFalse(), host)
		_, suspect = n.usable(host, target("e01-1", 1, 0).Key)
		g.Expect(suspect).To(gomega.BeTrue(), "a target that was not taken over is suspect")
	}
}

// TestRandomFaults runs random schedules of announcements, lost and duplicated
// messages, partitions, freezes and crashes. A host that knows that an incarnation
// has left must never use it again, and all hosts must converge after the
// faults end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(rt, "seed"), 5)
		n.loss = rapid.IntRange(0, 40).Draw(rt, "loss")
		n.duplicate = rapid.IntRange(0, 40).Draw(rt, "double")
		announced := map[string]member.Record{}
		leftIncarnation := map[string]uint64{}
		knownLeft := map[string]uint64{}
		host := rapid.SampledFrom(n.hosts)
		name := rapid.SampledFrom([]string{"t1", "t2"})
		rt.Repeat(map[string]func(*rapid.T){
			"announce": func(rt *rapid.T) {
				k := name.Draw(rt, "target")
				r, ok := announced[k]
				if !ok || r.State == member.Leaving {
					r = target(k, r.Incarnation+1, member.Cold)
				} else {
					r.State = rapid.SampledFrom([]member.State{r.State, member.Ready, member.Draining, member.Leaving}).Draw(rt, "state")
					r.State = max(r.State, announced[k].State)
				}
				announced[k] = r
				if r.State == member.Leaving {
					leftIncarnation[k] = r.Incarnation
				}
				n.announce(host.Draw(rt, "host"), uint64(n.serial), r)
				n.run(time.Duration(rapid.IntRange(1, 50).Draw(rt, "steps")) * tickInterval)
			},
			"time":   func(rt *rapid.T) { n.run(time.Duration(rapid.IntRange(1, 200).Draw(rt, "steps")) * tickInterval) },
			"cut":    func(rt *rapid.T) { n.partition[host.Draw(rt, "host")] = rapid.IntRange(0, 1).Draw(rt, "side") },
			"kill":   func(rt *rapid.T) { n.kill(host.Draw(rt, "host")) },
			"freeze": func(rt *rapid.T) { n.frozen[host.Draw(rt, "host")] = rapid.Bool().Draw(rt, "frozen") },
			"start": func(rt *rapid.T) {
				if h := host.Draw(rt, "host"); n.killed[h] {
					n.start(h)
				}
			},
			"": func(rt *rapid.T) {
				for _, h := range n.running() {
					for _, r := range n.nodes[h].Records(nil) {
						id := fmt.Sprint(h, n.generations[h], r.Target)
						if r.Incarnation < knownLeft[id] || r.Incarnation == knownLeft[id] && r.State != member.Leaving {
							rt.Fatalf("%s forgot that %s/%d has left", h, r.Target, knownLeft[id])
						}
						if r.State == member.Leaving {
							knownLeft[id] = r.Incarnation
						}
						if r.Incarnation > announced[r.Target].Incarnation || r.State == member.Leaving && r.Incarnation > leftIncarnation[r.Target] {
							rt.Fatalf("%s has %s/%d %s, which was never announced", h, r.Target, r.Incarnation, r.State)
						}
					}
				}
			},
		})
		n.heal()
		n.run(10 * time.Second)
		if !n.converged() {
			rt.Fatalf("hosts do not agree:\n%s", n.log)
		}
	})
}

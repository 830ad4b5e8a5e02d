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

// leavingLimit is the time within which every entry host knows that a target
// is leaving.
const leavingLimit = 3 * time.Second

func TestSession(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(1, 5)
	n.run(time.Second)
	n.announce("e01", 1, target("t1", 1, member.Cold))
	n.run(time.Second)
	n.announce("e01", 2, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.note("the target goes round all hosts, which changes nothing")
	for i, host := range n.hosts[1:] {
		n.announce(host, uint64(10+i), target("t1", 1, member.Ready))
		n.run(time.Second)
	}
	n.note("the target moves")
	n.announce("e03", 20, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.note("late and wrong announcements")
	n.announce("e02", 21, target("t1", 1, member.Cold))
	wrong := target("t1", 1, member.Ready)
	wrong.Address = netip.MustParseAddrPort("127.0.0.1:9002")
	n.announce("e02", 22, wrong)
	n.run(time.Second)
	n.note("the target restarts")
	n.announce("e03", 23, target("t1", 2, member.Ready))
	n.run(time.Second)
	n.announce("e03", 24, target("t1", 1, member.Leaving))
	n.run(time.Second)
	n.note("its answers say that it drains")
	n.handle("e05", member.Observe{Key: target("t1", 2, 0).Key, Incarnation: 2, State: member.Draining}, nil)
	n.run(time.Second)
	n.announce("e03", 25, target("t1", 2, member.Leaving))
	n.run(time.Second)
	n.note("e04 restarts and learns all from the others")
	n.kill("e04")
	n.run(time.Second)
	n.start("e04")
	n.run(3 * time.Second)
	g.Expect(n.agree()).To(gomega.BeTrue())
	golden.Compare(t, "session", n.log.String())
}

func TestCutSession(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(2, 6)
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.announce("e04", 2, target("t2", 1, member.Ready))
	n.run(2 * time.Second)
	n.note("e04 to e06 are cut off")
	n.cut = map[string]int{"e04": 1, "e05": 1, "e06": 1}
	n.run(time.Second)
	n.announce("e01", 3, target("t1", 1, member.Leaving))
	n.announce("e05", 4, target("t3", 1, member.Ready))
	for range 20 {
		n.run(time.Second)
		n.announce("e04", 5, target("t2", 1, member.Ready))
	}
	n.note("the cut heals")
	n.heal()
	n.run(leavingLimit)
	g.Expect(n.everywhere(target("t1", 1, 0).Key, member.Leaving)).To(gomega.BeTrue())
	g.Expect(n.agree()).To(gomega.BeTrue())
	n.note("e01 is frozen, then killed; its targets go elsewhere")
	n.announce("e01", 6, target("t4", 1, member.Ready))
	n.run(time.Second)
	n.frozen["e01"] = true
	n.run(2 * time.Second)
	n.kill("e01")
	for i := range 3 {
		n.announce("e02", uint64(7+i), target("t4", 1, member.Ready))
		n.run(time.Second)
	}
	g.Expect(n.agree()).To(gomega.BeTrue())
	golden.Compare(t, "cut", n.log.String())
}

// TestLeavingIsKnownThoughTheHostThatHeardItDies kills the host that heard
// the announcement at every moment up to its answer and a little after. A
// target that got no answer repeats itself to another host after its timeout.
func TestLeavingIsKnownThoughTheHostThatHeardItDies(t *testing.T) {
	k := target("t1", 1, 0).Key
	for seed := range uint64(40) {
		for _, loss := range []int{0, 20} {
			g := gomega.NewWithT(t)
			n := newNetwork(seed, 14)
			n.announce("e05", 1, target("t1", 1, member.Ready))
			n.run(5 * time.Second)
			g.Expect(n.everywhere(k, member.Ready)).To(gomega.BeTrue())
			n.loss = loss
			n.announce("e05", 2, target("t1", 1, member.Leaving))
			begin := n.now
			n.run(time.Duration(seed) * step / 4)
			if seed%2 == 0 {
				n.kill("e05")
			} else {
				n.frozen["e05"] = true
			}
			if _, ok := n.accepted[2]; !ok {
				n.run(500 * time.Millisecond)
				n.announce("e11", 3, target("t1", 1, member.Leaving))
			}
			for !n.everywhere(k, member.Leaving) && n.now.Sub(begin) <= leavingLimit {
				n.run(step)
			}
			g.Expect(n.now.Sub(begin)).To(gomega.BeNumerically("<", leavingLimit), "seed %d loss %d", seed, loss)
		}
	}
}

func TestIsolatedHostDoesNotAcceptLeaving(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(3, 3)
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.cut["e01"] = 1
	n.announce("e01", 2, target("t1", 1, member.Leaving))
	n.run(2 * time.Second)
	g.Expect(n.rejected[2]).To(gomega.MatchError(member.ErrIsolated))
	g.Expect(n.state("e01", target("t1", 1, 0).Key)).To(gomega.Equal(member.Leaving))
}

// TestIsolatedHostGivesUpSpreading bounds what a host sends when nobody can be
// reached: the digests that go on repair the rest.
func TestIsolatedHostGivesUpSpreading(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(7, 14)
	n.cut["e01"] = 1
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.run(time.Minute)
	spreads := n.messages["Spread"]
	n.run(time.Minute)
	g.Expect(n.messages["Spread"]).To(gomega.Equal(spreads))
	n.heal()
	n.run(leavingLimit)
	g.Expect(n.everywhere(target("t1", 1, 0).Key, member.Ready)).To(gomega.BeTrue())
}

// TestHostMissingFromLists adds an entry host that the others do not list yet,
// as while their settings are changed one by one: the targets that announce
// themselves there are known everywhere and not suspect.
func TestHostMissingFromLists(t *testing.T) {
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

// TestTargetThatAnswersStays stops the announcements of a target that goes on
// answering calls at one host, and of one that does not.
func TestTargetThatAnswersStays(t *testing.T) {
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

// TestTombstoneEnds holds a cut longer than a departed target is remembered.
// The side that missed the departure has by then taken the target to have
// lapsed, so that it does not come back as one to be used.
func TestTombstoneEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(5, 2)
	k := target("t1", 1, 0).Key
	n.announce("e01", 1, target("t1", 1, member.Ready))
	n.run(time.Second)
	n.cut["e02"] = 1
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
	g.Expect(n.nodes["e02"].All(nil)).To(gomega.BeEmpty())
}

// TestCostDoesNotGrowWithAnnouncements renews many targets and counts the
// messages between hosts, which are digests only.
func TestCostDoesNotGrowWithAnnouncements(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork(6, 14)
	renew := func() {
		for i := range 36 {
			n.announce(n.hosts[i%14], uint64(i), target(fmt.Sprintf("t%d", i), 1, member.Ready))
		}
		n.run(time.Second)
	}
	for range 3 {
		renew()
	}
	clear(n.messages)
	for range 20 {
		renew()
	}
	g.Expect(n.messages).To(gomega.HaveLen(1), n.summary())
	g.Expect(n.messages["Digest"]).To(gomega.BeNumerically("~", 14*20, 14*2))
}

func TestIntervalGrowsWithTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	node := member.NewNode("e1", nil, nil)
	now := epoch
	for i := range 30 {
		node.Handle(nil, member.Announce{Record: target(fmt.Sprintf("t%d", i), 1, member.Ready)}, now)
	}
	node.Handle(nil, member.Tick{}, now.Add(time.Second))
	actions := node.Handle(nil, member.Announce{Record: target("t0", 1, member.Ready)}, now.Add(time.Second))
	g.Expect(actions).To(gomega.ConsistOf(member.Accept{Interval: 30 * time.Second, Lease: 150 * time.Second}))
}

func TestJoinIsALattice(t *testing.T) {
	draw := rapid.Custom(func(rt *rapid.T) member.Record {
		small := rapid.Uint64Range(1, 2)
		r := target("t1", small.Draw(rt, "incarnation"), member.State(rapid.IntRange(1, 4).Draw(rt, "state")))
		r.Address = netip.AddrPortFrom(r.Address.Addr(), uint16(small.Draw(rt, "port")))
		r.Epoch, r.Voucher, r.Lapsed = small.Draw(rt, "epoch"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "voucher"), rapid.Bool().Draw(rt, "lapsed")
		return r
	})
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		a, b, c := draw.Draw(rt, "a"), draw.Draw(rt, "b"), draw.Draw(rt, "c")
		g.Expect(a.Join(a)).To(gomega.Equal(a))
		g.Expect(a.Join(b)).To(gomega.Equal(b.Join(a)))
		g.Expect(a.Join(b).Join(c)).To(gomega.Equal(a.Join(b.Join(c))))
		g.Expect(a.Join(b).Join(b)).To(gomega.Equal(a.Join(b)))
	})
}

// TestTargetOfADeadVoucherIsTakenOver lets the host die that vouches for
// targets with long intervals: the next host has them announce themselves again
// soon, and no host calls them suspect.
func TestTargetOfADeadVoucherIsTakenOver(t *testing.T) {
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
	n.run(step)
	g.Expect(n.log.String()).To(gomega.HaveSuffix("e02 accepts announcement, next in 1s\n"))
	n.run(time.Second)
	n.announce("e02", 2, r)
	n.run(30 * time.Second)
	for _, host := range n.live() {
		_, suspect := n.usable(host, r.Key)
		g.Expect(suspect).To(gomega.BeFalse(), host)
		_, suspect = n.usable(host, target("e01-1", 1, 0).Key)
		g.Expect(suspect).To(gomega.BeTrue(), "one that has not moved is")
	}
}

// TestRandomFaults draws a schedule of announcements, losses, duplicates,
// cuts, freezes and crashes, and checks that no host ever uses a departed
// incarnation once it knew of the departure, and that all hosts agree after
// the faults end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(rt, "seed"), 5)
		n.loss = rapid.IntRange(0, 40).Draw(rt, "loss")
		n.double = rapid.IntRange(0, 40).Draw(rt, "double")
		present := map[string]member.Record{}
		left := map[string]uint64{}
		known := map[string]uint64{}
		host := rapid.SampledFrom(n.hosts)
		name := rapid.SampledFrom([]string{"t1", "t2"})
		rt.Repeat(map[string]func(*rapid.T){
			"announce": func(rt *rapid.T) {
				k := name.Draw(rt, "target")
				r, ok := present[k]
				if !ok || r.State == member.Leaving {
					r = target(k, r.Incarnation+1, member.Cold)
				} else {
					r.State = rapid.SampledFrom([]member.State{r.State, member.Ready, member.Draining, member.Leaving}).Draw(rt, "state")
					r.State = max(r.State, present[k].State)
				}
				present[k] = r
				if r.State == member.Leaving {
					left[k] = r.Incarnation
				}
				n.announce(host.Draw(rt, "host"), uint64(n.serial), r)
				n.run(time.Duration(rapid.IntRange(1, 50).Draw(rt, "steps")) * step)
			},
			"time":   func(rt *rapid.T) { n.run(time.Duration(rapid.IntRange(1, 200).Draw(rt, "steps")) * step) },
			"cut":    func(rt *rapid.T) { n.cut[host.Draw(rt, "host")] = rapid.IntRange(0, 1).Draw(rt, "side") },
			"kill":   func(rt *rapid.T) { n.kill(host.Draw(rt, "host")) },
			"freeze": func(rt *rapid.T) { n.frozen[host.Draw(rt, "host")] = rapid.Bool().Draw(rt, "frozen") },
			"start": func(rt *rapid.T) {
				if h := host.Draw(rt, "host"); n.dead[h] {
					n.start(h)
				}
			},
			"": func(rt *rapid.T) {
				for _, h := range n.live() {
					for _, r := range n.nodes[h].All(nil) {
						id := fmt.Sprint(h, n.lives[h], r.Target)
						if r.Incarnation < known[id] || r.Incarnation == known[id] && r.State != member.Leaving {
							rt.Fatalf("%s forgot that %s/%d has left", h, r.Target, known[id])
						}
						if r.State == member.Leaving {
							known[id] = r.Incarnation
						}
						if r.Incarnation > present[r.Target].Incarnation || r.State == member.Leaving && r.Incarnation > left[r.Target] {
							rt.Fatalf("%s has %s/%d %s, which was never announced", h, r.Target, r.Incarnation, r.State)
						}
					}
				}
			},
		})
		n.heal()
		n.run(10 * time.Second)
		if !n.agree() {
			rt.Fatalf("hosts do not agree:\n%s", n.log)
		}
	})
}

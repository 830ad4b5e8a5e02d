package keys_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
)

const leaseLength = 5 * time.Second

// hosts returns the addresses of n control hosts, the first of which has the number from.
func hosts(from, n int) []netip.Addr {
	list := make([]netip.Addr, n)
	for i := range list {
		list[i] = netip.AddrFrom4([4]byte{10, 0, 0, byte(from + i)})
	}
	return list
}

// newLease returns a lease of a host that has plan 3 in force and knows view 1 of five
// control hosts.
func newLease() (*keys.Lease, []netip.Addr) {
	l, members := keys.NewLease(leaseLength), hosts(1, 5)
	l.SetView(1, members)
	l.SetVersion(3)
	return l, members
}

var _ = ginkgo.Describe("A lease", func() {
	// Guards against keys accepted by a host that has heard no majority.
	ginkgo.It("begins with the answers of a majority", func() {
		l, m := newLease()
		l.Answer(m[0], time.Second, keys.Answer{Epoch: 1, Version: 3})
		l.Answer(m[1], time.Second, keys.Answer{Epoch: 1, Version: 3})
		l.Answer(m[1], time.Second, keys.Answer{Epoch: 1, Version: 3})
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeFalse(), "the answers of two of five hosts")
		l.Answer(m[2], time.Second, keys.Answer{Epoch: 1, Version: 2})
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeTrue())
	})

	// Guards against a lease that is counted from the arrival of late answers.
	ginkgo.It("is counted from the time at which the question was sent", func() {
		l, m := newLease()
		for _, host := range m[:3] {
			l.Answer(host, time.Second, keys.Answer{Epoch: 1, Version: 3})
		}
		end := time.Second + leaseLength - keys.Margin
		gomega.Expect(l.Holds(end - 1)).To(gomega.BeTrue())
		gomega.Expect(l.Holds(end)).To(gomega.BeFalse())
		gomega.Expect(l.Holds(time.Hour)).To(gomega.BeFalse(), "a host that was frozen")
	})

	// Guards against a lost host that ends leases, and against one whose old answer makes
	// the lease of others longer.
	ginkgo.It("lasts from the earliest question that the majority needs", func() {
		l, m := newLease()
		for i, host := range m {
			l.Answer(host, time.Duration(i+1)*time.Second, keys.Answer{Epoch: 1, Version: 3})
		}
		end, _ := l.End()
		gomega.Expect(end).To(gomega.Equal(3*time.Second + leaseLength - keys.Margin))
	})

	// Guards against withdrawn keys accepted after a newer plan was acknowledged.
	ginkgo.It("is not renewed while a majority may have a newer plan", func() {
		l, m := newLease()
		for _, host := range m[:2] {
			l.Answer(host, time.Second, keys.Answer{Epoch: 1, Version: 3})
		}
		for _, host := range m[2:] {
			l.Answer(host, time.Second, keys.Answer{Epoch: 1, Version: 4})
		}
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeFalse())
		l.SetVersion(4)
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeTrue(), "the newer plan is in force")
	})

	// Guards against a proposal that reached few control hosts and ends all leases.
	ginkgo.It("is renewed while a minority has a newer plan", func() {
		l, m := newLease()
		for i, host := range m {
			l.Answer(host, time.Second, keys.Answer{Epoch: 1, Version: uint64(3 + i/3)})
		}
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeTrue())
	})

	// Guards against a majority that is made up of hosts of two views.
	ginkgo.It("does not count answers of different epochs together", func() {
		l, m := newLease()
		l.Answer(m[0], time.Second, keys.Answer{Epoch: 1, Version: 3})
		l.Answer(m[1], time.Second, keys.Answer{Epoch: 1, Version: 3})
		l.Answer(m[2], time.Second, keys.Answer{Epoch: 2, Version: 3})
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeFalse())
		l.SetView(2, append(hosts(9, 2), m[:3]...))
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeFalse())
		l.Answer(m[3], time.Second, keys.Answer{Epoch: 2, Version: 3})
		l.Answer(m[0], time.Second, keys.Answer{Epoch: 2, Version: 3})
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeFalse(), "one of them does not vote in the new view")
		l.Answer(m[1], time.Second, keys.Answer{Epoch: 2, Version: 3})
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeTrue())
	})

	// Guards against members of a view that has ended: the next one may have a newer plan.
	ginkgo.It("does not count hosts whose view has ended, or that do not vote", func() {
		l, m := newLease()
		for i, a := range []keys.Answer{{Epoch: 1, Version: 3}, {Epoch: 1, Version: 3}, {Epoch: 1, Version: 3, Ended: true}, {Version: 3}} {
			l.Answer(m[i], time.Second, a)
		}
		gomega.Expect(l.Holds(time.Second)).To(gomega.BeFalse())
	})

	// Guards against an answer that was overtaken by a later one.
	ginkgo.It("keeps the answer to the latest question of each host", func() {
		l, m := newLease()
		for _, host := range m[:3] {
			l.Answer(host, 2*time.Second, keys.Answer{Epoch: 1, Version: 4})
			l.Answer(host, time.Second, keys.Answer{Epoch: 1, Version: 3})
		}
		gomega.Expect(l.Holds(2 * time.Second)).To(gomega.BeFalse())
	})

	// Guards against a host that stops serving as soon as control hosts change.
	ginkgo.It("that is held lasts over a change of view or plan", func() {
		l, m := newLease()
		for _, host := range m[:3] {
			l.Answer(host, time.Second, keys.Answer{Epoch: 1, Version: 3})
		}
		l.SetView(2, hosts(9, 3))
		l.SetVersion(4)
		l.Answer(hosts(9, 1)[0], 2*time.Second, keys.Answer{})
		gomega.Expect(l.Holds(leaseLength)).To(gomega.BeTrue())
		gomega.Expect(l.Holds(time.Second + leaseLength)).To(gomega.BeFalse())
	})
})

// In random schedules of plans that majorities accept, questions and answers that are
// delayed or lost, no lease holds for longer than its length after a newer plan than the
// one in force has been acknowledged.
func TestNoLeaseOutlivesAnAcknowledgedPlan(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const n = 5
		l, members := keys.NewLease(leaseLength), hosts(1, n)
		l.SetView(1, members)
		accepted, version, inForce := make([]uint64, n), uint64(1), uint64(1)
		for i := range accepted {
			accepted[i] = 1
		}
		l.SetVersion(inForce)
		acknowledged := make(map[uint64]time.Duration) // When versions were acknowledged.
		type delayed struct {
			host  int
			asked time.Duration
			at    time.Duration
			a     keys.Answer
		}
		var pending []delayed
		for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
			if rng.IntN(60) == 0 { // A majority accepts a plan; its acknowledgement follows.
				version++
				for _, i := range rng.Perm(n)[:n/2+1+rng.IntN(n/2)] {
					accepted[i] = version
				}
				acknowledged[version] = now
			}
			if rng.IntN(20) == 0 {
				for i := range n {
					if rng.IntN(4) > 0 {
						pending = append(pending, delayed{i, now, now + time.Duration(rng.Int64N(int64(2*time.Second))), keys.Answer{Epoch: 1, Version: accepted[i]}})
					}
				}
			}
			for i := 0; i < len(pending); i++ {
				if p := pending[i]; p.at <= now {
					l.Answer(members[p.host], p.asked, p.a)
					pending = append(pending[:i], pending[i+1:]...)
					i--
				}
			}
			if rng.IntN(200) == 0 {
				inForce = version
				l.SetVersion(inForce)
			}
			if at, newer := acknowledged[inForce+1]; newer && l.Holds(now) && now > at+leaseLength {
				t.Fatalf("seed %d: at %s, %s after plan %d was acknowledged, plan %d is in force under a lease", seed, now, now-at, inForce+1, inForce)
			}
		}
	}
}

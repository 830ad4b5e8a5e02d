package links

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against new connections without bound to a target that refuses calls, and against a
// bound for one that serves as many as it refuses.
func TestRenewalsAreBoundedByTimeAndAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	var (
		r       renewals
		address = netip.MustParseAddrPort("127.0.0.1:80")
		other   = netip.MustParseAddrPort("127.0.0.1:81")
		now     = time.Now()
		burst   = int(maxUnpaid / renewalInterval)
	)
	r.pay(address)
	for range 10 * burst {
		r.count(address, now)
		r.pay(address)
	}
	g.Expect(r.exceeded(address, now)).To(gomega.BeFalse())
	for range burst {
		r.count(address, now)
	}
	g.Expect(r.exceeded(address, now)).To(gomega.BeFalse())
	r.count(address, now)
	g.Expect(r.exceeded(address, now)).To(gomega.BeTrue())
	g.Expect(r.exceeded(other, now)).To(gomega.BeFalse())
	g.Expect(r.exceeded(address, now.Add(renewalInterval))).To(gomega.BeFalse())
	for range 3 * burst {
		r.pay(address) // What was served before pays for no later refusals.
	}
	for range burst + 1 {
		r.count(address, now)
	}
	g.Expect(r.exceeded(address, now)).To(gomega.BeTrue())
	r.expire(now.Add(2 * maxUnpaid))
	g.Expect(r.paid).To(gomega.BeEmpty())
}

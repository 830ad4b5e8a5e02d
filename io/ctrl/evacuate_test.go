package ctrl_test

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/io/client"
)

// setEvacuated gives an order to any host, again and again as an operator does.
func (s *testFleet) setEvacuated(zone string, evacuated bool) {
	gomega.EventuallyWithOffset(1, func() error {
		var err error
		for _, r := range s.hosts {
			if err = r.host.SetEvacuated(context.Background(), zone, evacuated); err == nil {
				return nil
			}
		}
		return err
	}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Succeed(), "zone %s", zone)
}

// expectEvacuated waits until host i knows the given orders, as fmt.Sprint writes them.
func (s *testFleet) expectEvacuated(i int, want string) {
	gomega.EventuallyWithOffset(1, func() string {
		_, list := s.hosts[i].host.Evacuation()
		return fmt.Sprint(list)
	}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Equal(want), "host %d", i)
}

var _ = ginkgo.Describe("An order to evacuate a data centre", func() {
	// Guards against orders that are lost by a plan, a loss of power or a change of the voting
	// hosts, and against an order that comes back after it was withdrawn.
	ginkgo.It("stays in force over plans, restarts of all hosts and views until it is withdrawn", func() {
		s := newTestFleet(3)
		for i := range 3 {
			s.startHost(i, true)
		}
		s.setEvacuated("buda", true)
		s.setEvacuated("buda", true)
		// The order may have been given before this host had recovered, which answers no read.
		var found bool
		gomega.Eventually(func() error {
			var err error
			_, found, err = s.hosts[0].host.ReadPlan(context.Background())
			return err
		}).WithContext(within(planTimeout)).WithPolling(pollPeriod).Should(gomega.Succeed())
		gomega.Expect(found).To(gomega.BeFalse(), "an order is no plan")
		s.putPlan(5)
		s.setEvacuated("pest", true)
		s.putPlan(6)
		for i := range 3 {
			s.expectEvacuated(i, "[buda pest]")
			s.expectPlan(i, 6)
		}
		for i := range 3 {
			s.stopHost(i)
		}
		for i := range 3 {
			s.startHost(i, false)
			s.expectEvacuated(i, "[buda pest]")
		}
		s.setEvacuated("buda", false)
		s.startHost(3, false)
		s.expectEvacuated(3, "[pest]")
		s.stopHost(0)
		gomega.Eventually(func() bool { v := s.hosts[3].host.View(); return v.Has(s.address(3)) }).WithContext(within(3 * planTimeout)).WithPolling(pollPeriod).Should(gomega.BeTrue())
		s.setEvacuated("pest", false)
		s.putPlan(7)
		for _, i := range []int{1, 2, 3} {
			s.expectEvacuated(i, "[]")
			s.expectPlan(i, 7)
		}
	})

	// Guards against commands that reach no host which takes the order.
	ginkgo.It("is taken from the operators' client", func() {
		s := newTestFleet(3)
		var admins []netip.AddrPort
		for i := range 4 { // The last one does not vote at first.
			s.startHost(i, true)
			admins = append([]netip.AddrPort{netip.AddrPortFrom(s.address(i), s.ports[1].Port())}, admins...)
		}
		c := client.New(admins)
		ctx := within(2 * planTimeout)
		v, err := c.SetEvacuated(ctx, "buda", true)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(v.DataCentres).To(gomega.Equal([]string{"buda"}))
		for i := range 4 {
			s.expectEvacuated(i, "[buda]")
		}
		for _, status := range c.Status(ctx) {
			gomega.Expect(status.Evacuated).To(gomega.Equal([]string{"buda"}))
		}
		v, err = c.SetEvacuated(ctx, "buda", false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(v.DataCentres).To(gomega.BeEmpty())
	})

	// Guards against messages and stored plans that change without orders.
	ginkgo.It("leaves a fleet without orders as it was", func() {
		s := newTestFleet(1)
		s.startHost(0, true)
		s.putPlan(5)
		s.expectPlan(0, 5)
		revision, list := s.hosts[0].host.Evacuation()
		gomega.Expect(revision).To(gomega.BeZero())
		gomega.Expect(list).To(gomega.BeEmpty())
	})

	ginkgo.It("is not acknowledged without a majority", func() {
		s := newTestFleet(3)
		s.startHost(0, true)
		gomega.Expect(s.hosts[0].host.SetEvacuated(context.Background(), "buda", true)).NotTo(gomega.Succeed())
		gomega.Expect(s.hosts[0].host.SetEvacuated(context.Background(), "", true)).NotTo(gomega.Succeed())
	})
})

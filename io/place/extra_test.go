package place_test

import (
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/io/place"
)

var _ = ginkgo.Describe("The limit of second attempts", func() {
	// Guards against more second attempts than the limit when several control hosts decide
	// for the same calls.
	ginkgo.It("is divided among the control hosts", func() {
		var controls []netip.AddrPort
		for i := range 7 {
			controls = append(controls, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80))
		}
		sum, largest := 0.0, 0.0
		for _, self := range controls {
			cfg := place.Config{Self: self, Controls: func() []netip.AddrPort { return controls }, ExtraAttempts: 0.05, ExtraWindow: time.Second}
			share := cfg.LimitExtras("s", controls).Share
			sum, largest = sum+share, max(largest, share)
		}
		gomega.Expect(sum).To(gomega.BeNumerically("<=", 0.05))
		gomega.Expect(largest).To(gomega.Equal(0.025))
	})

	ginkgo.It("belongs to a single control host whole, and is 0 by default", func() {
		gomega.Expect(place.Config{ExtraAttempts: 0.05}.LimitExtras("s", nil).Share).To(gomega.Equal(0.05))
		gomega.Expect(place.Config{}.LimitExtras("s", nil)).To(gomega.Equal(engine.LimitExtras{}))
	})

	// Guards against a question about a call that has ended, which must not reach the
	// control host as one about another call.
	ginkgo.It("is not asked for a call that has ended", func() {
		host := newControlHost()
		client := pick(newClientPool(host.address))
		sent, _ := startCall(client, 1)
		gomega.Eventually(sent, eventTimeout).Should(gomega.Receive(gomega.BeAssignableToTypeOf(engine.Send{})))
		gomega.Expect(client.AskExtra(engine.Extra{Call: 1})).To(gomega.BeTrue())
		gomega.Expect(client.FinishAttempt(engine.Finish{Call: 1, Result: engine.Answered})).To(gomega.BeTrue())
		gomega.Expect(client.AskExtra(engine.Extra{Call: 1})).To(gomega.BeFalse())
		gomega.Consistently(sent, 50*time.Millisecond).ShouldNot(gomega.Receive(), "without a limit nothing is sent")
	})
})

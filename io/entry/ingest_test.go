package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The wait behind bodies that callers send", func() {
	ginkgo.It("grows with each body up to what a caller sends ahead", func() {
		i := newIngest(4) // 500 bytes a millisecond.
		gomega.Expect(i.wait()).To(gomega.BeZero())
		first := i.open(50_000)
		gomega.Expect(i.wait()).To(gomega.Equal(100 * time.Millisecond))
		second := i.open(10_000_000)
		gomega.Expect(i.wait()).To(gomega.BeNumerically("~", 231*time.Millisecond, time.Millisecond))
		third := i.open(-1)
		gomega.Expect(i.wait()).To(gomega.Equal(longestIngest))
		third()
		second()
		first()
		gomega.Expect(i.wait()).To(gomega.BeZero())
	})

	ginkgo.It("is none for short bodies and for a link of unknown rate", func() {
		i := newIngest(4)
		i.open(replayLimit)
		gomega.Expect(i.wait()).To(gomega.BeZero())
		i = newIngest(0)
		i.open(1 << 30)
		gomega.Expect(i.wait()).To(gomega.BeZero())
	})

	ginkgo.It("is given to a control host on top of the usual time for a decision", func() {
		f := newTestFleet()
		f.host.ingest = newIngest(4)
		c := &call{host: f.host}
		c.expect()
		gomega.Expect(c.crowded).To(gomega.BeFalse())
		defer f.host.ingest.open(50_000)()
		c.expect()
		gomega.Expect(c.crowded).To(gomega.BeTrue())
		gomega.Consistently(c.overdue, answerLimit+50*time.Millisecond).ShouldNot(gomega.Receive())
		gomega.Eventually(c.overdue, time.Second).Should(gomega.Receive())
	})
})

package entry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The queueing delay behind uploads", func() {
	ginkgo.It("grows with each body by the bytes that a caller sends before the host reads them", func() {
		backlog := newUploadBacklog(4) // 500 bytes a millisecond.
		gomega.Expect(backlog.queueDelay()).To(gomega.BeZero())
		first := backlog.addUpload(50_000)
		gomega.Expect(backlog.queueDelay()).To(gomega.Equal(100 * time.Millisecond))
		second := backlog.addUpload(10_000_000)
		gomega.Expect(backlog.queueDelay()).To(gomega.BeNumerically("~", 231*time.Millisecond, time.Millisecond))
		third := backlog.addUpload(-1)
		gomega.Expect(backlog.queueDelay()).To(gomega.Equal(maxQueueDelay))
		third()
		second()
		first()
		gomega.Expect(backlog.queueDelay()).To(gomega.BeZero())
	})

	ginkgo.It("is zero for short bodies and for a link rate of 0", func() {
		backlog := newUploadBacklog(4)
		backlog.addUpload(maxReplayBytes)
		gomega.Expect(backlog.queueDelay()).To(gomega.BeZero())
		backlog = newUploadBacklog(0)
		backlog.addUpload(1 << 30)
		gomega.Expect(backlog.queueDelay()).To(gomega.BeZero())
	})

	ginkgo.It("is added to the decision timeout of a control host", func() {
		f := newTestFleet()
		f.host.uploads = newUploadBacklog(4)
		c := &call{host: f.host}
		c.startDecisionTimer()
		gomega.Expect(c.delayedByUploads).To(gomega.BeFalse())
		defer f.host.uploads.addUpload(50_000)()
		c.startDecisionTimer()
		gomega.Expect(c.delayedByUploads).To(gomega.BeTrue())
		gomega.Consistently(c.decisionOverdue, decisionTimeout+50*time.Millisecond).ShouldNot(gomega.Receive())
		gomega.Eventually(c.decisionOverdue, time.Second).Should(gomega.Receive())
	})
})

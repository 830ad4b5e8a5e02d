package admit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/admit"
)

func TestQueueServesPromptCallsFirstAndBoundsWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	q := admit.Queue{MaxWeight: 4}
	g.Expect(q.Push(admit.QueuedCall{Call: 1, Weight: 1, Patient: true, Until: start.Add(time.Second)})).To(gomega.Succeed())
	g.Expect(q.Push(admit.QueuedCall{Call: 2, Weight: 2, Until: start.Add(time.Minute)})).To(gomega.Succeed())
	g.Expect(q.Push(admit.QueuedCall{Call: 3, Weight: 2})).To(gomega.MatchError(admit.ErrFull))
	g.Expect(q.Push(admit.QueuedCall{Call: 4, Weight: 1, Until: start.Add(time.Minute)})).To(gomega.Succeed())
	c, ok := q.Pop()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(c.Call).To(gomega.Equal(uint64(2)))
	expired := q.Expire(nil, start.Add(time.Second))
	g.Expect(expired).To(gomega.HaveLen(1))
	g.Expect(expired[0].Call).To(gomega.Equal(uint64(1)))
	g.Expect(q.Remove(4)).To(gomega.BeTrue())
	g.Expect(q.Weight()).To(gomega.BeZero())
}

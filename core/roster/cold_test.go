package roster_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
)

var _ = ginkgo.Describe("A table of targets that become cold", func() {
	// report returns a heartbeat with the given sequence number, heard as many seconds after
	// start, of a target that stays cold for left.
	report := func(sequence int, left time.Duration) roster.Target {
		t := target("a", 1, sequence, member.Ready)
		t.Heard = start.Add(time.Duration(sequence) * time.Second)
		if left > 0 {
			t.WarmAt = t.Heard.Add(left)
		}
		return t
	}

	// Guards against a warm target that becomes cold, of which other hosts are not told.
	ginkgo.It("reports a warm target that is cold again as a change", func() {
		t := roster.NewTable()
		gomega.Expect(t.Merge(report(5, 0))).To(gomega.BeTrue())
		gomega.Expect(t.Merge(report(6, 0))).To(gomega.BeFalse())
		gomega.Expect(t.Merge(report(7, 3*time.Second))).To(gomega.BeTrue())
		gomega.Expect(t.Merge(report(8, 2*time.Second))).To(gomega.BeFalse(), "the same warm-up")
		late := report(9, time.Second)
		late.Heard, late.WarmAt = late.Heard.Add(300*time.Millisecond), late.WarmAt.Add(300*time.Millisecond)
		gomega.Expect(t.Merge(late)).To(gomega.BeFalse(), "a late heartbeat")
		gomega.Expect(t.Merge(report(11, 0))).To(gomega.BeFalse())
		gomega.Expect(t.Merge(report(12, 3*time.Second))).To(gomega.BeTrue())
		gomega.Expect(t.Merge(report(13, 3*time.Second))).To(gomega.BeTrue(), "cold for longer than it was")
		gomega.Expect(t.Records(nil, "s")[0].WarmAt).To(gomega.Equal(start.Add(16 * time.Second)))
	})

	// Guards against a follower that ignores the change since the lease was renewed with a
	// later heartbeat before.
	ginkgo.It("takes the change after a renewal with a later sequence number", func() {
		t := roster.NewTable()
		t.Merge(report(5, 0))
		t.Renew("a", 9, start.Add(9*time.Second), start.Add(9*time.Second))
		gomega.Expect(t.Merge(report(8, 3*time.Second))).To(gomega.BeTrue())
		gomega.Expect(t.Records(nil, "s")[0].WarmAt).To(gomega.Equal(start.Add(11 * time.Second)))
		gomega.Expect(t.Merge(report(8, 3*time.Second))).To(gomega.BeFalse())
		got, _ := t.Get("a")
		gomega.Expect(got.Sequence).To(gomega.BeEquivalentTo(9))
	})
})

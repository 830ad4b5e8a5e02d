package quota_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
	"cardamomspool/core/quota"
)

// Guards against numbers that are lost when other accounts change, or that never leave the
// window.
func TestTallyCountsInAWindow(t *testing.T) {
	g := gomega.NewWithT(t)
	tally, now := quota.NewTally(time.Second), time.Unix(1000, 0)
	counts := func(name string, at time.Time) [2]int {
		used, refused := tally.Counts(name, at)
		return [2]int{used, refused}
	}
	tally.SetAccounts([]plan.Account{{Name: "a"}, {Name: "b"}})
	tally.Count("a", true, now)
	tally.Count("a", false, now)
	tally.Count("other", true, now)
	tally.SetAccounts([]plan.Account{{Name: "a"}, {Name: "c"}})
	tally.Count("a", true, now.Add(500*time.Millisecond))
	g.Expect(counts("a", now.Add(500*time.Millisecond))).To(gomega.Equal([2]int{2, 1}))
	g.Expect(counts("a", now.Add(1200*time.Millisecond))).To(gomega.Equal([2]int{1, 0}))
	g.Expect(counts("a", now.Add(2*time.Second))).To(gomega.Equal([2]int{}))
	g.Expect(counts("other", now)).To(gomega.Equal([2]int{}))
}

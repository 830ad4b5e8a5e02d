package quota_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/internal/golden"
)

type (
	// shareRun describes the phases of a run of a fleet by class of accounts: who waits, who
	// is refused, and what each class gets of its max-min share. All calls are of equal work
	// and there are slots for all within the quotas, so the share of an account is what it
	// asks for, up to its rate.
	shareRun struct {
		*fleet
		g    *gomega.WithT
		hot  []string
		text strings.Builder
	}

	// shareCounts are the calls of one account.
	shareCounts struct {
		asked, refused, ran int
	}
)

const (
	// shareTolerance is the part by which an account may miss its max-min share in steady
	// state.
	shareTolerance = 0.05
	// minAccountPhase is the shortest phase in which each account is checked. In a shorter
	// one, a call that begins in one phase and runs in the next is more than a twentieth of a
	// small account's calls.
	minAccountPhase = 20 * time.Second
)

// newShareRun returns a run in which the hot accounts ask for 7.5 times their usual.
func newShareRun(t *testing.T, hot ...string) *shareRun {
	r := &shareRun{fleet: newFleet(), g: gomega.NewWithT(t), hot: hot}
	r.run(3 * time.Second)
	for _, name := range hot {
		r.factor[name] = 7.5
	}
	return r
}

// class returns the class of an account: its size, and whether it is hot.
func (r *shareRun) class(name string) string {
	size, _, _ := strings.Cut(name, "-")
	if slices.Contains(r.hot, name) {
		return "hot " + size
	}
	return size
}

// phase runs the fleet for d and describes it. In steady state, each class and account must
// have its max-min share.
func (r *shareRun) phase(name string, d time.Duration, steady bool) {
	before := make(map[string]shareCounts)
	for _, a := range r.plan {
		before[a.Name] = shareCounts{asked: r.asked[a.Name], refused: r.refused[a.Name], ran: len(r.runs[a.Name])}
	}
	r.run(d)
	sums, shares, waits := make(map[string]shareCounts), make(map[string]float64), make(map[string][]time.Duration)
	for _, a := range r.plan {
		class, b := r.class(a.Name), before[a.Name]
		c := shareCounts{asked: r.asked[a.Name] - b.asked, refused: r.refused[a.Name] - b.refused, ran: len(r.runs[a.Name]) - b.ran}
		sum := sums[class]
		sums[class] = shareCounts{asked: sum.asked + c.asked, refused: sum.refused + c.refused, ran: sum.ran + c.ran}
		share := min(float64(c.asked), a.Rate*d.Seconds())
		shares[class] += share
		if steady && d >= minAccountPhase {
			r.g.Expect(float64(c.ran)).To(gomega.BeNumerically("~", share, shareTolerance*share), "%s, %s", name, a.Name)
		}
		waits[class] = append(waits[class], r.waits[a.Name][b.ran:]...)
	}
	for _, class := range []string{"hot large", "hot small", "large", "small"} {
		c, list := sums[class], waits[class]
		if c.asked == 0 {
			continue
		}
		slices.Sort(list)
		part := float64(c.ran) / shares[class]
		fmt.Fprintf(&r.text, "%-22s %-9s asked %5d refused at first %5d ran %5d of max-min %7.1f (%.2f) wait p50 %3d ms p95 %4d ms\n", name, class, c.asked, c.refused, c.ran,
			shares[class], part, list[len(list)/2].Milliseconds(), list[len(list)*95/100].Milliseconds())
		if steady {
			r.g.Expect(part).To(gomega.BeNumerically("~", 1, shareTolerance), "%s, %s", name, class)
		}
	}
}

// compare compares the description with its golden file.
func (r *shareRun) compare(t *testing.T) {
	t.Log("\n" + r.text.String())
	golden.Compare(t, t.Name(), r.text.String())
}

// Guards against an account whose quota was lowered that takes from others, or that gets more
// or less than its new quota.
func TestSharesWithAQuotaLoweredFarBelowTheLoad(t *testing.T) {
	r := newShareRun(t, "large-0")
	r.phase("burst", 2*time.Second, false)
	r.phase("before", 5*time.Second, true)
	r.plan = slices.Clone(r.plan)
	r.plan[0].Rate, r.plan[0].Burst = 10, 10
	for i, c := range r.controls {
		r.after(time.Duration(i)*70*time.Millisecond, func() { c.ledger.SetAccounts(r.plan, r.now) })
	}
	r.phase("first window", 500*time.Millisecond+simConfig.Window, false)
	r.phase("after", 20*time.Second, true)
	r.compare(t)
}

// Guards against a frozen deciding host that costs accounts their shares for longer than it
// is frozen.
func TestSharesWithTheDecidingHostFrozen(t *testing.T) {
	r := newShareRun(t, "large-0", "small-00")
	r.phase("burst", 2*time.Second, false)
	r.phase("before", 5*time.Second, true)
	r.freeze(r.controls[0], 2*time.Second)
	r.phase("frozen", 2*time.Second, false)
	r.phase("resumed", time.Second, false)
	r.phase("after", 20*time.Second, true)
	r.expectBound(t, r.hot...)
	r.compare(t)
}

// Guards against hosts that were cut off which cost accounts their shares for longer than
// that, and against accounts within their quotas that lose theirs meanwhile to hot ones.
func TestSharesWithHalfTheEntryHostsCutOff(t *testing.T) {
	r := newShareRun(t, "large-0", "small-00")
	r.phase("burst", 2*time.Second, false)
	r.phase("before", 5*time.Second, true)
	r.setCut(simEntries / 2)
	r.phase("cut off", 10*time.Second, false)
	r.setCut(0)
	r.phase("back", simConfig.Window, false)
	r.phase("after", 20*time.Second, true)
	r.expectBound(t, r.hot...)
	r.compare(t)
}

package admit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/admit"
)

const demandFair = 20.0

// arriveEvenly has n calls of the flow arrive evenly from at on, each of which is refused if
// refused says so, and returns the number that may be new and the time after them.
func arriveEvenly(flow *admit.Flow, at time.Time, n int, period time.Duration, refused bool) (earning int, after time.Time) {
	for range n {
		if flow.Arrive(demandFair, at) {
			earning++
		}
		if refused {
			flow.Refused(at)
		}
		at = at.Add(period)
	}
	return earning, at
}

// Guards against repeats that are taken for new calls, and against accounts that lose what is
// guaranteed to them because all their calls are taken for repeats.
func TestCallsThatMayBeNew(t *testing.T) {
	for name, row := range map[string]struct {
		before, after time.Duration // The time between two calls before and after the first refusal.
		least, most   int           // Of the calls in 10 s after it.
	}{
		"as many calls as before":            {5 * time.Millisecond, 5 * time.Millisecond, 1900, 2000},
		"forty times as many":                {5 * time.Millisecond, 125 * time.Microsecond, 1900, 2300},
		"few calls, all refused":             {time.Second, 100 * time.Millisecond, 99, 100},
		"many calls after few, fair share":   {time.Second, time.Millisecond, 190, 250},
		"fewer than before":                  {5 * time.Millisecond, 20 * time.Millisecond, 499, 500},
		"as many as the fair share, refused": {50 * time.Millisecond, 50 * time.Millisecond, 199, 200},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var fair admit.Fair
			now := time.Unix(1_800_000_000, 0)
			flow := fair.Join(1, "a", now)
			n := int(max(time.Second, 3*row.before) / row.before)
			earning, now := arriveEvenly(flow, now, n, row.before, false)
			g.Expect(earning).To(gomega.Equal(n), "nothing has been refused")
			flow.Refused(now)
			earning, now = arriveEvenly(flow, now, int(10*time.Second/row.after), row.after, true)
			g.Expect(earning).To(gomega.And(gomega.BeNumerically(">=", row.least), gomega.BeNumerically("<=", row.most)))
			earning, _ = arriveEvenly(flow, now.Add(3*time.Second), 100, row.after, false)
			g.Expect(earning).To(gomega.Equal(100), "refusals are forgotten")
		})
	}
}

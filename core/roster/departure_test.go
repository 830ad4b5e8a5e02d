package roster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/roster"
)

// Guards against a departed target that comes back by a report or a renewal from a host
// that has missed its departure. Three tables exchange reports and renewals in a random
// order; each may have expired the target, or not know it, as it departs.
func TestDepartedTargetComesBackInNoTable(t *testing.T) {
	const schedules, steps = 2000, 40
	for seed := range uint64(schedules) {
		rng := rand.New(rand.NewPCG(seed, 25))
		now := start
		tables := []*roster.Table{roster.NewTable(), roster.NewTable(), roster.NewTable()}
		report := target("a", 1, 1, member.Ready)
		departed := -1 // The table that heard the departure.
		for range steps {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			from, to := tables[rng.IntN(len(tables))], tables[rng.IntN(len(tables))]
			known, ok := from.Get("a")
			switch rng.IntN(5) {
			case 0: // A heartbeat, sent before the departure if there was one.
				if departed < 0 {
					report.Sequence++
					report.Heard = now
				}
				to.Merge(report)
			case 1:
				to.Expire(nil, now)
			case 2:
				if ok {
					to.Merge(known)
				}
			case 3:
				if ok && known.State < member.Leaving {
					to.Renew("a", known.Sequence, known.Heard, now)
				}
			case 4:
				if departed < 0 {
					departed = rng.IntN(len(tables))
					tables[departed].Merge(roster.Target{ID: "a", State: member.Leaving, Heard: now})
				}
			}
			if departed >= 0 && len(usable(tables[departed])) > 0 {
				gomega.NewWithT(t).Expect(usable(tables[departed])).To(gomega.BeEmpty(), "seed %d, %s after the start", seed, now.Sub(start))
			}
		}
	}
}

func TestReportWithoutStartChangesNothingAfterADepartureWithoutOne(t *testing.T) {
	g := gomega.NewWithT(t)
	table := roster.NewTable()
	table.Merge(roster.Target{ID: "a", State: member.Leaving, Heard: start})
	report := target("a", 1, 1, member.Ready)
	report.Born = time.Time{}
	g.Expect(table.Merge(report)).To(gomega.BeFalse())
	g.Expect(table.Merge(report)).To(gomega.BeFalse())
	g.Expect(usable(table)).To(gomega.BeEmpty())
}

func TestTargetThatStartsAgainIsNotTakenForTheDepartedOne(t *testing.T) {
	g := gomega.NewWithT(t)
	table := roster.NewTable()
	table.Merge(roster.Target{ID: "a", State: member.Leaving, Heard: start})
	restarted := target("a", 100, 1, member.Ready)
	restarted.Heard = start.Add(10 * time.Second)
	g.Expect(table.Merge(restarted)).To(gomega.BeTrue())
	g.Expect(usable(table)).To(gomega.Equal([]string{"a ready"}))
}

// Guards against a renewal of another host that keeps out all further reports of a target.
func TestRenewalWithASequenceNumberOutOfRangeChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	table := roster.NewTable()
	table.Merge(target("a", 1, 5, member.Ready))
	table.Renew("a", 1<<62, start.Add(time.Second), start.Add(time.Second))
	g.Expect(table.Merge(target("a", 1, 6, member.Draining))).To(gomega.BeTrue())
	g.Expect(usable(table)).To(gomega.Equal([]string{"a draining"}))
}

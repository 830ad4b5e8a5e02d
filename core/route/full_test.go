package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/route"
	"cardamomspool/core/wire"
)

// fullTable is a table whose targets t0, t1, ... have three slots.
type fullTable struct {
	*route.Table
	now time.Time
}

func newFullTable(n int) *fullTable {
	now := time.Unix(1000, 0)
	t, _ := newTwoCentreTable(n, now)
	return &fullTable{Table: t, now: now}
}

// resetAtFullSlots sends three calls to a target, of which it resets one. It then answers the
// others unless it has crashed.
func (t *fullTable) resetAtFullSlots(name string, crashed bool) (full bool) {
	for range 3 {
		t.Begin(name, t.now)
	}
	t.now = t.now.Add(time.Millisecond)
	full = t.ObserveReset(name, 0, true, t.now)
	outcome := route.Failed
	if full {
		outcome = route.Full
	}
	t.Finish(name, route.Feedback{Outcome: outcome, Reset: true}, time.Millisecond, t.now)
	t.now = t.now.Add(100 * time.Millisecond)
	for range 2 {
		f := route.Feedback{Outcome: route.Served}
		if crashed {
			t.ObserveReset(name, 0, true, t.now)
			f = route.Feedback{Outcome: route.Failed, Reset: true}
		}
		t.Finish(name, f, 101*time.Millisecond, t.now)
	}
	return full
}

// candidates returns the number of targets that a call may go to.
func (t *fullTable) candidates(once bool) int {
	pick, _ := t.Choose(route.Fastest{}, route.Query{Now: t.now, Once: once}, rand.New(rand.NewPCG(1, 1)))
	return pick.Candidates
}

func TestResetsAtFullSlotsAreLearnt(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newFullTable(2)
	for range 3 {
		g.Expect(table.ResetsWhenFull(table.now)).To(gomega.BeFalse())
		g.Expect(table.resetAtFullSlots("t0", false)).To(gomega.BeFalse(), "a failure as long as it is not learnt")
	}
	g.Expect(table.ResetsWhenFull(table.now)).To(gomega.BeTrue())
	g.Expect(table.resetAtFullSlots("t0", false)).To(gomega.BeTrue())
	g.Expect(table.FullResets()).To(gomega.Equal(uint64(1)))
	table.now = table.now.Add(5*time.Minute + time.Second)
	g.Expect(table.ResetsWhenFull(table.now)).To(gomega.BeFalse(), "forgotten")
}

// Guards against a service whose decisions change since targets have crashed under load.
func TestCrashesOfBusyTargetsAreNotLearnt(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newFullTable(8)
	for _, name := range []string{"t0", "t1", "t2", "t3", "t4"} {
		table.resetAtFullSlots(name, true)
		table.Finish(name, route.Feedback{Outcome: route.Unreachable}, 0, table.now)
		table.Finish(name, route.Feedback{Outcome: route.Served}, 0, table.now.Add(200*time.Millisecond)) // Started again.
	}
	g.Expect(table.ResetsWhenFull(table.now)).To(gomega.BeFalse())
	for _, name := range []string{"t5", "t6", "t7"} {
		table.resetAtFullSlots(name, true)
		table.now = table.now.Add(6 * time.Second)
		probe := route.Probe{Result: route.ProbeHealthy, Reported: true, Load: wire.Load{Running: 3, Slots: 3}}
		table.ApplyProbe(name, probe, table.now) // Started again and full.
	}
	g.Expect(table.ResetsWhenFull(table.now)).To(gomega.BeFalse())
}

// Guards against a call that must not run twice and goes to a target whose slots may all be in
// use, and against pauses of full targets that last too long.
func TestCallsThatMustNotRunTwiceGoWhereASlotIsFree(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newFullTable(2)
	for range 2 {
		table.Begin("t0", table.now)
	}
	table.Begin("t1", table.now)
	table.Abandon("t0", table.now) // It may still run.
	g.Expect(table.candidates(true)).To(gomega.Equal(2), "as before while nothing is learnt")
	table.LearnResets(table.now)
	g.Expect(table.candidates(true)).To(gomega.Equal(1))
	g.Expect(table.candidates(false)).To(gomega.Equal(2))
	probe := route.Probe{Result: route.ProbeHealthy, Reported: true, Load: wire.Load{Running: 2, Slots: 3}}
	table.ApplyProbe("t0", probe, table.now)
	g.Expect(table.candidates(true)).To(gomega.Equal(2), "the report shows that it does not")
	table.Begin("t0", table.now)
	g.Expect(table.ObserveReset("t0", 0, true, table.now)).To(gomega.BeTrue())
	table.Finish("t0", route.Feedback{Outcome: route.Full}, 0, table.now)
	g.Expect(table.candidates(false)).To(gomega.Equal(1), "paused")
	table.now = table.now.Add(50 * time.Millisecond)
	g.Expect(table.candidates(false)).To(gomega.Equal(2))
}

// Guards against a target that resets all calls at full slots for ever, as one that fails
// after a while does.
func TestResetsInRowWithoutAnAnswerCountAsFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newFullTable(2)
	table.LearnResets(table.now)
	for range 3 {
		table.Begin("t0", table.now)
	}
	for i := range 8 {
		g.Expect(table.ObserveReset("t0", 0, true, table.now)).To(gomega.Equal(i < 5), "reset %d", i)
	}
}

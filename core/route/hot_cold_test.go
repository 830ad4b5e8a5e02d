package route_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/wire"
)

const callTime = 10 * time.Millisecond

var (
	served = route.Feedback{Outcome: route.Served}
	full   = route.Feedback{Outcome: route.Served, Reported: true, Load: wire.Load{Running: 3, Queued: 3, Slots: 3}}
)

// recordAnswers records ten answers of callTime for each of the named targets,
// so that their latency and the mean are known.
func recordAnswers(table *route.Table, names ...string) {
	for _, name := range names {
		for range 10 {
			finishCall(table, name, callTime, served, start)
		}
	}
}

func TestHotColdSkipsTargetThatReportsFull(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(2)
	recordAnswers(table, "t0", "t1")
	finishCall(table, "t0", callTime, full, start)
	g.Expect(countChoices(table, route.HotCold{}, 100, start)["t0"]).To(gomega.BeZero())
	// The target counts as full for half the mean latency, doubled for three
	// calls queued on three slots.
	g.Expect(countChoices(table, route.HotCold{}, 100, start.Add(9*time.Millisecond))["t0"]).To(gomega.BeZero())
	g.Expect(countChoices(table, route.HotCold{}, 100, start.Add(11*time.Millisecond))["t0"]).To(gomega.BeNumerically(">", 20))
}

func TestHotColdUsesFullTargetsWhenAllReportFull(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(2)
	recordAnswers(table, "t0", "t1")
	finishCall(table, "t0", callTime, full, start)
	finishCall(table, "t1", callTime, full, start)
	pick, ok := table.Choose(route.HotCold{}, route.Query{Slots: 3, Now: start}, newRand())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(pick.Why).To(gomega.Equal(route.WhyAllHot))
}

func TestPoliciesSkipTargetForHalfTheMeanLatencyAfterShed(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, policy := range []route.Policy{route.LeastOutstanding{}, route.TwoChoices{}, route.HotCold{}} {
		table := newTable(1)
		recordAnswers(table, "t0")
		finishCall(table, "t0", time.Millisecond, route.Feedback{Outcome: route.Shed}, start)
		wake, ok := table.NextAvailable(start)
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(wake.Sub(start)).To(gomega.Equal(callTime / 2))
		g.Expect(countChoices(table, policy, 1, wake.Add(-1))).To(gomega.BeEmpty())
		g.Expect(countChoices(table, policy, 1, wake)).To(gomega.HaveLen(1))
	}
}

func TestHotColdEjectsTargetThatFailsFast(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(3)
	recordAnswers(table, "t0", "t1", "t2")
	failures := 0
	rng := newRand()
	for range 1000 {
		pick, _ := table.Choose(route.HotCold{}, route.Query{Slots: 3, Now: start}, rng)
		if pick.Name == "t0" {
			failures++
			finishCall(table, "t0", 0, route.Feedback{Outcome: route.Failed}, start)
			continue
		}
		table.Begin(pick.Name, start) // Ends at once, so that no target looks busier than t0.
		table.Finish(pick.Name, served, callTime, start)
	}
	g.Expect(failures).To(gomega.BeNumerically("<=", 5))
	back := start.Add(600 * time.Millisecond)
	g.Expect(countChoices(table, route.HotCold{}, 1000, back)["t0"]).To(gomega.BeNumerically("<", 50), "returns at once to a full share")
}

func TestHotColdUsesFailingTargetsWhenAllFail(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(2)
	for _, name := range []string{"t0", "t1"} {
		finishCall(table, name, 0, route.Feedback{Outcome: route.Unreachable}, start)
	}
	pick, ok := table.Choose(route.HotCold{}, route.Query{Slots: 3, Now: start}, newRand())
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(pick.Why).To(gomega.Equal(route.WhyAllFailing))
}

func TestHotColdSkipsATargetThatEndsNoCall(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(2)
	recordAnswers(table, "t0", "t1")
	table.Begin("t0", start)
	table.Begin("t1", start.Add(35*time.Millisecond))
	g.Expect(countChoices(table, route.HotCold{}, 100, start.Add(39*time.Millisecond))).To(gomega.HaveLen(2))
	g.Expect(countChoices(table, route.HotCold{}, 100, start.Add(41*time.Millisecond))).To(gomega.HaveKeyWithValue("t1", 100))
}

func TestHotColdStragglerShareRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(10)
	recordAnswers(table, "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9")
	for range 5 {
		finishCall(table, "t0", 20*callTime, served, start)
	}
	recordAnswers(table, "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9")
	fair := 100
	g.Expect(countChoices(table, route.HotCold{}, 1000, start)["t0"]).To(gomega.BeNumerically("<", fair/4))
	g.Expect(countChoices(table, route.HotCold{}, 1000, start.Add(time.Second))["t0"]).To(gomega.BeNumerically("~", fair/4, fair/5))
	g.Expect(countChoices(table, route.HotCold{}, 1000, start.Add(4*time.Second))["t0"]).To(gomega.BeNumerically("~", fair, fair/3))
}

func TestHotColdRampsANewTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(9)
	now := start.Add(time.Minute)
	table.Update(records(10), ramp, now)
	g.Expect(countChoices(table, route.HotCold{}, 1000, now)["t9"]).To(gomega.BeNumerically("<=", 15))
	g.Expect(countChoices(table, route.HotCold{}, 1000, now.Add(ramp/2))["t9"]).To(gomega.BeNumerically("~", 50, 25))
	g.Expect(countChoices(table, route.HotCold{}, 1000, now.Add(ramp))["t9"]).To(gomega.BeNumerically("~", 100, 35))
}

func TestHotColdPrefersItsOwnDataCentreAmongEquals(t *testing.T) {
	g := gomega.NewWithT(t)
	list := records(3)
	list[1].DataCentre = "antigua"
	var table route.Table
	table.SetDataCentre("antigua")
	table.Update(list, 0, start)
	g.Expect(countChoices(&table, route.HotCold{PreferOwnDataCentre: true}, 100, start)).To(gomega.HaveKeyWithValue("t1", 100))
	g.Expect(countChoices(&table, route.HotCold{}, 300, start)).To(gomega.HaveLen(3))
	recordAnswers(&table, "t0", "t1", "t2")
	table.Begin("t1", start)
	g.Expect(countChoices(&table, route.HotCold{PreferOwnDataCentre: true}, 100, start)).NotTo(gomega.HaveKey("t1"))
}

// Target t0 fails and then restarts, while t1 drains and t2 is busy. The restarted t0
// is chosen.
func TestRestartedTargetIsChosenWhileOtherDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(3)
	finishCall(table, "t0", 0, route.Feedback{Outcome: route.Unreachable}, start)
	table.Begin("t2", start)
	g.Expect(countChoices(table, route.HotCold{}, 10, start)).NotTo(gomega.HaveKey("t0"))
	list := records(3)
	list[0].Incarnation = 2
	list[1].State = member.Draining
	table.Update(list, 0, start)
	// While it is ejected, t2 would be chosen before it.
	g.Expect(countChoices(table, route.HotCold{}, 10, start)).To(gomega.HaveKeyWithValue("t0", 10))
}

func BenchmarkHotCold(b *testing.B) {
	benchmarkChoose(b, route.HotCold{})
}

func TestHotColdPrefersIdleTargetToSuspectTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	list := records(2)
	list[0].Suspect = true
	var table route.Table
	table.Update(list, 0, start)
	g.Expect(countChoices(&table, route.HotCold{}, 100, start)).To(gomega.HaveKeyWithValue("t1", 100))
	recordAnswers(&table, "t0", "t1")
	table.Begin("t1", start)
	table.Begin("t1", start)
	g.Expect(countChoices(&table, route.HotCold{}, 100, start)).To(gomega.HaveKeyWithValue("t0", 100))
	list[0].Suspect = false
	table.Update(list, 0, start)
	table.Finish("t1", route.Feedback{Outcome: route.Served}, 0, start)
	table.Finish("t1", route.Feedback{Outcome: route.Served}, 0, start)
	g.Expect(countChoices(&table, route.HotCold{}, 300, start)).To(gomega.HaveLen(2))
}

package engine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/internal/golden"
)

// shareTolerance is the part by which the work of an account may differ from its max-min
// share.
const shareTolerance = 0.05

var slowClass = fairClass{work: 400 * time.Millisecond, aim: 1500 * time.Millisecond, deadline: 3 * time.Second}

// smallAccounts returns n accounts with the given calls of quickClass a second each.
func smallAccounts(n, rank int, perSecond float64) []*fairAccount {
	var list []*fairAccount
	for i := range n {
		list = append(list, &fairAccount{name: fmt.Sprintf("r%d-%02d", rank, i), rank: rank, perSecond: perSecond, class: quickClass})
	}
	return list
}

// runFairly runs the calls of the accounts with fair shares and compares the result with a
// golden file. The file also has the worst tenth of the accounts beside the mean, by the
// part of their calls that was answered within the aim, with fair shares and without.
func runFairly(t *testing.T, accounts func() []*fairAccount) []*fairAccount {
	before := newFairRun(accounts()...)
	before.blind = true
	before.run()
	after := newFairRun(accounts()...)
	after.run()
	golden.Compare(t, t.Name(), fmt.Sprintf("%sin time, without fair shares: %s\nin time, with fair shares:    %s\n", after, spreadOf(before.accounts), spreadOf(after.accounts)))
	return after.accounts
}

// spreadOf describes the parts of the accounts' calls that were answered within the aim.
func spreadOf(accounts []*fairAccount) string {
	var parts []float64
	mean := 0.0
	for _, a := range accounts {
		parts = append(parts, a.inTimeShare())
		mean += a.inTimeShare() / float64(len(accounts))
	}
	slices.Sort(parts)
	worst, n := 0.0, (len(parts)+9)/10
	for _, part := range parts[:n] {
		worst += part / float64(n)
	}
	all := sumOf(accounts)
	return fmt.Sprintf("worst tenth of the accounts %.2f, mean %.2f, all calls %.2f", worst, mean, all.inTimeShare())
}

// expectMaxMinShares checks that every account has got its max-min share of the work.
func expectMaxMinShares(g *gomega.WithT, accounts []*fairAccount) {
	for i, share := range maxMinShares(accounts) {
		g.Expect(accounts[i].work.Seconds()).To(gomega.BeNumerically("~", share, shareTolerance*share), accounts[i].name)
	}
}

// expectServedShares checks the guarantees for the shares of calls that are served: every
// account has at least a quarter of the share of all calls, and the calls of a rank are
// served at least as often as those of less urgent ones, and are in time as often, within
// what the users count as equal.
func expectServedShares(g *gomega.WithT, accounts []*fairAccount) {
	all := sumOf(accounts)
	byRank := map[int][]*fairAccount{}
	for _, a := range accounts {
		g.Expect(a.servedShare()).To(gomega.BeNumerically(">=", all.servedShare()/4), a.name)
		byRank[a.rank] = append(byRank[a.rank], a)
	}
	for rank, list := range byRank {
		for other, less := range byRank {
			if rank < other {
				urgent, behind := sumOf(list), sumOf(less)
				g.Expect(urgent.servedShare()).To(gomega.BeNumerically(">=", behind.servedShare()-0.05), "rank %d beside %d", rank, other)
				g.Expect(urgent.inTimeShare()).To(gomega.BeNumerically(">=", behind.inTimeShare()-0.15), "rank %d beside %d", rank, other)
			}
		}
	}
}

// Guards against an account whose burst takes the slots of the others.
func TestOneHotAccountGetsItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := runFairly(t, func() []*fairAccount {
		return append(smallAccounts(10, 1, 24), &fairAccount{name: "hot", rank: 1, perSecond: 900, class: quickClass})
	})
	expectMaxMinShares(g, accounts)
	expectServedShares(g, accounts)
	for _, a := range accounts[:10] {
		g.Expect(a.refused).To(gomega.BeZero(), a.name)
		g.Expect(a.percentile(95)).To(gomega.BeNumerically("<=", quickClass.work/4), a.name)
	}
}

func TestTwoHotAccountsGetEqualShares(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := runFairly(t, func() []*fairAccount {
		return append(smallAccounts(10, 1, 24),
			&fairAccount{name: "hot", rank: 1, perSecond: 900, class: quickClass},
			&fairAccount{name: "warm", rank: 1, perSecond: 500, class: quickClass})
	})
	expectMaxMinShares(g, accounts)
	expectServedShares(g, accounts)
}

// Guards against less urgent accounts that get no slot while a more urgent one fills all of
// them for long.
func TestHotAccountOfTheHighestRankStarvesNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := runFairly(t, func() []*fairAccount {
		list := append(smallAccounts(5, 1, 48), smallAccounts(5, 2, 3)...)
		return append(list, &fairAccount{name: "hot", rank: 0, perSecond: 900, class: quickClass})
	})
	expectServedShares(g, accounts)
	last := accounts[len(accounts)-1]
	g.Expect(last.work.Seconds()).To(gomega.BeNumerically(">=", 0.85*(fairLength-fairWarmUp).Seconds()*fairTargets*fairSlots), "the lower ranks get what is guaranteed, not more")
}

// Guards against shares by the number of calls: those of one account take four times as
// long.
func TestAccountWithManySlowCallsGetsItsShareOfWork(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := runFairly(t, func() []*fairAccount {
		return append(smallAccounts(8, 1, 30), &fairAccount{name: "slow", rank: 1, perSecond: 200, class: slowClass})
	})
	expectMaxMinShares(g, accounts)
	expectServedShares(g, accounts)
}

func TestAllAccountsAtOneAndAHalfTimes(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := runFairly(t, func() []*fairAccount { return smallAccounts(10, 1, 1.5*fairCapacity/10) })
	expectMaxMinShares(g, accounts)
	expectServedShares(g, accounts)
	sum := sumOf(accounts)
	g.Expect(sum.waitedInVain).To(gomega.BeNumerically("<=", sum.refused/100), "refused at once, of %d refused", sum.refused)
}

// Guards against small accounts that wait longer because another one has a burst. A slot
// takes some milliseconds to become free when all are in use, which the burst can not be
// kept from causing.
func TestSmallAccountsWaitAsIfThereWereNoBurst(t *testing.T) {
	small := func() []*fairAccount { return smallAccounts(20, 1, 20) }
	withBurst := func() []*fairAccount {
		return append(small(), &fairAccount{name: "burst", rank: 1, perSecond: 1500, class: quickClass, begin: 8 * time.Second, end: 14 * time.Second})
	}
	expect := func(g *gomega.WithT, alone, accounts []*fairAccount) {
		for i, a := range accounts[:20] {
			g.Expect(a.inTimeShare()).To(gomega.BeNumerically(">=", alone[i].inTimeShare()-0.01), a.name)
			g.Expect(a.percentile(95)-alone[i].percentile(95)).To(gomega.BeNumerically("<=", quickClass.work/4), a.name)
		}
	}
	alone := newFairRun(small()...)
	alone.run()
	expect(gomega.NewWithT(t), alone.accounts, runFairly(t, withBurst))
	for seed := range uint64(16) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			alone, burst := newFairRun(small()...), newFairRun(withBurst()...)
			for _, r := range []*fairRun{alone, burst} {
				r.rng = rand.New(rand.NewPCG(seed, seed))
				r.run()
			}
			expect(gomega.NewWithT(t), alone.accounts, burst.accounts)
		})
	}
}

// Guards against a burst of one account whose end the worst served of the others don't notice.
func TestWorstTenthOfTheAccountsBeforeAndAfterABurst(t *testing.T) {
	g := gomega.NewWithT(t)
	var text strings.Builder
	for _, phase := range []struct {
		name     string
		from, to time.Duration
	}{{"before", 4 * time.Second, 8 * time.Second}, {"during", 8 * time.Second, 14 * time.Second}, {"after", 14 * time.Second, 19 * time.Second}} {
		r := newFairRun(append(smallAccounts(20, 1, 20), &fairAccount{name: "burst", rank: 1, perSecond: 1500, class: quickClass, begin: 8 * time.Second, end: 14 * time.Second})...)
		r.countFrom, r.countTo = phase.from, phase.to
		r.run()
		others := r.accounts[:20]
		fmt.Fprintf(&text, "%-6s in time: %s\n", phase.name, spreadOf(others))
		for _, a := range others {
			g.Expect(a.inTimeShare()).To(gomega.BeNumerically(">=", 1-shareTolerance), "%s, %s", phase.name, a.name)
		}
	}
	golden.Compare(t, t.Name(), text.String())
}

// Guards against callers that get more because they come back at once and often.
func TestRepeatsAtOnceGainNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := runFairly(t, func() []*fairAccount {
		return append(smallAccounts(8, 1, 60),
			&fairAccount{name: "repeats", rank: 1, perSecond: 300, class: quickClass, repeats: 50, repeatAfter: 10 * time.Millisecond},
			&fairAccount{name: "comes1", rank: 1, perSecond: 300, class: quickClass, repeats: 1})
	})
	expectMaxMinShares(g, accounts)
	expectServedShares(g, accounts)
}

// Guards against callers that get more, at the cost of others, because they repeat calls at
// once with unchanged timeouts, so that repeats look like new calls.
func TestRepeatsWithUnchangedTimeoutsTakeNothingFromOthers(t *testing.T) {
	for name, accounts := range map[string]func() []*fairAccount{
		"one of ten": func() []*fairAccount {
			return append(smallAccounts(9, 1, 60),
				&fairAccount{name: "repeats", rank: 1, perSecond: 300, class: quickClass, repeats: 50, repeatAfter: 10 * time.Millisecond, unchanged: true})
		},
		"a third": func() []*fairAccount {
			accounts := smallAccounts(12, 1, 1.4*fairCapacity/12)
			for _, a := range accounts[:4] {
				a.repeats, a.repeatAfter, a.unchanged = 20, 20*time.Millisecond, true
			}
			return accounts
		},
	} {
		for seed := uint64(4); seed < 8; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				r := newFairRun(accounts()...)
				r.rng = rand.New(rand.NewPCG(seed, seed))
				r.run()
				t.Log("\n" + r.String())
				for i, share := range maxMinShares(r.accounts) {
					if a := r.accounts[i]; !a.unchanged {
						g.Expect(a.work.Seconds()).To(gomega.BeNumerically(">=", (1-shareTolerance)*share), a.name)
					}
				}
			})
		}
	}
}

// Guards against an account so large that its max-min share is less than what is guaranteed,
// and against a guarantee that gives it much more.
func TestLargestAccountIsServedAQuarterAsOften(t *testing.T) {
	g := gomega.NewWithT(t)
	accounts := runFairly(t, func() []*fairAccount {
		return append(smallAccounts(30, 1, 60), &fairAccount{name: "largest", rank: 1, perSecond: 1800, class: quickClass})
	})
	expectServedShares(g, accounts)
	all := sumOf(accounts)
	g.Expect(accounts[30].servedShare()).To(gomega.BeNumerically("<=", 0.4*all.servedShare()))
}

// Guards against a guarantee for accounts that call rarely which, taken together, has a less
// urgent rank served as often as others.
func TestManySmallAccountsOfALowRankAreServedAQuarterAsOften(t *testing.T) {
	g := gomega.NewWithT(t)
	list := append(smallAccounts(400, 2, 0.5), &fairAccount{name: "hot", rank: 0, perSecond: 1800, class: quickClass})
	r := newFairRun(list...)
	r.run()
	small, all := sumOf(list[:400]), sumOf(list)
	g.Expect(small.servedShare()).To(gomega.And(
		gomega.BeNumerically(">=", all.servedShare()/4), gomega.BeNumerically("<=", all.servedShare()/2)))
}

// Guards against classes whose calls are all refused because other calls of the same
// accounts may wait longer, by their aim or by their deadline.
func TestNoClassOfAnAccountStarves(t *testing.T) {
	brief := fairClass{work: quickClass.work, aim: quickClass.aim, deadline: 220 * time.Millisecond}
	t.Run("aim", func(t *testing.T) { expectNoClassStarves(t, slowClass, quickClass) })
	t.Run("deadline", func(t *testing.T) { expectNoClassStarves(t, quickClass, brief) })
}

// expectNoClassStarves checks that the calls of two classes of the same accounts are served
// at least a quarter as often as all.
func expectNoClassStarves(t *testing.T, classes ...fairClass) {
	g := gomega.NewWithT(t)
	var list []*fairAccount
	for i, class := range classes {
		for _, a := range smallAccounts(4, 1, 300/float64(1+2*i)) {
			a.class = class
			list = append(list, a)
		}
	}
	r := newFairRun(list...)
	r.run()
	all := sumOf(list)
	for i := range classes {
		class := sumOf(list[4*i : 4*i+4])
		t.Logf("class %d: %.3f served, %.3f in time, of all calls %.3f", i, class.servedShare(), class.inTimeShare(), all.servedShare())
		g.Expect(class.servedShare()).To(gomega.BeNumerically(">=", all.servedShare()/4), "class %d", i)
	}
}

// Goodput under overload. With fair shares, calls answered within the aim must not fall as
// demand rises, also when some callers come back at once and often. The figures without
// fair shares are in the golden file only: docs/design/fairness.md has the cause.
func TestGoodputHoldsAsDemandRises(t *testing.T) {
	g := gomega.NewWithT(t)
	var text strings.Builder
	for _, blind := range []bool{true, false} {
		for _, repeat := range []bool{false, true} {
			first := 0
			for _, times := range []float64{1.4, 2.8, 4} {
				sum := runOverload(times, repeat, blind)
				fmt.Fprintf(&text, "fair shares %-5t repeats %-5t %.1f times the capacity: asked %5d served %5d in time %5d waited in vain %3d\n",
					!blind, repeat, times, sum.asked, sum.served, sum.inTime, sum.waitedInVain)
				if first == 0 {
					first = sum.inTime
				}
				if !blind {
					g.Expect(float64(sum.inTime)).To(gomega.BeNumerically(">=", 0.95*float64(first)), "%.1f times", times)
					g.Expect(sum.inTime).To(gomega.BeNumerically(">=", fairCapacity*int((fairLength-fairWarmUp).Seconds())*9/10))
				}
			}
		}
	}
	golden.Compare(t, t.Name(), text.String())
}

// runOverload offers the given multiple of the capacity. With repeat, a third of the accounts
// come back at once and often, and a third once, when told to.
func runOverload(times float64, repeat, blind bool) fairCounts {
	accounts := smallAccounts(12, 1, times*fairCapacity/12)
	for i, a := range accounts {
		switch {
		case repeat && i < 4:
			a.repeats, a.repeatAfter = 20, 20*time.Millisecond
		case repeat && i < 8:
			a.repeats = 1
		}
	}
	r := newFairRun(accounts...)
	r.blind = blind
	r.run()
	return sumOf(accounts)
}

// Guards against a service that stays busy refusing after a burst: the estimates must follow
// when there is room again.
func TestAccountsRecoverAfterAnOverload(t *testing.T) {
	g := gomega.NewWithT(t)
	const overload = 10 * time.Second
	accounts := append(smallAccounts(5, 1, 30), smallAccounts(5, 2, 30)...)
	accounts = append(accounts, &fairAccount{name: "hot", rank: 0, perSecond: 2000, class: quickClass, end: overload})
	r := newFairRun(accounts...)
	r.countFrom = overload + 500*time.Millisecond
	r.run()
	for _, a := range accounts[:10] {
		g.Expect(a.refused).To(gomega.BeZero(), a.name)
		g.Expect(a.inTimeShare()).To(gomega.BeNumerically(">=", 0.95), a.name)
	}
}

// newFairPair returns a scheduler for n targets of one slot each, and a function that passes
// events to it, at a time that the caller may advance. Calls have taken 100 ms so far.
func newFairPair(n int) (now *time.Time, handle func(engine.Event) []engine.Action) {
	now, handle = newRestScheduler(n)
	for id := uint64(1000); id < 1020; id++ {
		handle(arriveOf(id, "other", 1))
		*now = now.Add(100 * time.Millisecond)
		handle(answered(id))
	}
	return now, handle
}

// arriveOf returns a call of an account with an aim of 1 s.
func arriveOf(id uint64, account string, rank int) engine.Arrive {
	e := arriveFrom(id, 0)
	e.Class.Account, e.Class.Rank, e.Class.Aim = account, rank, time.Second
	return e
}

// sentCalls returns the calls that are sent.
func sentCalls(actions []engine.Action) []uint64 {
	var list []uint64
	for _, a := range actions {
		if a, ok := a.(engine.Send); ok {
			list = append(list, a.Call)
		}
	}
	return list
}

// refusals returns the refusals among actions.
func refusals(actions []engine.Action) []engine.Refuse {
	var list []engine.Refuse
	for _, a := range actions {
		if a, ok := a.(engine.Refuse); ok {
			list = append(list, a)
		}
	}
	return list
}

// Guards against tags that only waiting calls get: the calls of one account were all sent at
// once, so that the other one goes first when both wait.
func TestAccountThatHasJustUsedMuchWaitsBehindOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	now, handle := newFairPair(3)
	for id := uint64(1); id <= 3; id++ {
		g.Expect(sentCalls(handle(arriveOf(id, "used", 1)))).To(gomega.Equal([]uint64{id}))
	}
	handle(arriveOf(4, "used", 1))
	handle(arriveOf(5, "quiet", 1))
	*now = now.Add(50 * time.Millisecond)
	g.Expect(sentCalls(handle(answered(1)))).To(gomega.Equal([]uint64{5}))
	g.Expect(sentCalls(handle(answered(2)))).To(gomega.Equal([]uint64{4}))
}

// Guards against calls that wait in vain: calls of a more urgent rank take all slots for
// longer than the first ones may wait.
func TestDisplacedCallIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now, handle := newFairPair(1)
	g.Expect(sentCalls(handle(arriveOf(1, "urgent", 0)))).To(gomega.HaveLen(1))
	for id := uint64(2); id < 6; id++ {
		g.Expect(refusals(handle(arriveOf(id, "patient", 1)))).To(gomega.BeEmpty())
	}
	for id := uint64(10); id < 13; id++ {
		g.Expect(refusals(handle(arriveOf(id, "urgent", 0)))).To(gomega.BeEmpty())
	}
	*now = now.Add(5 * time.Millisecond)
	refused := refusals(handle(engine.Tick{}))
	var calls []uint64
	for _, r := range refused {
		g.Expect(r).To(gomega.And(gomega.HaveField("Reason", engine.NoProspect), gomega.HaveField("NotRun", true)))
		g.Expect(r.RetryAfter).To(gomega.BeNumerically(">", 500*time.Millisecond))
		calls = append(calls, r.Call)
	}
	g.Expect(calls).To(gomega.Equal([]uint64{4, 5}), "four calls of 100 ms go before the first, and each may wait 0.5 s")
}

// Guards against refused callers that come back all at the same moment.
func TestRetryAfterOfAccountsIsSpread(t *testing.T) {
	g := gomega.NewWithT(t)
	_, handle := newFairPair(1)
	var times []time.Duration
	for id := uint64(1); id < 60; id++ {
		for _, r := range refusals(handle(arriveOf(id, "hot", 1))) {
			times = append(times, r.RetryAfter)
		}
	}
	g.Expect(len(times)).To(gomega.BeNumerically(">", 40))
	slices.Sort(times)
	g.Expect(times[0]).To(gomega.BeNumerically(">=", 900*time.Millisecond), "until the account's queue has been served")
	g.Expect(float64(times[len(times)-1])).To(gomega.BeNumerically(">", 1.5*float64(times[0])))
	g.Expect(slices.Compact(times)).To(gomega.HaveLen(len(times)))
}

// Guards against calls of one account that keep another's out of a full queue.
func TestFullQueueMakesRoomForAnotherAccount(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := fairDocument()
	doc.Hold.Length = 4
	r := newFairRunOf(doc)
	for range fairTargets*fairSlots + 4 {
		r.submitOne("hot", slowClass)
	}
	g.Expect(r.scheduler.QueuedCalls()).To(gomega.Equal(4))
	actions := r.submitOne("quiet", slowClass)
	g.Expect(refusals(actions)).To(gomega.ConsistOf(gomega.HaveField("Reason", engine.QueueFull)))
	g.Expect(refusals(actions)[0].Call).To(gomega.BeNumerically("<", r.lastCall), "a call of the hot account")
	g.Expect(refusals(r.submitOne("hot", slowClass))).To(gomega.ConsistOf(gomega.HaveField("Call", r.lastCall)))
}

// Guards against attempts after failures that cost an account nothing.
func TestRepeatedAttemptsCountAsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	now, handle := newFairPair(2)
	failing := arriveOf(1, "fails", 1)
	failing.Class.Idempotent = true
	g.Expect(sentCalls(handle(failing))).To(gomega.HaveLen(1))
	g.Expect(sentCalls(handle(engine.Finish{Call: 1, Result: engine.Unknown, Replayable: true}))).To(gomega.Equal([]uint64{1}))
	g.Expect(sentCalls(handle(arriveOf(2, "works", 1)))).To(gomega.HaveLen(1))
	// Both have one call at a target. The two attempts of the first count for it, so that
	// two calls of the other go before its next one.
	handle(arriveOf(3, "fails", 1))
	handle(arriveOf(4, "works", 1))
	handle(arriveOf(5, "works", 1))
	*now = now.Add(100 * time.Millisecond)
	g.Expect(sentCalls(handle(answered(1)))).To(gomega.Equal([]uint64{4}))
	g.Expect(sentCalls(handle(answered(2)))).To(gomega.Equal([]uint64{3}), "tags are equal, so the order of arrival counts")
}

// answered returns the end of a call that its target has served.
func answered(id uint64) engine.Finish {
	return engine.Finish{Call: id, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}}
}

// Guards against calls of accounts that are refused while targets start: calls without
// accounts wait then.
func TestCallsOfAccountsWaitForTargetsThatStart(t *testing.T) {
	g := gomega.NewWithT(t)
	s := engine.NewScheduler(fairDocument(), rand.New(rand.NewPCG(1, 1)))
	starting := targets(2)
	for i := range starting.Records {
		starting.Records[i].State = member.Cold
	}
	s.Handle(nil, starting, start)
	for id := uint64(1); id <= 4; id++ {
		g.Expect(s.Handle(nil, arriveOf(id, "a", 1), start)).To(gomega.BeEmpty())
	}
	g.Expect(s.Handle(nil, engine.Tick{}, start.Add(20*time.Millisecond))).To(gomega.BeEmpty())
	g.Expect(sentCalls(s.Handle(nil, targets(2), start.Add(40*time.Millisecond)))).To(gomega.HaveLen(4))
}

// Guards against a queue that is refused because few calls are at targets for a moment, as
// when all targets shed.
func TestShedsDoNotHaveTheQueueRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	const slots = 8
	now, handle := newFairPair(slots)
	var refused []engine.Refuse
	for id := uint64(1); id <= 3*slots; id++ {
		refused = append(refused, refusals(handle(arriveOf(id, "a", 1)))...)
	}
	g.Expect(refused).To(gomega.BeEmpty())
	*now = now.Add(10 * time.Millisecond)
	for id := uint64(1); id <= slots; id++ {
		refused = append(refused, refusals(handle(turnedAway(id, 0)))...)
		refused = append(refused, refusals(handle(engine.Tick{}))...)
	}
	g.Expect(refused).To(gomega.BeEmpty())
}

func TestStatsDescribeTheAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	s := engine.NewScheduler(fairDocument(), rand.New(rand.NewPCG(1, 1)))
	one := targets(1)
	one.Records[0].Slots = 2
	s.Handle(nil, one, start)
	g.Expect(s.Stats(start).LargestShare).To(gomega.BeZero())
	for id, account := range []string{"a", "a", "a", "b", "c"} {
		s.Handle(nil, arriveOf(uint64(id), account, 1), start)
	}
	stats := s.Stats(start)
	g.Expect(stats.AccountsWaiting).To(gomega.Equal(3))
	g.Expect(stats.LargestShare).To(gomega.Equal(0.6))
}

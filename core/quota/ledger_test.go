package quota_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
	"cardamomspool/core/quota"
)

const (
	ownStart = 1000
	// testHeadroom is what the slack of simConfig adds to a burst.
	testHeadroom = 5
)

// newLedger returns a ledger that is the only voter, with the account "a" of the given
// quota.
func newLedger(rate, burst float64) *quota.Ledger {
	l := quota.NewLedger(simConfig, "self", ownStart)
	l.SetVoters([]string{"self"})
	l.SetAccounts(accounts(rate, burst), simStart)
	return l
}

func accounts(rate, burst float64) []plan.Account {
	return []plan.Account{{Name: "a", Rate: rate, Burst: burst}}
}

// admitAll returns how many calls of "a" are admitted at now.
func admitAll(q interface {
	Admit(string, time.Time) (time.Duration, bool)
}, now time.Time,
) int {
	for n := 0; ; n++ {
		if _, ok := q.Admit("a", now); !ok {
			return n
		}
	}
}

func usage(calls int64) []quota.Usage {
	return []quota.Usage{{Account: "a", Calls: calls}}
}

func TestBurstThenRate(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(20 + testHeadroom))
	g.Expect(admitAll(l, simStart.Add(time.Second))).To(gomega.Equal(10))
	g.Expect(admitAll(l, simStart.Add(time.Minute))).To(gomega.Equal(20 + testHeadroom))
}

// Guards against refusals of accounts without a quota, and of an account that the plan
// does not name yet.
func TestAccountsWithoutAQuotaHaveNoLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(0, 0)
	for range 1000 {
		for _, name := range []string{"a", "unknown"} {
			_, ok := l.Admit(name, simStart)
			g.Expect(ok).To(gomega.BeTrue())
		}
	}
	list, _ := l.Unreported(nil, new(quota.Progress))
	g.Expect(list).To(gomega.BeEmpty(), "nothing is published")
	g.Expect(l.Status(simStart)[0].Used).To(gomega.Equal(1000))
}

func TestReturnedCallIsAdmittedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	n := admitAll(l, simStart)
	l.Return("a", simStart)
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(1))
	list, _ := l.Unreported(nil, new(quota.Progress))
	g.Expect(list).To(gomega.Equal(usage(int64(n))))
	l.Return("a", simStart.Add(time.Hour))
	g.Expect(admitAll(l, simStart.Add(time.Hour))).To(gomega.Equal(20+testHeadroom), "a bucket holds no more than its capacity")
}

// Guards against callers that all come back at the moment at which there is room for one.
func TestCallersAreToldToComeBackOneAfterTheOther(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	admitAll(l, simStart) // Ends with a refusal, that is told 100 ms.
	for i := 2; i <= 20; i++ {
		wait, ok := l.Admit("a", simStart)
		g.Expect(ok).To(gomega.BeFalse())
		g.Expect(wait).To(gomega.BeNumerically("~", time.Duration(i)*100*time.Millisecond, time.Millisecond))
	}
	for range 20 {
		wait, _ := l.Admit("a", simStart)
		g.Expect(wait).To(gomega.And(gomega.BeNumerically(">=", simConfig.Window), gomega.BeNumerically("<=", 2*simConfig.Window)),
			"there is no room for more callers than can wait")
	}
	g.Expect(admitAll(l, simStart.Add(100*time.Millisecond))).To(gomega.Equal(1), "the first one finds room")
}

// Guards against hosts that each tell callers to come back at the whole rate.
func TestHostsShareTheRateAtWhichCallersComeBack(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	l.Observe("other", 1, nil, simStart)
	admitAll(l, simStart)
	l.Observe("other", 1, usage(1), simStart)
	first, _ := l.Admit("a", simStart)
	second, _ := l.Admit("a", simStart)
	g.Expect(second - first).To(gomega.BeNumerically("~", 200*time.Millisecond, time.Millisecond))
}

func TestUseOfOtherHostsIsTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	l.Observe("other", ownStart+1, usage(15), simStart)
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(10))
	l.Observe("other", ownStart+1, usage(25), simStart)
	g.Expect(admitAll(l, simStart.Add(900*time.Millisecond))).To(gomega.BeZero(), "ten calls more than there was room")
	g.Expect(admitAll(l, simStart.Add(1100*time.Millisecond))).To(gomega.Equal(1))
}

// Guards against numbers that arrive out of order, or come from an earlier run, and give
// tokens back.
func TestOldNumbersAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	l.Observe("other", ownStart+5, usage(20), simStart)
	l.Observe("other", ownStart+5, usage(3), simStart)
	l.Observe("other", ownStart+4, usage(3), simStart)
	l.Observe("other", ownStart+5, usage(20), simStart)
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(5))
	l.Observe("other", ownStart+6, usage(2), simStart.Add(time.Second))
	g.Expect(admitAll(l, simStart.Add(time.Second))).To(gomega.Equal(8), "a new run counts from 0")
}

// Guards against a ledger that starts with full buckets although others have just admitted
// a burst, and against one that takes the use of days from a bucket.
func TestLedgerAfterAStart(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	l.Observe("other", 1, usage(1_000_000), simStart)
	l.Adopt("other", 1, usage(22), simStart)
	l.Adopt("other", 1, usage(25), simStart)
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(3))
	l.Observe("other", 1, usage(1_000_010), simStart)
	g.Expect(admitAll(l, simStart.Add(time.Second))).To(gomega.BeZero())
	g.Expect(l.Missing(simStart.Add(time.Second))).To(gomega.Equal(usage(25)))
}

// Guards against a wrong number that blocks an account for ever.
func TestNumberBeyondReasonIsRecoveredFrom(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	l.Observe("other", ownStart+1, usage(1<<40), simStart)
	g.Expect(admitAll(l, simStart)).To(gomega.BeZero())
	g.Expect(admitAll(l, simStart.Add(2*simConfig.Window))).To(gomega.BeNumerically(">", 0))
}

func TestChangeOfQuotas(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	admitAll(l, simStart)
	l.SetAccounts(accounts(10, 40), simStart)
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(20), "what the burst has grown by")
	l.SetAccounts(accounts(100, 40), simStart)
	g.Expect(admitAll(l, simStart.Add(100*time.Millisecond))).To(gomega.Equal(10))
	later := simStart.Add(time.Minute)
	l.SetAccounts(accounts(1, 2), later)
	g.Expect(admitAll(l, later)).To(gomega.Equal(2 + testHeadroom))
	l.SetAccounts(nil, later)
	_, ok := l.Admit("a", later)
	g.Expect(ok).To(gomega.BeTrue(), "an account that has left the plan")
	l.SetAccounts(accounts(1, 2), later)
	g.Expect(admitAll(l, later)).To(gomega.BeZero(), "one that has come back")
}

// Guards against a host that goes on to admit the whole quota while it does not hear the
// others, and against one that counts itself twice.
func TestLedgerThatHearsNoMajorityIsRestricted(t *testing.T) {
	g := gomega.NewWithT(t)
	clock := time.Hour
	l := quota.NewLedger(simConfig, "self", ownStart, quota.WithClock(func() time.Duration { return clock }))
	l.SetAccounts(accounts(100, 100), simStart)
	l.SetEntries(50, 0, simStart)
	l.SetVoters([]string{"self", "b", "c", "d", "e"})
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(2), "the part of one of 50 entry hosts")
	g.Expect(l.Limited(simStart)).To(gomega.BeEmpty(), "the account has room at other hosts")
	wait, _ := l.Admit("a", simStart)
	g.Expect(wait).To(gomega.And(gomega.BeNumerically(">=", 150*time.Millisecond), gomega.BeNumerically("<=", 300*time.Millisecond)))
	l.Heard("b", clock)
	l.Heard("not a voter", clock)
	g.Expect(l.Restricted()).To(gomega.BeTrue())
	l.Heard("c", clock)
	g.Expect(l.Restricted()).To(gomega.BeFalse())
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(100 + testHeadroom - 2))
	clock += 490 * time.Millisecond
	g.Expect(l.Restricted()).To(gomega.BeFalse())
	clock += 20 * time.Millisecond
	g.Expect(l.Restricted()).To(gomega.BeTrue())
	l.Heard("b", clock-time.Second)
	l.Heard("c", clock)
	g.Expect(l.Restricted()).To(gomega.BeTrue(), "an answer to an old question")
	l.Heard("b", clock)
	g.Expect(l.Restricted()).To(gomega.BeFalse())
}

// Guards against entry hosts whose parts are used in addition to the whole quota.
func TestLedgerLeavesLostEntryHostsTheirPart(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(100, 100)
	l.SetEntries(50, 50, simStart)
	g.Expect(admitAll(l, simStart)).To(gomega.Equal((100 + testHeadroom) / 2))
	g.Expect(admitAll(l, simStart.Add(time.Second))).To(gomega.Equal(50))
	l.SetEntries(100, 0, simStart.Add(time.Second))
	g.Expect(admitAll(l, simStart.Add(2*time.Second))).To(gomega.Equal(100))
}

func TestProgressReportsEachChangeUntilItIsConfirmed(t *testing.T) {
	g := gomega.NewWithT(t)
	l, p := newLedger(10, 20), new(quota.Progress)
	l.Admit("a", simStart)
	list, version := l.Unreported(nil, p)
	g.Expect(list).To(gomega.Equal(usage(1)))
	l.Admit("a", simStart)
	p.Confirm(list, version)
	list, version = l.Unreported(nil, p)
	g.Expect(list).To(gomega.Equal(usage(2)))
	p.Confirm(list, version)
	list, _ = l.Unreported(nil, p)
	g.Expect(list).To(gomega.BeEmpty())
	p.Reset()
	list, _ = l.Unreported(nil, p)
	g.Expect(list).To(gomega.Equal(usage(2)), "after a connection is lost, all numbers")
}

func TestStatusAndLimitedAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	g.Expect(l.Limited(simStart)).To(gomega.BeEmpty())
	l.Observe("other", ownStart+1, usage(5), simStart)
	admitAll(l, simStart)
	g.Expect(l.Limited(simStart)).To(gomega.Equal([]string{"a"}))
	s := l.Status(simStart)[0]
	g.Expect(s).To(gomega.Equal(quota.Status{Account: "a", Rate: 10, Burst: 20, Used: 25, Refused: 1}))
	list, omitted := l.Refused(nil, 0, simStart)
	g.Expect(list).To(gomega.BeEmpty())
	g.Expect(omitted).To(gomega.Equal(1))
	list, _ = l.Refused(nil, 10, simStart)
	g.Expect(list).To(gomega.BeEmpty(), "nothing new")
	later := simStart.Add(2 * simConfig.Window)
	g.Expect(l.Limited(later)).To(gomega.BeEmpty())
	g.Expect(l.Status(later)[0].Used).To(gomega.BeZero())
}

func TestLocalAdmitsItsPart(t *testing.T) {
	g := gomega.NewWithT(t)
	l := quota.NewLocal(simConfig.Window)
	l.SetAccounts(accounts(100, 100))
	g.Expect(admitAll(l, simStart)).To(gomega.Equal(1), "the number of entry hosts is unknown")
	l.SetEntries(20)
	g.Expect(admitAll(l, simStart.Add(time.Minute))).To(gomega.Equal(5))
	g.Expect(admitAll(l, simStart.Add(time.Minute+time.Second))).To(gomega.Equal(5))
	l.Return("a", simStart.Add(time.Minute+time.Second))
	g.Expect(admitAll(l, simStart.Add(time.Minute+time.Second))).To(gomega.Equal(1))
	l.SetLimited([]string{"a"})
	g.Expect(admitAll(l, simStart.Add(time.Hour))).To(gomega.BeZero(), "the account is over its quota")
	wait, _ := l.Admit("a", simStart.Add(time.Hour))
	g.Expect(wait).To(gomega.BeNumerically(">=", simConfig.Window))
	l.SetLimited(nil)
	l.SetAccounts(accounts(0, 0))
	_, ok := l.Admit("a", simStart)
	g.Expect(ok).To(gomega.BeTrue(), "the account has no quota")
}

// Guards against data races between services, reports and operators; run it with -race.
func TestLedgerIsSafeForConcurrentUse(*testing.T) {
	l := newLedger(1000, 1000)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			p := new(quota.Progress)
			for n := range 500 {
				now := simStart.Add(time.Duration(n) * time.Millisecond)
				l.Admit("a", now)
				l.Return("a", now)
				l.Observe(fmt.Sprint(i), ownStart, usage(int64(n)), now)
				l.Heard(fmt.Sprint(i), time.Duration(n))
				l.Unreported(nil, p)
				l.Status(now)
				l.Limited(now)
				l.SetAccounts(accounts(1000, 1000), now)
			}
		})
	}
	group.Wait()
}

// benchmarkAdmit admits calls of n accounts while six other hosts have reported theirs.
func benchmarkAdmit(b *testing.B, n int, rate float64) {
	l := quota.NewLedger(simConfig, "self", ownStart)
	l.SetVoters([]string{"self"})
	var (
		list  []plan.Account
		names []string
		used  []quota.Usage
	)
	for i := range n {
		names = append(names, fmt.Sprintf("account-%d", i))
		list = append(list, plan.Account{Name: names[i], Rate: rate, Burst: rate})
		used = append(used, quota.Usage{Account: names[i], Calls: 1})
	}
	l.SetAccounts(list, simStart)
	for i := range 6 {
		l.Observe(fmt.Sprint(i), 1, used, simStart)
	}
	now := simStart
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		l.Admit(names[i%n], now)
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{82, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkAdmit(b, n, 1e9) })
	}
}

func BenchmarkRefuse(b *testing.B) {
	for _, n := range []int{82, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkAdmit(b, n, 1e-6) })
	}
}

// Guards against allocations for each call, which a control host with a quarter of a core
// would pay for with collections.
func TestAdmitAllocatesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	l.Observe("other", 1, usage(1), simStart)
	g.Expect(testing.AllocsPerRun(1000, func() { l.Admit("a", simStart) })).To(gomega.BeZero())
	local := quota.NewLocal(simConfig.Window)
	local.SetAccounts(accounts(10, 20))
	g.Expect(testing.AllocsPerRun(1000, func() { local.Admit("a", simStart) })).To(gomega.BeZero())
}

// Guards against a late report that is taken from a bucket which was full meanwhile, so
// that calls within the quota are refused, and against reports that all use the same
// tokens.
func TestLateReportsUseTheTokensOfTheirTime(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	for _, name := range []string{"b", "c"} {
		l.Observe(name, ownStart+1, nil, simStart)
	}
	l.Admit("a", simStart)
	now := simStart.Add(2 * time.Second) // 19 tokens are spilled.
	l.Observe("b", ownStart+1, usage(15), now)
	l.Observe("c", ownStart+1, usage(15), now)
	g.Expect(admitAll(l, now)).To(gomega.BeNumerically("~", 20+testHeadroom+19-30, 1))
	later := now.Add(time.Second)
	l.Observe("b", ownStart+1, usage(30), later)
	g.Expect(admitAll(l, later)).To(gomega.BeZero(), "nothing was spilled since")
}

// Guards against an account at its quota whose tokens go to late or less urgent calls, while
// as many others are refused.
func TestYieldingCallsGetNoTokensOfAnAccountAtItsQuota(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(10, 20)
	_, ok := l.AdmitYielding("a", simStart)
	g.Expect(ok).To(gomega.BeTrue(), "an account with room")
	admitAll(l, simStart)
	inTime, yielding := 0, 0
	for ms := range 5000 {
		now := simStart.Add(time.Duration(ms) * time.Millisecond)
		if _, ok = l.AdmitYielding("a", now); ok {
			yielding++
		}
		if ms%20 != 0 {
			continue
		}
		if _, ok = l.Admit("a", now); ok {
			inTime++
		}
	}
	g.Expect(yielding).To(gomega.BeZero())
	g.Expect(inTime).To(gomega.BeNumerically(">=", 49), "all of the rate")
}

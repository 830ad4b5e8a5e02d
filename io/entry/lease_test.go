package entry

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/io/telem"
)

// newTestLease returns a lease with a clock that the test sets, a control host that
// answers each question at once while answers is true, and a count of the questions.
func newTestLease(t *testing.T, length time.Duration) (l *keyLease, now *atomic.Int64, answers *atomic.Bool, questions *atomic.Int64) {
	now, answers, questions = new(atomic.Int64), new(atomic.Bool), new(atomic.Int64)
	now.Store(int64(time.Hour))
	answers.Store(true)
	l = newKeyLease(length, slog.New(slog.DiscardHandler), telem.NewRegistry())
	l.clock = func() time.Duration { return time.Duration(now.Load()) }
	host := netip.MustParseAddr("10.0.0.1")
	l.lease.SetView(1, []netip.Addr{host})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.run(ctx, func(asked time.Duration) {
		if !l.claim(host) {
			return
		}
		questions.Add(1)
		if answers.Load() {
			l.answered(host, asked, keys.Answer{Epoch: 1, Version: 1})
		}
	})
	return l, now, answers, questions
}

// Guards against a host that was frozen or suspended and still accepts keys when it
// resumes, before it has asked again.
func TestResumedHostFindsItsLeaseEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now, answers, _ := newTestLease(t, time.Hour)
	l.setPlan(accountPlan(1))
	g.Eventually(l.holds, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	answers.Store(false)
	now.Add(int64(time.Hour - keys.Margin))
	g.Expect(l.holds()).To(gomega.BeFalse())
	g.Expect(l.metrics.Counter("key_leases_ended").Value()).To(gomega.BeEquivalentTo(1))
	answers.Store(true)
	g.Eventually(l.holds, testTimeout, time.Millisecond).Should(gomega.BeTrue(), "a call has a question sent at once")
}

// Guards against load on control hosts of fleets that need no leases.
func TestNoQuestionsWithoutAccountsOrLease(t *testing.T) {
	g := gomega.NewWithT(t)
	without, _, _, questions := newTestLease(t, time.Second)
	without.setPlan(&plan.Plan{Version: 1})
	unlimited, _, _, others := newTestLease(t, 0)
	unlimited.setPlan(accountPlan(1))
	g.Expect(unlimited.holds()).To(gomega.BeTrue())
	g.Consistently(func() int64 { return questions.Load() + others.Load() }, 2*minQuestionInterval).Should(gomega.BeZero())
	without.setPlan(accountPlan(2))
	g.Eventually(questions.Load, testTimeout, time.Millisecond).ShouldNot(gomega.BeZero())
}

// Guards against a lease that ends soon after the control hosts are lost, and against hosts
// without a lease that flood the control hosts as their calls ask for one.
func TestQuestionsHaveTheirInterval(t *testing.T) {
	g := gomega.NewWithT(t)
	l, now, answers, questions := newTestLease(t, time.Second)
	l.setPlan(accountPlan(1))
	g.Eventually(l.holds, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	interval, left := l.next()
	g.Expect(interval).To(gomega.Equal(time.Second / 4))
	g.Expect(left).To(gomega.Equal(time.Second - keys.Margin))
	answers.Store(false)
	now.Add(int64(time.Second))
	before, begin := questions.Load(), time.Now()
	for time.Since(begin) < 4*minQuestionInterval {
		l.holds()
		time.Sleep(time.Millisecond)
	}
	g.Expect(questions.Load() - before).To(gomega.BeNumerically("<=", 6))
}

// After a loss of power, hosts hear the voting hosts one after the other. Guards against a
// host that waits for its next question although it could ask the last host of a majority.
func TestVotersThatAreHeardLateAreAskedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var hosts []netip.Addr
	for i := range 3 {
		hosts = append(hosts, netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}))
	}
	l := newKeyLease(time.Hour, slog.New(slog.DiscardHandler), telem.NewRegistry())
	l.retry = time.Hour
	l.lease.SetView(1, hosts)
	var followed, questions atomic.Int64
	followed.Store(1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.run(ctx, func(asked time.Duration) {
		for _, host := range hosts[:followed.Load()] {
			if l.claim(host) {
				questions.Add(1)
				l.answered(host, asked, keys.Answer{Epoch: 1, Version: 1})
			}
		}
	})
	l.setPlan(accountPlan(1))
	g.Eventually(questions.Load, testTimeout, time.Millisecond).Should(gomega.BeEquivalentTo(1))
	g.Expect(l.holds()).To(gomega.BeFalse())
	followed.Store(2)
	g.Eventually(l.holds, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	g.Expect(questions.Load()).To(gomega.BeEquivalentTo(2), "none was asked again")
}

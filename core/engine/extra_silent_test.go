package engine_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

// askSilent passes an Extra for a call whose connection is silent, and returns the action that
// follows.
func (r *extraRun) askSilent(call uint64) engine.Action {
	r.now = r.now.Add(extraLatency)
	actions := r.handle(engine.Extra{Call: call, Silent: true})
	if len(actions) != 1 {
		return nil
	}
	return actions[0]
}

// Guards against a call on a dead connection that waits for its timeout, since the deployment
// allows no second attempts for slow calls, and against a first attempt that loses its slot.
func TestSilentAttemptGetsASecondOneWithoutALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newExtraRun(0, nil)
	first := r.arrive(true)
	second, ok := r.askSilent(first.Call).(engine.Send)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(second.Extra).To(gomega.BeTrue())
	g.Expect(second.Target).NotTo(gomega.Equal(first.Target))
	g.Expect(r.inFlight()).To(gomega.Equal(2))
	g.Expect(r.askSilent(first.Call)).To(gomega.HaveField("Reason", engine.ExtraNotInProgress))
	g.Expect(r.handle(attemptFailed(second))).To(gomega.BeEmpty())
	g.Expect(r.inFlight()).To(gomega.Equal(1))
	g.Expect(r.handle(attemptAnswered(first))).To(gomega.BeEmpty())
	g.Expect(r.scheduler.OpenCalls()).To(gomega.BeZero())
}

// Guards against second attempts for silent connections beyond what the document allows of
// retries, each named by its reason, and against a first attempt that ends by the refusal.
func TestSecondAttemptForASilentOneIsRefused(t *testing.T) {
	for reason, row := range map[engine.Reason]struct {
		idempotent bool
		configure  func(*spec.Service)
	}{
		engine.ExtraNotIdempotent: {false, func(*spec.Service) {}},
		engine.ExtraAttempts:      {true, func(doc *spec.Service) { doc.Retry.Attempts = 1 }},
		engine.ExtraRetryBudget:   {true, func(doc *spec.Service) { doc.Retry.BudgetPercent, doc.Retry.Slack = 0, 0 }},
	} {
		t.Run(string(reason), func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newExtraRun(0, row.configure)
			first := r.arrive(row.idempotent)
			g.Expect(r.askSilent(first.Call)).To(gomega.HaveField("Reason", reason))
			g.Expect(r.inFlight()).To(gomega.Equal(1))
		})
	}
	t.Run(string(engine.ExtraNoTarget), func(t *testing.T) {
		g := gomega.NewWithT(t)
		r := newExtraRun(0, nil)
		first := r.arrive(true)
		for range extraTargets - 1 {
			r.arrive(true)
		}
		g.Expect(r.inFlight()).To(gomega.Equal(extraTargets))
		g.Expect(r.askSilent(first.Call)).To(gomega.HaveField("Reason", engine.ExtraNoTarget))
		g.Expect(r.inFlight()).To(gomega.Equal(extraTargets))
	})
}

// Guards against a retry budget that second attempts for silent connections exceed in a run
// in which every tenth connection is silent.
func TestSilentConnectionsKeepTheRetryBudget(t *testing.T) {
	const percent = 5
	g := gomega.NewWithT(t)
	r := newExtraRun(0, func(doc *spec.Service) {
		doc.Targets.Slots = 4
		doc.Retry = spec.Retry{Attempts: 2, Window: strict.Duration(10 * time.Second), BudgetPercent: percent}
	})
	calls, granted := 0, 0
	for range 2000 {
		send := r.arrive(true)
		if calls++; calls%10 > 0 {
			r.now = r.now.Add(extraLatency / 10)
			r.handle(attemptAnswered(send))
			continue
		}
		if second, ok := r.askSilent(send.Call).(engine.Send); ok {
			granted++
			r.handle(engine.Finish{Call: send.Call, Attempt: send.Attempt, Result: engine.Withdrawn})
			send = second
		}
		r.handle(attemptAnswered(send))
	}
	g.Expect(granted).To(gomega.BeNumerically("<=", (calls+extraWarmup)*percent/100))
	g.Expect(granted).To(gomega.BeNumerically(">", 0))
}

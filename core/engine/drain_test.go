package engine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/spec"
)

func TestDocumentDrainsTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newScheduler()
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 1, 4
	s.Handle(nil, targets(2), start)
	arrive := func(id uint64) []engine.Action {
		return s.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: start.Add(time.Second)}, start)
	}
	drain := func(names ...string) []engine.Action {
		doc.Targets.Drain = names
		return s.Handle(nil, engine.Configure{Document: doc}, start)
	}
	drain("a")
	g.Expect(arrive(1)[0].(engine.Send).Target).To(gomega.Equal("b"))
	g.Expect(arrive(2)).To(gomega.BeEmpty())
	// An update of the records does not end the drain, and a call in flight at
	// a drained target ends as usual.
	g.Expect(s.Handle(nil, targets(2), start)).To(gomega.BeEmpty())
	actions := drain("b")
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Target).To(gomega.Equal("a"))
	g.Expect(s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, start)).To(gomega.BeEmpty())
	g.Expect(arrive(3)).To(gomega.BeEmpty())
	actions = drain()
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Target).To(gomega.Equal("b"))
}

// Guards against a departed target that a stale table keeps choosing.
func TestCallIsRedirectedFromDepartedTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 1, 4
	doc.Retry.Attempts = 1
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 2)))
	s.Handle(nil, targets(2), start)
	arrive := func(id uint64) engine.Action {
		actions := s.Handle(nil, engine.Arrive{Call: id, Class: class, Deadline: start.Add(time.Second)}, start)
		g.Expect(actions).To(gomega.HaveLen(1))
		return actions[0]
	}
	departed := arrive(1).(engine.Send)
	redirected := s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotSent}, start)
	g.Expect(redirected).To(gomega.HaveLen(1))
	second := redirected[0].(engine.Send)
	g.Expect(second.Target).NotTo(gomega.Equal(departed.Target))
	g.Expect(second.Attempt).To(gomega.Equal(1))
	g.Expect(s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, start)).To(gomega.BeEmpty())
	for id := uint64(2); id < 6; id++ {
		g.Expect(arrive(id).(engine.Send).Target).To(gomega.Equal(second.Target))
		s.Handle(nil, engine.Finish{Call: id, Result: engine.Answered}, start)
	}

	restarted := targets(2)
	for i := range restarted.Records {
		if restarted.Records[i].Target == departed.Target {
			restarted.Records[i].Incarnation++
		}
	}
	s.Handle(nil, restarted, start)
	used := []string{arrive(6).(engine.Send).Target, arrive(7).(engine.Send).Target}
	g.Expect(used).To(gomega.ConsistOf(departed.Target, second.Target), "after the restart")
}

func TestCallIsHeldWhenItsOnlyFreeTargetHasDeparted(t *testing.T) {
	g := gomega.NewWithT(t)
	doc := spec.Default()
	doc.Name, doc.Targets.Slots, doc.Hold.Length = "s", 1, 4
	s := engine.NewScheduler(doc, rand.New(rand.NewPCG(1, 2)), engine.WithHolds())
	s.Handle(nil, targets(2), start)
	aimed := spec.Class{Weight: 1, Deadline: time.Second, Aim: 500 * time.Millisecond}
	for id := uint64(1); id < 3; id++ {
		s.Handle(nil, engine.Arrive{Call: id, Class: aimed, Deadline: start.Add(time.Second)}, start)
	}
	g.Expect(s.Handle(nil, engine.Finish{Call: 2, Result: engine.NotSent}, start)).To(gomega.Equal([]engine.Action{engine.Hold{Call: 2}}))
	actions := s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, start)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Call).To(gomega.BeEquivalentTo(2))
}

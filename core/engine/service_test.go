package engine_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/spec"
)

var (
	start = time.Unix(1000, 0)
	class = spec.Class{Weight: 1, Deadline: time.Second}
)

func newService() *engine.Service {
	doc := spec.Default()
	doc.Name = "s"
	doc.Targets.Slots = 1
	doc.Hold.Length = 1
	return engine.NewService(doc, rand.New(rand.NewPCG(1, 1)))
}

func targets(n int) engine.Retarget {
	list := make([]member.Record, n)
	for i := range list {
		list[i] = member.Record{
			Key:     member.Key{Service: "s", Target: string(rune('a' + i))},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
			State:   member.Ready,
		}
	}
	return engine.Retarget{Records: list}
}

func TestHeldCallIsSentWhenASlotComesFree(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newService()
	s.Handle(nil, targets(1), start)
	g.Expect(s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)).To(gomega.HaveLen(1))
	g.Expect(s.Handle(nil, engine.Arrive{Call: 2, Class: class, Deadline: start.Add(time.Second)}, start)).To(gomega.BeEmpty())
	actions := s.Handle(nil, engine.Arrive{Call: 3, Class: class, Deadline: start.Add(time.Second)}, start)
	g.Expect(actions).To(gomega.ConsistOf(engine.Refuse{Call: 3, Reason: engine.QueueFull, NotRun: true, RetryAfter: time.Second}))
	actions = s.Handle(nil, engine.Finish{Call: 1, Result: engine.Answered}, start.Add(time.Millisecond))
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Held).To(gomega.Equal(time.Millisecond))
}

func TestNonIdempotentCallIsNotSentAgainAfterUnknown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newService()
	s.Handle(nil, targets(2), start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	actions := s.Handle(nil, engine.Finish{Call: 1, Result: engine.NotRun, Replayable: true}, start)
	g.Expect(actions).To(gomega.HaveLen(1))
	g.Expect(actions[0].(engine.Send).Attempt).To(gomega.Equal(2))
	actions = s.Handle(nil, engine.Finish{Call: 1, Result: engine.Unknown, Replayable: true}, start)
	g.Expect(actions).To(gomega.ConsistOf(engine.Refuse{Call: 1, Reason: engine.TargetFailed, RetryAfter: time.Second}))
	g.Expect(s.Open()).To(gomega.BeZero())
}

func TestTickRefusesCallsThatWaitedTooLong(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newService()
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	g.Expect(s.Handle(nil, engine.Tick{}, start.Add(499*time.Millisecond))).To(gomega.BeEmpty())
	actions := s.Handle(nil, engine.Tick{}, start.Add(500*time.Millisecond))
	g.Expect(actions).To(gomega.ConsistOf(engine.Refuse{Call: 1, Reason: engine.WaitedTooLong, NotRun: true, RetryAfter: time.Second}))
}

func TestBrokenAnswerEndsTheCallAndFreesItsSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newService()
	s.Handle(nil, targets(1), start)
	s.Handle(nil, engine.Arrive{Call: 1, Class: class, Deadline: start.Add(time.Second)}, start)
	g.Expect(s.Handle(nil, engine.Finish{Call: 1, Result: engine.Broken, Replayable: true}, start)).To(gomega.BeEmpty())
	g.Expect(s.Open()).To(gomega.BeZero())
	g.Expect(s.Handle(nil, engine.Arrive{Call: 2, Class: class, Deadline: start.Add(time.Second)}, start)).To(gomega.HaveLen(1))
}

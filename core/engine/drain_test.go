package engine_test

import (
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

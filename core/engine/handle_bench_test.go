package engine_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

// BenchmarkHandle measures the events of one call, with as many accounts as given, while all
// slots are in use and some calls wait.
func BenchmarkHandle(b *testing.B) {
	for _, accounts := range []int{0, 82, 5000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			doc := spec.Default()
			doc.Name = "s"
			doc.Route = spec.Route{Policy: spec.PolicyFastest}
			doc.Hold = spec.Hold{Length: 4096, LongestWait: strict.Duration(10 * time.Second)}
			s := engine.NewScheduler(doc, rand.New(rand.NewPCG(3, 3)))
			now := time.Unix(1000, 0)
			var records []member.Record
			for i := range 20 {
				records = append(records, member.Record{
					Key: member.Key{Service: "s", Target: fmt.Sprint("t", i)}, State: member.Ready, Slots: 3,
					Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i)),
				})
			}
			s.Handle(nil, engine.SetTargets{Records: records}, now)
			names := make([]string, max(accounts, 1))
			for i := range accounts {
				names[i] = fmt.Sprintf("account-%04d", i)
			}
			next, atTargets := uint64(0), []uint64(nil)
			var actions []engine.Action
			handle := func(e engine.Event) {
				actions = s.Handle(actions[:0], e, now)
				for _, a := range actions {
					if a, ok := a.(engine.Send); ok {
						atTargets = append(atTargets, a.Call)
					}
				}
			}
			arrive := func() {
				next++
				class := spec.Class{Weight: 1, Aim: 400 * time.Millisecond, Account: names[int(next*7919)%len(names)]}
				handle(engine.Arrive{Call: next, Class: class, Deadline: now.Add(2 * time.Second)})
			}
			step := func() {
				now = now.Add(1700 * time.Microsecond)
				done := atTargets[0]
				atTargets = append(atTargets[:0], atTargets[1:]...)
				handle(engine.Finish{Call: done, Result: engine.Answered, Feedback: route.Feedback{Outcome: route.Served}})
				arrive()
			}
			for range 90 {
				arrive()
			}
			for range 20_000 {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
			if s.QueuedCalls() == 0 {
				b.Fatal("no calls wait")
			}
		})
	}
}

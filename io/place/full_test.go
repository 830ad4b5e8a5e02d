package place

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
	"cardamomspool/core/spec"
)

// Guards against resets that get lost between an entry host and the one that decides, and
// against other bytes between hosts while nothing is learnt.
func TestResetsPassBetweenHosts(t *testing.T) {
	g, start := gomega.NewWithT(t), time.Unix(1000, 0)
	size := make(map[bool]int)
	for _, reset := range []bool{false, true} {
		e := engine.Finish{Call: 7, Result: engine.Unknown, Replayable: true, Feedback: route.Feedback{Outcome: route.Failed, Reset: reset}}
		m := fromFinish(e)
		g.Expect(toFinish(7, m.GetFinish())).To(gomega.Equal(e))
		arrive := engine.Arrive{Call: 7, Deadline: start.Add(time.Second), Class: spec.Class{Deadline: time.Second}}
		if reset {
			arrive.Resets = []string{"t"}
		}
		arrived := fromArrive("s", arrive, start)
		g.Expect(toArrive(7, 0, arrived.GetArrive(), start)).To(gomega.Equal(arrive))
		send := engine.Send{Call: 7, Target: "t", Address: netip.MustParseAddrPort("127.0.0.1:9"), Attempt: 1, HeldFor: time.Second, ResetsWhenFull: reset}
		decision := fromAction(7, send)
		action, err := toAction(decision)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(action).To(gomega.Equal(send))
		for _, action := range []engine.Action{engine.Hold{Call: 7, ResetsWhenFull: reset}, engine.Refuse{Call: 7, Reason: engine.NoProspect, ResetsWhenFull: reset}} {
			decoded, err := toAction(fromAction(7, action))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(decoded).To(gomega.Equal(action))
		}
		size[reset] = proto.Size(m) + proto.Size(decision) + proto.Size(arrived)
	}
	g.Expect(size[true]-size[false]).To(gomega.Equal(7), "two fields of two bytes and one of three")
}

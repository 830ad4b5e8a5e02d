package place

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cardamomspool/core/engine"
	"cardamomspool/core/route"
)

// Guards against resets that get lost between an entry host and the one that decides, and
// against other bytes between hosts while nothing is learnt.
func TestResetsPassBetweenHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	size := make(map[bool]int)
	for _, reset := range []bool{false, true} {
		e := engine.Finish{Call: 7, Result: engine.Unknown, Replayable: true, Feedback: route.Feedback{Outcome: route.Failed, Reset: reset}}
		m := fromFinish(e)
		g.Expect(toFinish(7, m.GetFinish())).To(gomega.Equal(e))
		send := engine.Send{Call: 7, Target: "t", Address: netip.MustParseAddrPort("127.0.0.1:9"), Attempt: 1, HeldFor: time.Second, ResetsWhenFull: reset}
		decision := fromAction(7, send)
		action, err := toAction(decision)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(action).To(gomega.Equal(send))
		size[reset] = proto.Size(m) + proto.Size(decision)
	}
	g.Expect(size[true]-size[false]).To(gomega.Equal(4), "two fields of two bytes")
}

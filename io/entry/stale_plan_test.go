package entry

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/io/feed"
)

// Guards against calls that a host that has just started handles by an old plan, which a
// control host out of touch with the others was the first to send.
func TestStartedHostDoesNotServeByAnUnconfirmedPlan(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newCountingTarget(t)
	report := rosterTarget("t", target.address, member.Ready)
	control := newStaleControl(t, report)
	others := []feed.Member{{Host: netip.MustParseAddr("127.0.3.97")}, {Host: netip.MustParseAddr("127.0.3.98")}}
	control.state.SetView(feed.View{Epoch: 2, Members: append(others, feed.Member{Host: control.address.Addr()})})
	control.state.UpdateTargets(true, report)
	_, url := newFleetHost(t, control.address)
	g.Expect(callRoute(t, http.MethodGet, url, nil)).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(target.requests.Load()).To(gomega.BeZero())
	control.state.SetCurrent(true)
	g.Eventually(func() int { return callRoute(t, http.MethodGet, url, nil) }, testTimeout, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK))
}

package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/signs"
)

// Guards against calls to an evacuated target that a control host decides, which is cut off
// from the order, and against a target that gets no calls after the order is withdrawn,
// because the control host took it for one that has left.
func TestEvacuatedTargetGetsNoCallsFromStaleDecisions(t *testing.T) {
	g := gomega.NewWithT(t)
	evacuated, sound := newCountingTarget(t), newCountingTarget(t)
	reports := []struct{ id, dataCentre string }{{"evacuated", "out"}, {"sound", "near"}}
	out, in := rosterTarget(reports[0].id, evacuated.address, member.Ready), rosterTarget(reports[1].id, sound.address, member.Ready)
	out.DataCentre, in.DataCentre = reports[0].dataCentre, reports[1].dataCentre
	control := newStaleControl(t, out, in)
	control.state.UpdateTargets(true, out, in)
	control.state.SetEvacuation(3, []string{"out"})
	h, url := newFleetHost(t, control.address)
	g.Eventually(h.fleet.state.Targets, testTimeout, time.Millisecond).Should(gomega.HaveLen(2))
	g.Expect(h.fleet.state.IsEvacuated("out")).To(gomega.BeTrue())
	// Until the control host can be asked, this host decides and knows the order.
	g.Eventually(func() bool { return h.fleet.controls.Pick("s", time.Now()) != nil }, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	// The control host may choose the sound target many times in a row.
	const minCalls, maxCalls = 20, 2000
	stale, calls := h.metrics.Counter("decisions_evacuated"), 0
	for ; calls < minCalls || stale.Value() == 0 && calls < maxCalls; calls++ {
		g.Expect(callRoute(t, http.MethodPost, url, http.NoBody)).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(evacuated.requests.Load()).To(gomega.BeZero())
	g.Expect(sound.requests.Load()).To(gomega.BeEquivalentTo(calls))
	g.Expect(stale.Value()).To(gomega.BeNumerically(">", 0))

	control.state.SetEvacuation(4, nil)
	g.Eventually(func() int64 {
		callRoute(t, http.MethodPost, url, http.NoBody)
		return evacuated.requests.Load()
	}, testTimeout, time.Millisecond).Should(gomega.BeNumerically(">", 0))
}

// Guards against calls to an evacuated target that a host makes for another one, which does
// not know the order.
func TestCarrierMakesNoAttemptAtAnEvacuatedTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newCountingTarget(t)
	report := rosterTarget("t", target.address, member.Ready)
	control := newStaleControl(t, report)
	control.state.UpdateTargets(true, report)
	h, _ := newFleetHost(t, control.address)
	g.Eventually(h.fleet.state.Targets, testTimeout, time.Millisecond).Should(gomega.HaveLen(1))
	carry := func() string {
		r, err := http.NewRequest(http.MethodGet, "http://"+h.cfg.PeerAddress.String()+"/a/x", nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(wire.SetCarry(r.Header, wire.Carry{Call: "c", Service: "s", Target: "t", Incarnation: 1, TimeLeft: strict.Duration(time.Second)})).To(gomega.Succeed())
		resp, err := http.DefaultClient.Do(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		resp.Body.Close()
		return resp.Header.Get(wire.HeaderCarryOutcome)
	}
	g.Expect(carry()).To(gomega.BeEmpty())
	g.Expect(target.requests.Load()).To(gomega.BeEquivalentTo(1))
	control.state.SetEvacuation(3, []string{"lab"})
	g.Eventually(func() bool { return h.fleet.state.IsEvacuated("lab") }, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	g.Expect(carry()).To(gomega.Equal(string(wire.CarryRefused)))
	g.Expect(target.requests.Load()).To(gomega.BeEquivalentTo(1))
}

// Guards against hosts that limit their calls to cold targets where the plan names no rate.
func TestColdLimitOfHostsThatDecideAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet()
	f.host.cfg.Fleet.WarmOvershoot, f.host.cfg.Fleet.WarmSlack = 1.5, 8
	p := testPlan()
	g.Expect(f.coldLimit(&p.Services[0]).Alone).To(gomega.BeFalse())
	p.Services[0].WarmRate = 4.2
	g.Expect(f.coldLimit(&p.Services[0]).Share).To(gomega.BeNumerically("~", 0.25/signs.AssumedHosts, 1e-9), "no list of hosts yet")
	f.countEntryHosts(3)
	g.Expect(f.coldLimit(&p.Services[0]).Share).To(gomega.BeEquivalentTo(1))
	f.countEntryHosts(41)
	g.Expect(f.coldLimit(&p.Services[0]).Share).To(gomega.BeNumerically("~", 0.25/41, 1e-9))
	f.tellEntryHosts(82)
	g.Expect(f.coldLimit(&p.Services[0]).Share).To(gomega.BeNumerically("~", 0.25/82, 1e-9), "control hosts know the number")
	f.host.cfg.Fleet.WarmOvershoot, f.host.cfg.Fleet.WarmSlack = 0, 0
	g.Expect(f.coldLimit(&p.Services[0]).Alone).To(gomega.BeFalse(), "no bound in the settings")
}

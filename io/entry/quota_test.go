package entry

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/engine"
	"cardamomspool/core/plan"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/place"
	"cardamomspool/io/setup"
	"cardamomspool/platform"
)

// newQuotaHost returns an entry host that is not run, whose control hosts are not
// reachable. The account "a" has the given quota; 10 entry hosts share it.
func newQuotaHost(rate, burst float64) *Host {
	cfg := setup.DefaultEntry()
	cfg.PeerAddress = netip.MustParseAddrPort("127.0.0.1:1")
	cfg.Fleet = setup.Fleet{
		Adapter: setup.AdapterPlatform, Seeds: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:2")},
		QuotaWindow: strict.Duration(5 * time.Second), QuotaOvershoot: 0.1, QuotaSlack: 20,
	}
	h := New(cfg, WithDialect(platform.Dialect()))
	p := testPlan()
	p.Accounts = []plan.Account{{Name: "a", Rate: rate, Burst: burst}}
	h.fleet.state.SetPlan(p)
	h.fleet.setQuotaState(10, nil)
	return h
}

// newQuotaCall returns a call of the account "a".
func newQuotaCall(h *Host) *call {
	s := h.services.Load().byName["s"]
	return &call{
		host: h, id: h.nextCall.Add(1), service: s, arrived: time.Now(), deadline: time.Now().Add(time.Minute),
		class: spec.Class{Weight: 1, Account: "a"},
	}
}

// decide has h decide about a call alone. It returns the first decision.
func decide(g *gomega.WithT, h *Host, c *call) engine.Action {
	var action engine.Action
	h.decideLocally(c)
	g.Eventually(c.decisions, testTimeout).Should(gomega.Receive(&action))
	return action
}

var overQuota = gomega.HaveField("Reason", engine.OverQuota)

// Guards against entry hosts that admit everything as soon as no control host decides.
func TestHostThatDecidesAloneKeepsToItsPart(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newQuotaHost(20, 20)
	const beyond = 0.1*(20*5+20) + 20 // What the bound allows beyond rate and burst.
	for range int(math.Floor((20 + 0.75*beyond) / 10)) {
		c := newQuotaCall(h)
		g.Expect(decide(g, h, c)).To(gomega.HaveField("Reason", engine.NoTarget), "admitted")
		g.Expect(c.quota).To(gomega.Equal(quotaCountedLocally))
	}
	refusal := decide(g, h, newQuotaCall(h))
	g.Expect(refusal).To(overQuota)
	g.Expect(refusal.(engine.Refuse).RetryAfter).To(gomega.BeNumerically(">", 0))
	free := newQuotaCall(h)
	free.class.Account = ""
	g.Expect(decide(g, h, free)).NotTo(overQuota)
	h.fleet.setQuotaState(10, []string{"a"})
	time.Sleep(600 * time.Millisecond) // Room for one call has come back.
	g.Expect(decide(g, h, newQuotaCall(h))).To(overQuota, "the account is limited")
}

// Guards against an answer by which callers take a refusal for an error, or come back at
// once, and against Retry-After for a call that may have run.
func TestCallOverQuotaIsAnswered429(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newQuotaHost(20, 20)
	for _, row := range []struct {
		mayHaveRun bool
		status     int
		retryAfter string
	}{
		{false, http.StatusTooManyRequests, "0.750"},
		{true, http.StatusBadGateway, ""},
	} {
		recorder := httptest.NewRecorder()
		w := responseWriter{ResponseWriter: recorder, controller: http.NewResponseController(recorder)}
		c := newQuotaCall(h)
		c.mayHaveRun = row.mayHaveRun
		refusal := engine.Refuse{Call: c.id, Reason: engine.OverQuota, NotRun: true, RetryAfter: 750 * time.Millisecond}
		g.Expect(h.executeDecision(context.Background(), w, request("/a/x"), c, refusal)).To(gomega.BeTrue())
		g.Expect(recorder.Code).To(gomega.Equal(row.status))
		g.Expect(recorder.Header().Get("Retry-After")).To(gomega.Equal(row.retryAfter))
	}
	g.Expect(h.metrics.Counter("calls_over_quota").Value()).To(gomega.BeEquivalentTo(2))
}

// Guards against a call that counts twice since the control host that has admitted it was
// lost.
func TestCallAdmittedByALostControlHostIsNotCountedAgain(t *testing.T) {
	for _, admission := range []engine.Action{engine.Hold{}, engine.Send{}} {
		g := gomega.NewWithT(t)
		h := newQuotaHost(1, 1)
		h.fleet.setQuotaState(10, []string{"a"})
		c := newQuotaCall(h)
		c.control = &place.Client{}
		c.recordAdmission(admission)
		g.Expect(withoutCountedAccount(c, h.arriveEvent(c)).Class.Account).To(gomega.BeEmpty(), "for the next control host")
		g.Expect(h.arriveEvent(c).Class.Account).To(gomega.Equal("a"), "for this host's own queue")
		g.Expect(decide(g, h, c)).To(gomega.HaveField("Reason", engine.NoTarget))
		h.returnToLocalQuota(c)
		g.Expect(c.quota).To(gomega.Equal(quotaCountedByControl), "nothing is given back that was not counted here")
	}
}

// Guards against a quota that is used up by calls that this host refuses itself.
func TestCallRefusedAloneIsGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newQuotaHost(0.001, 1)
	for range 3 {
		recorder := httptest.NewRecorder()
		w := responseWriter{ResponseWriter: recorder, controller: http.NewResponseController(recorder)}
		c := newQuotaCall(h)
		g.Expect(h.executeDecision(context.Background(), w, request("/a/x"), c, decide(g, h, c))).To(gomega.BeTrue())
		g.Expect(recorder.Code).To(gomega.Equal(http.StatusServiceUnavailable), "no target, not the quota")
	}
}

// Guards against hosts without quotas in their settings that limit accounts.
func TestHostWithoutQuotasLimitsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet()
	p := testPlan()
	p.Accounts = []plan.Account{{Name: "a", Rate: 0.001, Burst: 1}}
	f.state.SetPlan(p)
	f.setQuotaState(10, []string{"a"})
	g.Expect(decide(g, f.host, newQuotaCall(f.host))).NotTo(overQuota)
}

package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/core/member"
	"cardamomspool/core/plan"
	"cardamomspool/core/reach"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// headerTarget is a target that records the headers and trailers of its requests.
type headerTarget struct {
	address netip.AddrPort

	mu       sync.Mutex
	headers  []http.Header
	trailers []http.Header
}

func newHeaderTarget(t *testing.T) *headerTarget {
	target := &headerTarget{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		target.mu.Lock()
		defer target.mu.Unlock()
		target.headers, target.trailers = append(target.headers, r.Header), append(target.trailers, r.Trailer)
	}))
	t.Cleanup(server.Close)
	target.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return target
}

// requests returns the number of requests so far.
func (t *headerTarget) requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.headers)
}

// last returns the header and the trailer of the last request.
func (t *headerTarget) last() (header, trailer http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.headers[len(t.headers)-1], t.trailers[len(t.trailers)-1]
}

// newAccountFleet starts a control host with the given plan, a target and an entry host.
func newAccountFleet(t *testing.T, p *plan.Plan, opts []Option, configure ...func(*setup.Entry)) (*staleControl, *headerTarget, *Host) {
	g := gomega.NewWithT(t)
	target := newHeaderTarget(t)
	report := rosterTarget("t", target.address, member.Ready)
	control := newPlannedControl(t, p, report)
	control.state.UpdateTargets(true, report)
	h, _ := newFleetHostWith(t, control.address, opts, configure...)
	g.Eventually(h.fleet.ready, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	g.Eventually(h.fleet.state.Targets, testTimeout, time.Millisecond).Should(gomega.HaveLen(1))
	return control, target, h
}

// callWithKey sends a call with a key, unless that is empty, to the call address of h. It
// returns the status and the reason of a refusal.
func callWithKey(t *testing.T, h *Host, path, key string) (int, string) {
	t.Helper()
	g := gomega.NewWithT(t)
	r, err := http.NewRequest(http.MethodPost, "http://"+h.cfg.CallAddress.String()+path, http.NoBody)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "shop.example"
	if key != "" {
		r.Header.Set(keys.Field, "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return resp.StatusCode, resp.Header.Get(wire.HeaderReason)
}

// Guards against keys that reach targets, and callers that choose the account that targets
// are told of.
func TestTargetsGetTheAccountAndNoKey(t *testing.T) {
	const forged = "Authorization: Bearer k_1\r\nSpool-Account: forged\r\nSpool_Account: forged\r\n"
	withoutAccounts := testPlan()
	for _, row := range []struct {
		name    string
		plan    *plan.Plan
		path    string
		account []string
		key     []string
	}{
		{"of an account", accountPlan(1), "/a/x", []string{"first"}, nil},
		{"on an open route", accountPlan(1), "/o/x", nil, nil},
		{"without accounts in the plan", withoutAccounts, "/a/x", nil, []string{"Bearer k_1"}},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			_, target, h := newAccountFleet(t, row.plan, nil)
			resp, _ := exchangeRaw(t, h, "POST "+row.path+" HTTP/1.1\r\nHost: shop.example\r\n"+forged+
				"Trailer: Authorization, Spool-Account, Kept\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+
				"Authorization: Bearer k_1\r\nSpool-Account: forged\r\nKept: k\r\n\r\n")
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			header, trailer := target.last()
			g.Expect(header[wire.HeaderAccount]).To(gomega.Equal(row.account))
			g.Expect(header["Authorization"]).To(gomega.Equal(row.key))
			g.Expect(header).NotTo(gomega.HaveKey("Spool_account"))
			g.Expect(trailer["Kept"]).To(gomega.Equal([]string{"k"}))
			g.Expect(trailer["Authorization"]).To(gomega.Equal(row.key))
			if row.plan != withoutAccounts {
				g.Expect(trailer).NotTo(gomega.HaveKey("Spool-Account"))
			}
		})
	}
}

// Guards against a key in a trailer that the caller has not named before.
func TestUnnamedTrailerHoldsNoKey(t *testing.T) {
	g := gomega.NewWithT(t)
	_, target, h := newAccountFleet(t, accountPlan(1), nil)
	resp, _ := exchangeRaw(t, h, "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer k_1\r\n"+
		"Trailer: Kept\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSpool-Account: forged\r\nAuthorization: Bearer k_1\r\nKept: k\r\n\r\n")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	_, trailer := target.last()
	g.Expect(trailer).To(gomega.Equal(http.Header{"Kept": {"k"}}))
}

// withdrawFirstKey returns the plan of accountPlan in which the first account has another
// key.
func withdrawFirstKey(version uint64) *plan.Plan {
	p := accountPlan(version)
	p.Accounts[0].Keys = []keys.Digest{keys.Of("k-4")}
	return p
}

// Guards against calls that are sent although a plan has withdrawn their key while they
// waited for a connection.
func TestKeyWithdrawnWhileACallWaitsForAConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	control, target, h := newAccountFleet(t, accountPlan(1), nil)
	connect := h.links.Opener
	h.links.Opener = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		control.state.SetPlan(withdrawFirstKey(2))
		for h.fleet.active.Load().plan.Version < 2 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		return connect(ctx, address)
	}
	status, reason := callWithKey(t, h, "/a/x", "k_1")
	g.Expect(status).To(gomega.Equal(http.StatusUnauthorized))
	g.Expect(reason).To(gomega.Equal(reasonKeyRefused))
	g.Expect(target.requests()).To(gomega.BeZero())
	g.Eventually(func() int {
		status, _ = callWithKey(t, h, "/a/x", "k-4")
		return status
	}, testTimeout, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK))
}

// Guards against calls that are sent although a plan has withdrawn their key while they
// waited for a decision, and against calls refused that the plan in force still accepts.
func TestPlanChangesWhileACallWaitsForADecision(t *testing.T) {
	for _, row := range []struct {
		name, path, key string
		next            *plan.Plan
		want            int
	}{
		{"without its key", "/a/x", "k_1", withdrawFirstKey(2), http.StatusUnauthorized},
		{"without another key", "/a/x", "k_2", withdrawFirstKey(2), http.StatusOK},
		{"without accounts", "/a/x", "k_1", &plan.Plan{Version: 2, Routes: testPlan().Routes, Services: testPlan().Services}, http.StatusOK},
		{"that opens the route", "/a/x", "k_1", func() *plan.Plan {
			p := withdrawFirstKey(2)
			p.Routes[0].Open = true
			return p
		}(), http.StatusOK},
		{"that closes the route", "/o/x", "", func() *plan.Plan {
			p := accountPlan(2)
			p.Routes[1].Open = false
			return p
		}(), http.StatusUnauthorized},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			control, target, h := newAccountFleet(t, accountPlan(1), nil)
			answer := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				w := responseWriter{ResponseWriter: rw, controller: http.NewResponseController(rw)}
				a := &arrival{host: h, w: w, r: r}
				defer a.end()
				if !a.pass() {
					return
				}
				h.decideLocally(a.call)
				control.state.SetPlan(row.next)
				for h.fleet.active.Load().plan.Version < 2 {
					time.Sleep(time.Millisecond)
				}
				h.awaitDecisions(r.Context(), a.w, r, a.call)
			}))
			defer answer.Close()
			r, err := http.NewRequest(http.MethodGet, answer.URL+row.path, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			r.Host = "shop.example"
			if row.key != "" {
				r.Header.Set(keys.Field, "Bearer "+row.key)
			}
			resp, err := http.DefaultClient.Do(r)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp.Body.Close()
			g.Expect(resp.StatusCode).To(gomega.Equal(row.want))
			if row.want != http.StatusOK {
				g.Expect(target.requests()).To(gomega.BeZero())
				return
			}
			header, _ := target.last()
			g.Expect(header).NotTo(gomega.HaveKey("Authorization"))
		})
	}
}

// shortLease sets the shortest lease.
func shortLease(cfg *setup.Entry) {
	cfg.Fleet.KeyLease = strict.Duration(setup.MinKeyLease)
}

// Guards against keys that an entry host accepts after it has lost the control hosts for
// the length of the lease, and against one that refuses them afterwards, or refuses open
// routes.
func TestLeaseEndsWithoutControlHostsAndReturns(t *testing.T) {
	g := gomega.NewWithT(t)
	logs := &lockedBuffer{}
	control, target, h := newAccountFleet(t, accountPlan(1), []Option{WithLogger(slog.New(slog.NewTextHandler(logs, nil)))}, shortLease)
	status, reason := callWithKey(t, h, "/a/x", "k_1")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable), "before the first lease")
	g.Expect(reason).To(gomega.Equal(reasonKeyLeaseEnded))
	control.confirm.Store(&peerpb.ConfirmReply{Epoch: 1, PlanVersion: 1})
	served := func() int {
		status, _ = callWithKey(t, h, "/a/x", "k_1")
		return status
	}
	g.Eventually(served, testTimeout, 5*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	g.Consistently(served, 2*setup.MinKeyLease, 20*time.Millisecond).Should(gomega.Equal(http.StatusOK))

	for _, answer := range []*peerpb.ConfirmReply{nil, {Epoch: 1, PlanVersion: 2}, {Epoch: 1, PlanVersion: 1, Ended: true}, {}} {
		control.confirm.Store(answer)
		lost := time.Now()
		g.Eventually(served, setup.MinKeyLease, 5*time.Millisecond).Should(gomega.Equal(http.StatusServiceUnavailable), answer.String())
		g.Expect(time.Since(lost)).To(gomega.BeNumerically("<=", setup.MinKeyLease))
		before := target.requests()
		g.Consistently(served, setup.MinKeyLease/2, 20*time.Millisecond).Should(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(target.requests()).To(gomega.Equal(before))
		status, _ = callWithKey(t, h, "/o/x", "")
		g.Expect(status).To(gomega.Equal(http.StatusOK), "an open route")
		status, reason = callWithKey(t, h, "/a/x", "k_3")
		g.Expect(fmt.Sprint(status, reason)).To(gomega.Equal("503"+reasonKeyLeaseEnded), "an unknown key")
		control.confirm.Store(&peerpb.ConfirmReply{Epoch: 1, PlanVersion: 1})
		g.Eventually(served, testTimeout, 5*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	}
	g.Expect(logs.String()).To(gomega.ContainSubstring(`msg="key lease ended"`))
	g.Expect(logs.String()).To(gomega.ContainSubstring(`msg="key lease renewed"`))
	g.Expect(logs.String()).To(gomega.MatchRegexp(`msg="key refused" call=\S+ .*reason=key_lease_ended status=503`))
	g.Expect(h.metrics.Counter("key_leases_ended").Value()).To(gomega.BeEquivalentTo(4))
}

// Guards against a carrier that sends calls with keys that its own plan or lease does not
// accept.
func TestCarriersCheckKeys(t *testing.T) {
	_, target, h := newAccountFleet(t, accountPlan(1), nil)
	_, cutTarget, cut := newAccountFleet(t, accountPlan(1), nil, shortLease)
	for _, row := range []struct {
		name, path, key string
		host            *Host
		target          *headerTarget
		account         string
		outcome         wire.CarryOutcome
	}{
		{"a known key", "/a/x", "k_2", h, target, "second", ""},
		{"an unknown key", "/a/x", "k_3", h, target, "", wire.CarryUnavailable},
		{"no key", "/a/x", "", h, target, "", wire.CarryUnavailable},
		{"an open route", "/o/x", "", h, target, "", ""},
		{"a known key without a lease", "/a/x", "k_2", cut, cutTarget, "", wire.CarryUnavailable},
		{"an open route without a lease", "/o/x", "", cut, cutTarget, "", ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			before := row.target.requests()
			carry := wire.Carry{Call: "c", Service: "s", Target: "t", TimeLeft: strict.Duration(time.Second)}
			if row.key != "" {
				digest := keys.Of(row.key)
				carry.Key = &digest
			}
			header := http.Header{}
			g.Expect(wire.SetCarry(header, carry)).To(gomega.Succeed())
			resp, _ := exchangeRaw(t, carrierHandler{row.host}, "POST "+row.path+" HTTP/1.1\r\nHost: shop.example\r\n"+
				wire.HeaderCarry+": "+header.Get(wire.HeaderCarry)+"\r\nSpool-Account: forged\r\nContent-Length: 0\r\n\r\n")
			g.Expect(wire.TakeCarryOutcome(resp.Header)).To(gomega.Equal(row.outcome))
			if row.outcome != "" {
				g.Expect(row.target.requests()).To(gomega.Equal(before))
				return
			}
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			sent, _ := row.target.last()
			g.Expect(sent.Get(wire.HeaderAccount)).To(gomega.Equal(row.account))
		})
	}
}

// Guards against a key that is sent to another entry host in clear.
func TestCarriersGetTheDigestOfTheKey(t *testing.T) {
	g := gomega.NewWithT(t)
	_, target, h := newAccountFleet(t, accountPlan(1), nil)
	received := make(chan string, 8)
	carrier := newRawTarget(t, func(c *rawConn) {
		if c.readRequest() == nil {
			return
		}
		received <- c.received()
		c.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	links := newTargetLinks(t, h)
	links.add(target.address)
	links.begin(cutMode{refuses: true})
	h.links.AddCarriers([]reach.Carrier{{Address: carrier.address, DataCentre: "lab"}})
	status, _ := callWithKey(t, h, "/a/x", "k_1")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	var request string
	g.Eventually(received, testTimeout).Should(gomega.Receive(&request))
	text, err := keys.Of("k_1").MarshalText()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(request).To(gomega.ContainSubstring(`"key":"` + string(text) + `"`))
	g.Expect(request).To(gomega.ContainSubstring("Spool-Account: first\r\n"))
	g.Expect(strings.Contains(request, "k_1")).To(gomega.BeFalse())
	g.Expect(request).NotTo(gomega.ContainSubstring("Authorization"))
}

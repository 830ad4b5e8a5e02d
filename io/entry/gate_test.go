package entry

import (
	"bufio"
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

	"cardamomspool/core/crash"
	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// accountPlan returns the plan of testPlan with two accounts, whose keys are "k_1" and
// "k_2", and an open route for the paths /o/.
func accountPlan(version uint64) *plan.Plan {
	p := testPlan()
	p.Version = version
	open := p.Routes[0]
	open.Name, open.PathPrefix, open.Open = "o", "/o/", true
	p.Routes = append(p.Routes, open)
	rank := 0
	p.Accounts = []plan.Account{
		{Name: "first", Keys: []keys.Digest{keys.Of("k_1")}, Rank: &rank},
		{Name: "second", Keys: []keys.Digest{keys.Of("k_2")}},
	}
	return p
}

// exchangeRaw sends raw bytes to a handler on a connection of their own and returns the
// answer.
func exchangeRaw(t *testing.T, h http.Handler, request string) (*http.Response, string) {
	t.Helper()
	g := gomega.NewWithT(t)
	server := httptest.NewServer(h)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	g.Expect(conn.SetDeadline(time.Now().Add(testTimeout))).To(gomega.Succeed())
	io.WriteString(conn, request)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return resp, strings.TrimSpace(string(body))
}

// Guards against checks in another order: each request fails one check and all those after
// it, and is refused for the first of these. A caller without a key must not learn which
// services have no targets, and a host without a plan must not deny a key.
func TestChecksHaveOneOrder(t *testing.T) {
	const (
		malformed = iota
		unplanned
		unrouted
		unkeyed
		partless
		stopping
		bodyless
		crashing
		undecided
	)
	for first, want := range []string{
		malformed: "400 bad_request", unplanned: "503 no_plan", unrouted: "404 no_service", unkeyed: "401 key_refused",
		partless: "503 no_part", stopping: "503 stopping", bodyless: "400 body_cut_short", crashing: "503 crashes_targets", undecided: "503 no_target",
	} {
		t.Run(want, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			path, host, key, body := "/a/x", "shop.example", "Authorization: Bearer k_1\r\n", "4\r\nbody\r\n0\r\n\r\n"
			p := accountPlan(1)
			if first <= malformed {
				path = "/a/%5cx"
			}
			if first <= unrouted {
				host = "other.example"
			}
			if first <= unkeyed {
				key = ""
			}
			if first <= partless {
				p.Routes[0].Parts[0].Weight = 0
			}
			if first <= bodyless {
				body = "4\r\nbody\r\nno length\r\n\r\n"
			}
			h, _ := newFleetHost(t, newPlannedControl(t, p).address)
			g.Eventually(h.fleet.ready, testTimeout, time.Millisecond).Should(gomega.BeTrue())
			if first <= unplanned {
				h.fleet.planConfirmed = make(chan struct{})
			}
			if first <= stopping {
				now := time.Now()
				h.halting.last.Store(&now)
			}
			if first <= crashing {
				head := crash.Head(http.MethodPost, host, path)
				id := crash.ID{Head: head, Content: crash.Content(head, []byte("body")), Caller: crash.Caller(netip.MustParseAddr("127.0.0.1"))}
				for i := range uint64(3) {
					h.crashes.Merge([]crash.Report{{ID: id, Target: i + 1, At: time.Now()}}, time.Now())
				}
			}
			resp, reason := exchangeRaw(t, h, "POST "+path+" HTTP/1.1\r\nHost: "+host+"\r\n"+key+"Transfer-Encoding: chunked\r\n\r\n"+body)
			g.Expect(resp.Status[:3] + " " + reason).To(gomega.Equal(want))
			g.Expect(resp.Header.Get(wire.HeaderOutcome)).To(gomega.Equal(wire.OutcomeNotRun))
			challenge := ""
			if resp.StatusCode == http.StatusUnauthorized {
				challenge = "Bearer"
			}
			g.Expect(resp.Header.Get("WWW-Authenticate")).To(gomega.Equal(challenge))
			if resp.StatusCode == http.StatusServiceUnavailable && first <= unkeyed {
				g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			}
		})
	}
}

// Guards against a key that is accepted by mistake, and against 401 from a host that may
// not know the newest plan.
func TestKeysAreChecked(t *testing.T) {
	const line = "Authorization: Bearer "
	for _, row := range []struct {
		name, path, fields string
		outdated           bool
		want               string
	}{
		{"a known key", "/a/x", line + "k_1\r\n", false, "503 no_target"},
		{"a known key of a host behind", "/a/x", line + "k_1\r\n", true, "503 no_target"},
		{"no key", "/a/x", "", false, "401 key_refused"},
		{"an unknown key", "/a/x", line + "k_3\r\n", false, "401 key_refused"},
		{"a key of another case", "/a/x", line + "K_1\r\n", false, "401 key_refused"},
		{"two fields", "/a/x", line + "k_1\r\n" + line + "k_1\r\n", false, "401 key_refused"},
		{"another scheme", "/a/x", "Authorization: Basic k_1\r\n", false, "401 key_refused"},
		{"an unknown key of a host behind", "/a/x", line + "k_3\r\n", true, "503 no_plan"},
		{"an open route", "/o/x", "", false, "503 no_target"},
		{"an open route with an unknown key", "/o/x", line + "k_3\r\n", false, "503 no_target"},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			logs := &lockedBuffer{}
			control := newPlannedControl(t, accountPlan(2))
			h, _ := newFleetHostWith(t, control.address, []Option{WithLogger(slog.New(slog.NewTextHandler(logs, nil)))})
			g.Eventually(h.fleet.ready, testTimeout, time.Millisecond).Should(gomega.BeTrue())
			if row.outdated {
				control.noPlan.Store(true)
				control.state.SetPlan(accountPlan(3))
				g.Eventually(h.fleet.follower.Outdated, testTimeout, time.Millisecond).Should(gomega.BeTrue())
			}
			resp, reason := exchangeRaw(t, h, "GET "+row.path+" HTTP/1.1\r\nHost: shop.example\r\n"+row.fields+"\r\n")
			g.Expect(resp.Status[:3] + " " + reason).To(gomega.Equal(row.want))
			if strings.HasPrefix(row.want, "401") {
				g.Expect(logs.String()).To(gomega.MatchRegexp(`msg="key refused" call=\S+ .*reason=key_refused status=401`))
			}
			for _, key := range []string{"k_1", "K_1", "k_3"} {
				text, err := keys.Of(key).MarshalText()
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(logs.String()).NotTo(gomega.ContainSubstring(key))
				g.Expect(logs.String()).NotTo(gomega.ContainSubstring(string(text)))
			}
		})
	}
}

// Guards against a key that is refused as unknown at a host that has just started with the
// former plan, because its call was checked by that plan after it had waited for the lease of
// the newer one.
func TestCallsThatWaitForTheLeaseAreCheckedByTheNewestPlan(t *testing.T) {
	g := gomega.NewWithT(t)
	former, next := accountPlan(1), accountPlan(2)
	next.Accounts[0].Keys = []keys.Digest{keys.Of("k_3")}
	control := newPlannedControl(t, former)
	control.confirm.Store(&peerpb.ConfirmReply{Epoch: 1, PlanVersion: 2})
	h, _ := newFleetHostWith(t, control.address, nil, func(cfg *setup.Entry) { cfg.Fleet.KeyLease = strict.Duration(setup.MaxKeyLease) })
	g.Eventually(h.fleet.ready, testTimeout, time.Millisecond).Should(gomega.BeTrue())
	var calls sync.WaitGroup
	for key, want := range map[string]string{"k_1": "401 key_refused", "k_2": "503 no_target", "k_3": "503 no_target"} {
		calls.Go(func() {
			resp, reason := exchangeRaw(t, h, "GET /a/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer "+key+"\r\n\r\n")
			if got := resp.Status[:3] + " " + reason; got != want {
				t.Errorf("key %s: %s, want %s", key, got, want)
			}
		})
	}
	time.Sleep(minQuestionInterval) // The calls wait for the lease.
	control.state.SetPlan(next)
	calls.Wait()
}

// Guards against calls that are queued with the rank of their route, or without the account
// by which they share slots.
func TestAccountReplacesTheRankOfTheRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet()
	defer f.host.system.Shutdown()
	f.state.SetPlan(accountPlan(1))
	for _, row := range []struct {
		path, key, account string
		rank               int
	}{{"/a/x", "k_1", "first", 0}, {"/a/x", "k_2", "second", 1}, {"/o/x", "k_1", "", 1}} {
		r := request(row.path)
		r.Header.Set(keys.Field, "Bearer "+row.key)
		_, class, p := f.find(r, wire.CallerInfo{})
		g.Expect(p).To(gomega.BeNil())
		g.Expect(class.Account).To(gomega.Equal(row.account))
		g.Expect(class.Rank).To(gomega.Equal(row.rank), row.key)
	}
}

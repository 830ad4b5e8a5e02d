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
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/keys"
	"cardamomspool/core/member"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// documentControl is a control host without a fleet that sends documents to entry hosts.
type documentControl struct {
	peerpb.UnimplementedConfigurationServer
	address netip.AddrPort
	server  interface{ Stop() }

	mu      sync.Mutex
	updates []*peerpb.Update
	changed chan struct{} // Closed when updates grow.
}

func newDocumentControl(t *testing.T, updates ...*peerpb.Update) *documentControl {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &documentControl{address: l.Addr().(*net.TCPAddr).AddrPort(), updates: updates, changed: make(chan struct{})}
	server := peer.NewServer()
	c.server = server
	peerpb.RegisterConfigurationServer(server, c)
	go server.Serve(l)
	t.Cleanup(server.Stop)
	return c
}

// Watch sends all documents, then those that send adds.
func (c *documentControl) Watch(_ *peerpb.WatchRequest, stream peerpb.Configuration_WatchServer) error {
	for n := 0; ; {
		c.mu.Lock()
		list, changed := c.updates[n:], c.changed
		c.mu.Unlock()
		for _, u := range list {
			if err := stream.Send(u); err != nil {
				return err
			}
		}
		if n == 0 {
			if err := stream.Send(&peerpb.Update{Complete: true}); err != nil {
				return err
			}
		}
		n += len(list)
		select {
		case <-changed:
		case <-time.After(time.Second):
			if err := stream.Send(&peerpb.Update{}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (c *documentControl) send(u *peerpb.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updates = append(c.updates, u)
	close(c.changed)
	c.changed = make(chan struct{})
}

// accountsUpdate returns the update with a document of accounts, as control hosts send it.
func accountsUpdate(t *testing.T, revision uint64, body string) *peerpb.Update {
	t.Helper()
	doc, faults := spec.ParseAccounts([]byte(body))
	if err := faults.Err(); err != nil {
		t.Fatal(err)
	}
	return &peerpb.Update{Name: spec.AccountsName, Revision: revision, Body: spec.CanonicalAccounts(doc.Digested())}
}

// serviceUpdate returns the update with a service at a path.
func serviceUpdate(name, path string, public bool) *peerpb.Update {
	doc := spec.Default()
	doc.Name, doc.Receive.PathPrefixes, doc.Receive.Public = name, []string{path}, public
	doc.Targets.Slots, doc.Hold.LongestWait = 1, doc.Receive.Deadline
	return &peerpb.Update{Name: name, Revision: 1, Body: spec.Canonical(doc)}
}

const (
	shopAndDesk = `{"accounts": [{"name": "shop", "keys": ["k-shop-1", "k-shop-2"], "rank": 3}, {"name": "desk", "keys": ["k-desk"]}]}`
	shopChanged = `{"accounts": [{"name": "shop", "keys": ["k-shop-2"]}, {"name": "desk", "keys": ["k-desk"]}]}`
)

// startDocumentHost runs an entry host that follows control, with a target of the services s
// and p. The returned function stops it.
func startDocumentHost(t *testing.T, control, target netip.AddrPort, configure func(*setup.Entry)) (*Host, *lockedBuffer, func()) {
	t.Helper()
	g := gomega.NewWithT(t)
	self := setup.Peer{Host: "entry-1", DataCentre: "lab", PeerAddress: freeAddress(t)}
	cfg := setup.Entry{
		Common: setup.Common{
			Host: "entry-1", DataCentre: "lab", LogLevel: "info", AdminAddress: freeAddress(t), PeerAddress: self.PeerAddress,
			Controls: []setup.Peer{{Host: "control-1", DataCentre: "lab", PeerAddress: control}},
		},
		CallAddress: freeAddress(t), AnnounceAddress: freeAddress(t), Entries: []setup.Peer{self},
		Tick: strict.Duration(5 * time.Millisecond), AnnounceInterval: strict.Duration(time.Minute), DecisionLogOneIn: 1,
		StopGrace: strict.Duration(time.Second),
	}
	if configure != nil {
		configure(&cfg)
	}
	logs := &lockedBuffer{}
	h := New(cfg, WithLogger(slog.New(slog.NewTextHandler(logs, nil))))
	for _, service := range []string{"p", "s"} {
		h.members.handle(member.Announce{Record: member.Record{
			Key: member.Key{Service: service, Target: "t"}, Address: target, DataCentre: "lab",
			State: member.Ready, Incarnation: 1, Owner: "entry-1",
		}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	stop := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(stop)
	g.Eventually(func() int { return len(h.services.Load().list) }, testTimeout, time.Millisecond).Should(gomega.Equal(2), logs.String)
	g.Eventually(func() error {
		c, err := net.Dial("tcp", cfg.CallAddress.String())
		if err == nil {
			c.Close()
		}
		return err
	}, testTimeout, time.Millisecond).Should(gomega.Succeed())
	return h, logs, stop
}

// keyAnswer is the status and the reason of an answer.
type keyAnswer struct {
	status int
	reason string
}

func answerOf(t *testing.T, h *Host, path, key string) keyAnswer {
	t.Helper()
	status, reason := callWithKey(t, h, path, key)
	return keyAnswer{status, reason}
}

// Guards against calls without a key of the accounts document that run, against keys and
// forged names that reach targets, and against a document that changes anything before or
// after it is in force.
func TestHostsWithoutAFleetCheckKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newHeaderTarget(t)
	control := newDocumentControl(t, serviceUpdate("s", "/", false), serviceUpdate("p", "/public/", true))
	h, logs, _ := startDocumentHost(t, control.address, target.address, nil)
	ok := keyAnswer{status: http.StatusOK}
	refused := keyAnswer{http.StatusUnauthorized, reasonKeyRefused}

	g.Expect(answerOf(t, h, "/", "")).To(gomega.Equal(ok))
	g.Expect(answerOf(t, h, "/", "k-shop-1")).To(gomega.Equal(ok))
	header, _ := target.last()
	g.Expect(header.Get(keys.Field)).To(gomega.Equal("Bearer k-shop-1"), "without accounts fields are passed on")

	control.send(accountsUpdate(t, 2, shopAndDesk))
	g.Eventually(func() keyAnswer { return answerOf(t, h, "/", "") }, testTimeout, time.Millisecond).Should(gomega.Equal(refused))
	before := target.requests()
	for _, key := range []string{"", "k-other", "k-shop-1,k-desk"} {
		g.Expect(answerOf(t, h, "/", key)).To(gomega.Equal(refused), key)
	}
	g.Expect(target.requests()).To(gomega.Equal(before), "no call without a key runs")
	g.Expect(answerOf(t, h, "/", "k-shop-1")).To(gomega.Equal(ok))
	header, _ = target.last()
	g.Expect(header[keys.Field]).To(gomega.BeEmpty())
	g.Expect(header["Spool-Account"]).To(gomega.Equal([]string{"shop"}))
	g.Expect(answerOf(t, h, "/public/", "")).To(gomega.Equal(ok))
	g.Expect(answerOf(t, h, "/public/", "k-other")).To(gomega.Equal(ok))
	header, _ = target.last()
	g.Expect(header[keys.Field]).To(gomega.BeEmpty(), "keys are removed on public services too")
	g.Expect(header["Spool-Account"]).To(gomega.BeEmpty())

	control.send(accountsUpdate(t, 3, shopChanged))
	g.Eventually(func() keyAnswer { return answerOf(t, h, "/", "k-shop-1") }, testTimeout, time.Millisecond).Should(gomega.Equal(refused))
	g.Expect(answerOf(t, h, "/", "k-shop-2")).To(gomega.Equal(ok))
	control.send(&peerpb.Update{Name: spec.AccountsName, Revision: 4, Body: []byte(`{"accounts":[{"later":1}]}`)})
	g.Eventually(logs.String, testTimeout, time.Millisecond).Should(gomega.ContainSubstring("document refused"))
	g.Expect(answerOf(t, h, "/", "k-shop-2")).To(gomega.Equal(ok), "the accounts in force stay")
	g.Expect(answerOf(t, h, "/", "k-shop-1")).To(gomega.Equal(refused))
	control.send(&peerpb.Update{Name: spec.AccountsName, Revision: 5, Deleted: true})
	g.Eventually(func() keyAnswer { return answerOf(t, h, "/", "") }, testTimeout, time.Millisecond).Should(gomega.Equal(ok))
	g.Expect(logs.String()).NotTo(gomega.ContainSubstring("k-shop"), "no key is logged")
	g.Expect(logs.String()).NotTo(gomega.ContainSubstring("k-other"))
}

// Guards against an entry host that serves calls without a key, or denies a key that may be
// new, after a restart without control hosts, and against keys on its disk.
func TestRestartWithoutControlHostsKeepsTheAccounts(t *testing.T) {
	for _, row := range []struct {
		name    string
		damage  func(g gomega.Gomega, folder string)
		known   keyAnswer
		unknown keyAnswer
	}{
		{"whole folder", func(gomega.Gomega, string) {}, keyAnswer{status: http.StatusOK}, keyAnswer{http.StatusServiceUnavailable, reasonNotConfirmed}},
		{"damaged accounts", func(g gomega.Gomega, folder string) {
			g.Expect(os.WriteFile(filepath.Join(folder, documentPrefix+spec.AccountsName+".doc"), []byte("x"), 0o600)).To(gomega.Succeed())
		}, keyAnswer{http.StatusServiceUnavailable, reasonNotConfirmed}, keyAnswer{http.StatusServiceUnavailable, reasonNotConfirmed}},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target, folder := newHeaderTarget(t), t.TempDir()
			control := newDocumentControl(t, accountsUpdate(t, 2, shopAndDesk), serviceUpdate("s", "/", false), serviceUpdate("p", "/public/", true))
			withFolder := func(cfg *setup.Entry) { cfg.DataFolder = folder }
			h, _, stop := startDocumentHost(t, control.address, target.address, withFolder)
			g.Expect(answerOf(t, h, "/", "k-desk").status).To(gomega.Equal(http.StatusOK))
			stop()
			control.server.Stop()
			files, err := os.ReadDir(folder)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			for _, f := range files {
				data, readErr := os.ReadFile(filepath.Join(folder, f.Name()))
				g.Expect(readErr).NotTo(gomega.HaveOccurred())
				g.Expect(string(data)).NotTo(gomega.ContainSubstring("k-desk"), f.Name())
			}
			row.damage(g, folder)
			again, _, _ := startDocumentHost(t, control.address, target.address, withFolder)
			g.Expect(answerOf(t, again, "/", "k-desk")).To(gomega.Equal(row.known))
			g.Expect(answerOf(t, again, "/", "k-other")).To(gomega.Equal(row.unknown))
			g.Expect(answerOf(t, again, "/", "")).To(gomega.Equal(row.unknown))
			g.Expect(answerOf(t, again, "/public/", "").status).To(gomega.Equal(http.StatusOK))
		})
	}
}

// Guards against a quota that each entry host grants in full, and one that binds other
// accounts.
func TestHostsOfAListShareQuotas(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newHeaderTarget(t)
	control := newDocumentControl(t, serviceUpdate("s", "/", false), serviceUpdate("p", "/public/", true),
		accountsUpdate(t, 2, `{"accounts": [{"name": "shop", "keys": ["k-shop"], "rate": 0.004, "burst": 12}, {"name": "desk", "keys": ["k-desk"]}]}`))
	h, _, _ := startDocumentHost(t, control.address, target.address, func(cfg *setup.Entry) {
		for i := range 3 {
			cfg.Entries = append(cfg.Entries, setup.Peer{Host: fmt.Sprintf("entry-%d", i+2), DataCentre: "lab", PeerAddress: freeAddress(t)})
		}
	})
	for range 3 {
		g.Expect(answerOf(t, h, "/", "k-shop").status).To(gomega.Equal(http.StatusOK), "a quarter of the burst")
	}
	before := target.requests()
	g.Expect(answerOf(t, h, "/", "k-shop")).To(gomega.Equal(keyAnswer{http.StatusTooManyRequests, "over_quota"}))
	g.Expect(target.requests()).To(gomega.Equal(before))
	for range 5 {
		g.Expect(answerOf(t, h, "/", "k-desk").status).To(gomega.Equal(http.StatusOK))
	}
}

// Guards against an account whose burst is served in full before a call of another account
// that came later, and against ranks of accounts that are not used.
func TestHostsWithoutAFleetServeAccountsByRankAndShare(t *testing.T) {
	g := gomega.NewWithT(t)
	started, release := make(chan string, 20), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- r.Header.Get("Spool-Account")
		<-release
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	control := newDocumentControl(t, serviceUpdate("s", "/", false), serviceUpdate("p", "/public/", true),
		accountsUpdate(t, 2, `{"accounts": [{"name": "large", "keys": ["k-l"], "rank": 1}, {"name": "small", "keys": ["k-s"], "rank": 1}, {"name": "urgent", "keys": ["k-u"]}]}`))
	h, logs, _ := startDocumentHost(t, control.address, server.Listener.Addr().(*net.TCPAddr).AddrPort(), nil)
	sent := 0
	send := func(key string) {
		sent++
		go func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+h.cfg.CallAddress.String()+"/", http.NoBody)
			if err != nil {
				return
			}
			r.Header.Set(keys.Field, "Bearer "+key)
			if resp, err := http.DefaultClient.Do(r); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}()
		g.Eventually(func() int64 { return h.openCalls.Load() }, testTimeout, time.Millisecond).Should(gomega.BeEquivalentTo(sent))
	}
	send("k-l")
	g.Eventually(started, testTimeout).Should(gomega.Receive(gomega.Equal("large")))
	for range 4 {
		send("k-l")
	}
	time.Sleep(50 * time.Millisecond) // The calls wait in the queue before those of the others.
	send("k-s")
	time.Sleep(50 * time.Millisecond)
	send("k-u")
	time.Sleep(50 * time.Millisecond)
	var order []string
	// An account's calls that its share cannot serve in time are refused, so that not all
	// calls run.
	for h.openCalls.Load() > 0 {
		select {
		case account := <-started:
			order = append(order, account)
		case release <- struct{}{}:
		case <-time.After(time.Millisecond):
		}
	}
	g.Expect(len(order)).To(gomega.BeNumerically(">=", 3), logs.String())
	g.Expect(order[0]).To(gomega.Equal("urgent"), fmt.Sprint(order))
	g.Expect(order[1:3]).To(gomega.ContainElement("small"), fmt.Sprint(order))
}

package ctrl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/internal/free"
	"cardamomspool/io/peer"
	"cardamomspool/io/peer/peerpb"
	"cardamomspool/io/setup"
)

// logBuffer is a buffer that is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// accountsHost is a control host without a fleet, the only one of its list.
type accountsHost struct {
	g    *gomega.WithT
	cfg  setup.Control
	logs *logBuffer
	stop func()
}

func startAccountsHost(t *testing.T, folder string) *accountsHost {
	t.Helper()
	h := &accountsHost{g: gomega.NewWithT(t), logs: &logBuffer{}}
	peerAddress, err := free.Address()
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	adminAddress, err := free.Address()
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	h.cfg.Common = setup.Common{
		Host: "control-1", DataCentre: "lab", LogLevel: "info", AdminAddress: adminAddress, PeerAddress: peerAddress,
		Controls: []setup.Peer{{Host: "control-1", DataCentre: "lab", PeerAddress: peerAddress}},
	}
	h.cfg.DataFolder = folder
	host, err := New(h.cfg, WithLogger(slog.New(slog.NewTextHandler(h.logs, nil))))
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- host.Run(ctx) }()
	h.stop = sync.OnceFunc(func() {
		cancel()
		h.g.Expect(<-done).To(gomega.Succeed())
	})
	t.Cleanup(h.stop)
	h.g.Eventually(func() bool { return host.Status().Current }, "20s", "1ms").Should(gomega.BeTrue())
	return h
}

// do sends a request to the operators' API and returns the status and the body of the answer.
func (h *accountsHost) do(method, path, base, key, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+h.cfg.AdminAddress.String()+path, strings.NewReader(body))
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("If-Match", base)
	r.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(r)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	return resp.StatusCode, string(data)
}

// watch returns what an entry host that holds the given documents gets, up to the end of the
// first batch.
func (h *accountsHost) watch(held ...*peerpb.Held) []*peerpb.Update {
	conn, err := peer.Dial(h.cfg.PeerAddress)
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	stream, err := peerpb.NewConfigurationClient(conn).Watch(ctx, &peerpb.WatchRequest{Host: "entry-1", Held: held})
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	var list []*peerpb.Update
	for {
		u, err := stream.Recv()
		h.g.Expect(err).NotTo(gomega.HaveOccurred())
		if u.GetComplete() {
			return list
		}
		if u.GetName() != "" {
			list = append(list, u)
		}
	}
}

const (
	accountsPath     = "/v1/accounts/document"
	accountsDocument = `{"accounts": [{"name": "shop", "keys": ["k-shop"], "rate": %d}]}`
)

// Guards against accounts that are agreed on otherwise than services, that show up among
// them, or that are lost with the process.
func TestAccountsAreAgreedOnLikeServices(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	h := startAccountsHost(t, folder)
	status, body := h.do(http.MethodGet, accountsPath, "", "", "")
	g.Expect(status).To(gomega.Equal(http.StatusNotFound), body)
	for i, row := range []struct {
		method, path, base, key, body string
		status                        int
		contains                      string
	}{
		{http.MethodPut, accountsPath, "0", "a", fmt.Sprintf(accountsDocument, 5), 200, `"revision": 1`},
		{http.MethodPut, accountsPath, "0", "a", fmt.Sprintf(accountsDocument, 5), 200, `"revision": 1`}, // Sent again.
		{http.MethodPut, accountsPath, "0", "a", fmt.Sprintf(accountsDocument, 6), 422, "was used before"},
		{http.MethodPut, accountsPath, "0", "b", fmt.Sprintf(accountsDocument, 6), 409, `"revision": 1`},
		{http.MethodPut, accountsPath, "1", "b", fmt.Sprintf(accountsDocument, 6), 200, `"revision": 2`},
		{http.MethodPut, accountsPath, "2", "c", `{"accounts": [{"name": "a", "keys": ["k"]}, {"name": "b", "keys": ["k"]}]}`, 400, `has a key of the account \"a\"`},
		{http.MethodPost, "/v1/accounts/validate", "", "", `{"accounts": []}`, 400, "must have an account"},
		{http.MethodPost, "/v1/accounts/validate", "", "", fmt.Sprintf(accountsDocument, 7), 200, `"key_digests": []`},
		{http.MethodGet, accountsPath, "", "", "", 200, "k-shop"},
		{http.MethodGet, accountsPath + "/history", "", "", "", 200, `"revision": 1`},
		{http.MethodGet, "/v1/services", "", "", "", 200, "[]"},
		{http.MethodGet, "/v1/services/" + spec.AccountsName, "", "", "", 404, "no such service"},
		{http.MethodPut, "/v1/services/" + spec.AccountsName, "2", "d", fmt.Sprintf(accountsDocument, 7), 404, "no such service"},
	} {
		status, body = h.do(row.method, row.path, row.base, row.key, row.body)
		g.Expect(status).To(gomega.Equal(row.status), "row %d: %s", i, body)
		g.Expect(body).To(gomega.ContainSubstring(row.contains), "row %d", i)
	}
	g.Expect(h.logs.String()).NotTo(gomega.ContainSubstring("k-shop"), "no key is logged")
	h.stop()
	h = startAccountsHost(t, folder)
	status, body = h.do(http.MethodGet, accountsPath, "", "", "")
	g.Expect(status).To(gomega.Equal(http.StatusOK), body)
	g.Expect(body).To(gomega.ContainSubstring(`"rate": 6`))
	status, body = h.do(http.MethodDelete, accountsPath, "2", "e", "")
	g.Expect(status).To(gomega.Equal(http.StatusOK), body)
	status, _ = h.do(http.MethodGet, accountsPath, "", "", "")
	g.Expect(status).To(gomega.Equal(http.StatusNotFound))
}

// Guards against keys in clear that leave the control hosts for entry hosts, and against an
// entry host of a version without accounts that is sent a name that it refuses.
func TestEntryHostsGetDigestsIfTheyKnowAccounts(t *testing.T) {
	g := gomega.NewWithT(t)
	h := startAccountsHost(t, t.TempDir())
	status, body := h.do(http.MethodPut, accountsPath, "0", "a", fmt.Sprintf(accountsDocument, 5))
	g.Expect(status).To(gomega.Equal(http.StatusOK), body)
	status, body = h.do(http.MethodPut, "/v1/services/s", "0", "b", `{"name": "s", "receive": {"hosts": ["h"]}}`)
	g.Expect(status).To(gomega.Equal(http.StatusOK), body)
	old := h.watch()
	g.Expect(old).To(gomega.HaveLen(1))
	g.Expect(old[0].GetName()).To(gomega.Equal("s"))
	list := h.watch(&peerpb.Held{Name: spec.AccountsName})
	g.Expect(list).To(gomega.HaveLen(2))
	g.Expect(list[0].GetName()).To(gomega.Equal(spec.AccountsName), "accounts come before services")
	g.Expect(string(list[0].GetBody())).NotTo(gomega.ContainSubstring("k-shop"))
	doc, faults := spec.ParseAccounts(list[0].GetBody())
	g.Expect(faults).To(gomega.BeEmpty())
	g.Expect(doc.Accounts[0].KeyDigests).To(gomega.HaveLen(1))
	g.Expect(h.watch(&peerpb.Held{Name: spec.AccountsName, Revision: 1})).To(gomega.HaveLen(1), "it has the revision")
}

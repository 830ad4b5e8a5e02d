package ctrl

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/internal/free"
	"cardamomspool/io/setup"
)

// newStartHost returns a host of a fleet with addresses of its own, and its settings.
func newStartHost(t *testing.T) (*Host, setup.Control) {
	g := gomega.NewWithT(t)
	cfg := setup.DefaultControl()
	cfg.Host, cfg.DataCentre, cfg.DataFolder = "control-0", "lab", t.TempDir()
	for _, address := range []*netip.AddrPort{&cfg.PeerAddress, &cfg.AdminAddress, &cfg.Fleet.FrontAddress} {
		var err error
		*address, err = free.Address()
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	cfg.Fleet.Adapter, cfg.Fleet.Seeds, cfg.Fleet.FirstStart = setup.AdapterPlatform, []netip.AddrPort{cfg.PeerAddress}, true
	h, err := New(cfg, WithLogger(slog.New(slog.DiscardHandler)), WithFront(func(*Host) http.Handler { return http.NotFoundHandler() }))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return h, cfg
}

// Guards against a host that leaves its addresses in use when it is stopped right after its
// start, so that the next one of the process cannot bind them.
func TestStopRightAfterTheStartFreesAllAddresses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		g := gomega.NewWithT(t)
		h, cfg := newStartHost(t)
		g.Expect(h.Run(ctx)).To(gomega.Succeed())
		for _, address := range []netip.AddrPort{cfg.PeerAddress, cfg.AdminAddress, cfg.Fleet.FrontAddress} {
			l, err := net.Listen("tcp", address.String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Close()
		}
	}
}

// Guards against operators who are shown an empty status by a host that has just started.
func TestStatusIsPublishedBeforeTheHostServes(t *testing.T) {
	g := gomega.NewWithT(t)
	h, cfg := newStartHost(t)
	statuses := make(chan string, 1)
	h.front = func(h *Host) http.Handler { // It is called right before the first address is served.
		w := httptest.NewRecorder()
		h.operatorsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://127.0.0.1/v1/status", nil))
		statuses <- w.Body.String()
		return http.NotFoundHandler()
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	var text string
	g.Eventually(statuses, "10s").Should(gomega.Receive(&text))
	cancel()
	g.Eventually(ended, "10s").Should(gomega.Receive(gomega.BeNil()))
	var status struct{ Host string }
	g.Expect(json.Unmarshal([]byte(text), &status)).To(gomega.Succeed(), text)
	g.Expect(status.Host).To(gomega.Equal(cfg.PeerAddress.Addr().String()), text)
}

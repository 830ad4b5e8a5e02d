package stub_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
	"cardamomspool/io/stub"
)

func TestTargetReportsConfiguredLoad(t *testing.T) {
	for i, name := range stub.ReportModeNames {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			mode, ok := stub.ParseReportMode(name)
			g.Expect(ok).To(gomega.BeTrue())
			target := stub.New("s", "a", netip.AddrPort{}, netip.AddrPort{}, stub.WithBehaviour(stub.Behaviour{Report: mode, ReportLag: time.Hour}))
			w := httptest.NewRecorder()
			target.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			want := []string{"running=0 queued=0 slots=3", "running=0 queued=0 slots=3", "running=0 queued=0 slots=3", "running=3 queued=3 slots=3", ""}
			g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
			g.Expect(w.Header().Get(wire.HeaderLoad)).To(gomega.Equal(want[i]))
		})
	}
}

func TestFailFastTargetAnswersWithErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	target := stub.New("s", "a", netip.AddrPort{}, netip.AddrPort{}, stub.WithBehaviour(stub.Behaviour{FailFast: true}))
	w := httptest.NewRecorder()
	target.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	g.Expect(w.Code).To(gomega.Equal(http.StatusInternalServerError))
}

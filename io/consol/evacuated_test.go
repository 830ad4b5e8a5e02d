package consol_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/consol"
)

// Guards against operators who look for the cause of missing calls and are not shown an order
// in force, and against names that are taken for markup.
func TestHostsPageShowsEvacuatedDataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	show := func(opts ...consol.Option) string {
		w := httptest.NewRecorder()
		consol.New(benchStore(), "control-1", opts...).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hosts", nil))
		g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
		return w.Body.String()
	}
	g.Expect(show()).NotTo(gomega.ContainSubstring("Evacuated"))
	g.Expect(show(consol.WithEvacuation(func() (uint64, []string) { return 3, []string{"pest", "<b>"} }))).To(gomega.And(
		gomega.ContainSubstring("<strong>pest</strong>"), gomega.ContainSubstring("<strong>&lt;b&gt;</strong>")))
}

package admin_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/plan"
	"cardamomspool/core/quorum"
	"cardamomspool/io/admin"
	"cardamomspool/io/telem"
)

// fakeEvacuator keeps orders in memory, or fails with err.
type fakeEvacuator struct {
	revision uint64
	list     []string
	err      error
}

func (f *fakeEvacuator) SetEvacuated(_ context.Context, dataCentre string, evacuated bool) error {
	if err := plan.ValidDataCentre(dataCentre); err != nil {
		return err
	}
	if f.err != nil {
		return f.err
	}
	f.revision++
	f.list = slices.DeleteFunc(f.list, func(s string) bool { return s == dataCentre })
	if evacuated {
		f.list = append(f.list, dataCentre)
	}
	return nil
}

func (f *fakeEvacuator) Evacuation() (uint64, []string) { return f.revision, f.list }

// Guards against operators who are told that an order holds which was not acknowledged, and
// against a status that does not show the orders in force.
func TestOrdersOfOperators(t *testing.T) {
	g := gomega.NewWithT(t)
	e := &fakeEvacuator{}
	h := admin.NewControl(statusStore{status: quorum.Status{Host: "control-1"}}, "", telem.NewRegistry(), slog.New(slog.DiscardHandler), admin.WithEvacuator(e))
	do := func(method, path string) (int, admin.EvacuationView) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, "http://127.0.0.1"+path, nil))
		var v admin.EvacuationView
		g.Expect(json.Unmarshal(w.Body.Bytes(), &v)).To(gomega.Succeed())
		return w.Code, v
	}
	code, v := do(http.MethodPost, admin.EvacuationsPath+"/pest")
	g.Expect(code).To(gomega.Equal(http.StatusOK))
	g.Expect(v).To(gomega.Equal(admin.EvacuationView{Revision: 1, DataCentres: []string{"pest"}}))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://127.0.0.1/v1/status", nil))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"evacuated": [`))
	g.Expect(w.Body.String()).To(gomega.ContainSubstring(`"control-1"`))
	code, v = do(http.MethodDelete, admin.EvacuationsPath+"/pest")
	g.Expect(code).To(gomega.Equal(http.StatusOK))
	g.Expect(v.DataCentres).To(gomega.BeEmpty())
	code, _ = do(http.MethodPost, admin.EvacuationsPath+"/"+strings.Repeat("a", 200))
	g.Expect(code).To(gomega.Equal(http.StatusBadRequest))
	e.err = quorum.ErrNoMajority
	code, _ = do(http.MethodPost, admin.EvacuationsPath+"/pest")
	g.Expect(code).To(gomega.Equal(http.StatusServiceUnavailable))
}

// Guards against orders that are taken where no fleet carries them out.
func TestNoOrdersOutsideAFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	h := admin.NewControl(statusStore{}, "", telem.NewRegistry(), slog.New(slog.DiscardHandler))
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, "http://127.0.0.1"+admin.EvacuationsPath+"/pest", nil))
		g.Expect(w.Code).To(gomega.Equal(http.StatusNotFound))
	}
}

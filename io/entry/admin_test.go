package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
	"cardamomspool/io/admin"
	"cardamomspool/io/setup"
)

func TestTargetsAreFilteredByService(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := setup.DefaultEntry()
	cfg.Host = "entry-1"
	h := New(cfg)
	for _, service := range []string{"photos", "bookings"} {
		body := fmt.Sprintf(`{"service": %q, "target": "t1", "address": "127.0.0.1:9", "data_centre": "xela",
			"state": "ready", "incarnation": 1, "slots": 3}`, service)
		w := httptest.NewRecorder()
		h.announceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, wire.AnnouncePath, strings.NewReader(body)))
		g.Expect(w.Code).To(gomega.Equal(http.StatusOK), w.Body.String())
	}
	view := func(query string) admin.EntryView {
		w := httptest.NewRecorder()
		h.adminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, admin.TargetsPath+query, nil))
		var v admin.EntryView
		g.Expect(json.Unmarshal(w.Body.Bytes(), &v)).To(gomega.Succeed())
		return v
	}
	all, one := view(""), view("?service=photos")
	g.Expect(all.Targets).To(gomega.HaveLen(2))
	g.Expect(all.Targets[0].Service).To(gomega.Equal("bookings"))
	g.Expect(one.Targets).To(gomega.HaveLen(1))
	g.Expect(one.Targets[0].Service).To(gomega.Equal("photos"))
	g.Expect(one.Known).To(gomega.Equal(2))
}

package consol_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"cardamomspool/core/quorum"
	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
	"cardamomspool/io/consol"
	"cardamomspool/io/setup"
)

// The numbers of services and targets are those planned for in two years, and the
// number of entry hosts is that of the two regions today.
const (
	benchServices = 61
	benchTargets  = 940
	benchEntries  = 30
)

// benchStore returns a store with benchServices services.
func benchStore() *fakeStore {
	s := &fakeStore{values: make(map[string]quorum.Value), history: make(map[string][]quorum.Value)}
	for i := range benchServices {
		doc := spec.Default()
		doc.Name, doc.Receive.PathPrefixes = fmt.Sprintf("service-%d", i), []string{fmt.Sprintf("/s%d", i)}
		v := quorum.Value{Versioned: spec.Versioned{Name: doc.Name, Revision: 1, Body: spec.Canonical(doc)}, At: start}
		s.values[doc.Name], s.history[doc.Name] = v, []quorum.Value{v}
	}
	return s
}

// benchPage measures requests for one page and reports its size.
func benchPage(b *testing.B, path string, opts ...consol.Option) {
	c := consol.New(benchStore(), "control-1", opts...)
	size := 0
	for b.Loop() {
		w := httptest.NewRecorder()
		c.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
		size = w.Body.Len()
	}
	b.ReportMetric(float64(size), "page-bytes")
}

func BenchmarkList(b *testing.B) { benchPage(b, "/") }

func BenchmarkForm(b *testing.B) { benchPage(b, "/services/service-7") }

// BenchmarkHosts makes a new console for each page, so that every page queries all
// entry hosts. Of the benchTargets targets, an entry host lists only every
// benchServices-th: those of service-0.
func BenchmarkHosts(b *testing.B) {
	view := admin.EntryView{Ready: true, Known: benchTargets}
	for i := range benchServices {
		view.Services = append(view.Services, admin.ServiceView{Name: fmt.Sprintf("service-%d", i), Revision: 1})
	}
	for i := range benchTargets {
		if i%benchServices != 0 {
			continue // An entry host returns the targets of the requested service only.
		}
		view.Targets = append(view.Targets, admin.TargetView{
			Service: fmt.Sprintf("service-%d", i%benchServices), Name: fmt.Sprintf("target-%d", i),
			Address: netip.MustParseAddrPort("192.0.2.1:9000"), DataCentre: "xela", State: "ready",
			Incarnation: 1796332889298852765, Voucher: "entry-1",
		})
	}
	body, err := json.Marshal(view)
	if err != nil {
		b.Fatal(err)
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(body) }))
	defer s.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	var entries []setup.EntryAdmin
	for i := range benchEntries {
		entries = append(entries, setup.EntryAdmin{Host: fmt.Sprintf("entry-%d", i+1), AdminAddress: address})
	}
	b.ReportMetric(float64(len(body)), "answer-bytes")
	store := benchStore()
	size := 0
	for b.Loop() {
		c := consol.New(store, "control-1", consol.WithFleet(admin.NewFleet(entries)))
		w := httptest.NewRecorder()
		c.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hosts", nil))
		size = w.Body.Len()
	}
	b.ReportMetric(float64(size), "page-bytes")
	b.ReportMetric(float64(len(body)), "answer-bytes")
}

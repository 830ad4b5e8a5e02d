package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/admin"
	"cardamomspool/io/setup"
)

// An entry host that is down, or that answers with an error status or malformed
// JSON, is reported with its problem; the answers of the other entry hosts are
// unaffected. A second query within cacheAge is answered from the cache.
func TestFleetReportsUnreachableEntryHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	var queries atomic.Int64
	serve := func(h http.HandlerFunc) netip.AddrPort {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	}
	good := serve(func(w http.ResponseWriter, r *http.Request) {
		queries.Add(1)
		g.Expect(r.URL.Query().Get("service")).To(gomega.Equal("bookings"))
		g.Expect(json.NewEncoder(w).Encode(admin.EntryView{Host: "impostor", Ready: true})).To(gomega.Succeed())
	})
	nonsense := serve(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(`{"host":`)) })
	broken := serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	down := httptest.NewServer(nil)
	gone := netip.MustParseAddrPort(strings.TrimPrefix(down.URL, "http://"))
	down.Close()
	fleet := admin.NewFleet([]setup.EntryAdmin{
		{Host: "entry-1", AdminAddress: good},
		{Host: "entry-2", AdminAddress: nonsense},
		{Host: "entry-3", AdminAddress: broken},
		{Host: "entry-4", AdminAddress: gone},
	})
	list := fleet.Targets(context.Background(), "bookings")
	g.Expect(list).To(gomega.HaveLen(4))
	g.Expect(list[0].Host).To(gomega.Equal("entry-1"))
	g.Expect(list[0].Problem).To(gomega.BeEmpty())
	g.Expect(list[0].Ready).To(gomega.BeTrue())
	for i, problem := range []string{"EOF", "502", "no answer"} {
		g.Expect(list[i+1].Problem).To(gomega.ContainSubstring(problem))
		g.Expect(list[i+1].Ready).To(gomega.BeFalse())
	}
	fleet.Targets(context.Background(), "bookings")
	g.Expect(queries.Load()).To(gomega.Equal(int64(1)))
}

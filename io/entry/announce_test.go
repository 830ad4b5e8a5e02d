package entry

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/setup"
)

// newTestHost returns an entry host on its own, with one control host, that is not run.
func newTestHost() *Host {
	return New(setup.Entry{
		Common:           setup.Common{Host: "entry-1", Controls: []setup.Peer{{Host: "control-1"}}},
		AnnounceAddress:  netip.MustParseAddrPort("127.0.0.1:1"),
		AnnounceInterval: strict.Duration(time.Second),
	})
}

// TestBadAnnouncementsChangeNothing posts invalid announcements. It checks the
// status, that the response names the fault, and that the records don't change.
func TestBadAnnouncementsChangeNothing(t *testing.T) {
	const good = `{"service":"a","target":"t","address":"127.0.0.1:9000","data_centre":"xela","state":"ready","incarnation":5,"slots":3}`
	g := gomega.NewWithT(t)
	h := newTestHost()
	post := func(body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.announceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
		return w
	}
	g.Expect(post(good).Code).To(gomega.Equal(http.StatusOK))
	before := h.members.all()
	for _, c := range []struct {
		body   string
		status int
		names  string
	}{
		{"", http.StatusBadRequest, "not JSON"},
		{"[]", http.StatusBadRequest, "must be an object"},
		{good + good, http.StatusBadRequest, "after the end"},
		{strings.Replace(good, "slots", "slotz", 1), http.StatusBadRequest, "slotz"},
		{strings.Replace(good, `"ready"`, `"happy"`, 1), http.StatusBadRequest, "state"},
		{strings.Replace(good, "127.0.0.1:9000", "localhost:9000", 1), http.StatusBadRequest, "address"},
		{strings.Replace(good, `"t"`, `"`+strings.Repeat("t", 5000)+`"`, 1), http.StatusRequestEntityTooLarge, "too large"},
		{strings.Replace(good, `n":5`, `n":4`, 1), http.StatusConflict, `"incarnation":5`},
		{strings.Replace(good, "ready", "cold", 1), http.StatusConflict, `"state":"ready"`},
		{strings.Replace(good, "9000", "9001", 1), http.StatusConflict, "cannot change"},
	} {
		w := post(c.body)
		g.Expect(w.Code).To(gomega.Equal(c.status), c.body)
		g.Expect(w.Body.String()).To(gomega.ContainSubstring(c.names), c.body)
		g.Expect(h.members.all()).To(gomega.Equal(before), c.body)
	}
}

// TestMarkOnAnAnswerIsApplied has responses report in their header that their target
// drains: without an incarnation, with an earlier one, and with the current one. Only
// the response with the current one may change the state.
func TestMarkOnAnAnswerIsApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newTestHost()
	k := member.Key{Service: "a", Target: "t"}
	h.members.handle(member.Announce{Record: member.Record{
		Key: k, Address: netip.MustParseAddrPort("127.0.0.1:9000"), State: member.Ready, Incarnation: 5,
	}})
	state := func() member.State { return h.members.all()[0].State }
	h.members.activity.recordResponse("a", "t", wire.Spool().ParseAnswer(http.StatusOK, http.Header{"Spool-State": {"draining"}}, ""))
	g.Expect(state()).To(gomega.Equal(member.Ready))
	h.members.activity.recordResponse("a", "t", wire.Spool().ParseAnswer(http.StatusOK, http.Header{"Spool-State": {"draining"}, "Spool-Incarnation": {"4"}}, ""))
	g.Expect(state()).To(gomega.Equal(member.Ready))
	h.members.activity.recordResponse("a", "t", wire.Spool().ParseAnswer(http.StatusOK, http.Header{"Spool-State": {"draining"}, "Spool-Incarnation": {"5"}}, ""))
	g.Expect(state()).To(gomega.Equal(member.Draining))
	g.Expect(h.members.activity.evidenceFor(k).Answered).NotTo(gomega.BeZero())
}

package admin_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
	"cardamomspool/io/admin"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
)

// Guards against numbers of entry hosts that are not added up, and against the numbers of
// hosts that do not answer, or know no accounts, missing unseen.
func TestUseOfAccountsIsAddedUp(t *testing.T) {
	g := gomega.NewWithT(t)
	var entries []setup.EntryAdmin
	for _, body := range []string{
		`[{"account":"shop","rate":9,"room":2.5,"used":4,"refused":1},{"account":"gone","used":9}]`,
		`[{"account":"shop","rate":9,"room":0.5,"used":3,"refused":2,"limited":true}]`,
		`[{"account":"shop","used":100},`,
		"",
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != admin.AccountsPath || body == "" {
				w.WriteHeader(http.StatusNotFound) // As an entry host of a version without accounts.
				return
			}
			w.Write([]byte(body))
		}))
		t.Cleanup(s.Close)
		entries = append(entries, setup.EntryAdmin{Host: "entry", AdminAddress: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))})
	}
	list := []admin.AccountUse{{Account: "shop", Rate: 18, Burst: 6}, {Account: "desk"}}
	admin.NewFleet(entries).AddAccounts(context.Background(), list)
	g.Expect(list).To(gomega.Equal([]admin.AccountUse{
		{Account: "shop", Rate: 18, Burst: 6, Room: 3, Used: 7, Refused: 3, Limited: true, Unheard: 2},
		{Account: "desk", Unheard: 2},
	}))
}

// Guards against a document of accounts in a fleet, where it would have no effect.
func TestFleetHasNoAccountsDocument(t *testing.T) {
	g := gomega.NewWithT(t)
	store := statusStore{status: quorum.Status{Host: "control-1"}}
	h := admin.NewControl(store, "", telem.NewRegistry(), slog.New(slog.DiscardHandler), admin.WithEvacuator(&fakeEvacuator{}))
	for _, row := range [][2]string{
		{http.MethodGet, admin.AccountsDocumentPath},
		{http.MethodPut, admin.AccountsDocumentPath},
		{http.MethodDelete, admin.AccountsDocumentPath},
		{http.MethodGet, admin.AccountsDocumentPath + "/history"},
		{http.MethodPost, admin.AccountsPath + "/validate"},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(row[0], "http://127.0.0.1"+row[1], strings.NewReader("{}")))
		g.Expect(w.Code).To(gomega.Equal(http.StatusNotFound), "%v", row)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://127.0.0.1"+admin.AccountsPath, nil))
	var list []admin.AccountUse
	g.Expect(json.Unmarshal(w.Body.Bytes(), &list)).To(gomega.Succeed())
}

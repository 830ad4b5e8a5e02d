package admin_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/quorum"
	"cardamomspool/io/admin"
	"cardamomspool/io/telem"
)

// standing is a store that only tells how its host stands.
type standing struct {
	admin.Store
	status quorum.Status
}

func (s standing) Status() quorum.Status {
	return s.status
}

func TestReadyTellsWhetherTheHostVotesAndIsCurrent(t *testing.T) {
	g := gomega.NewWithT(t)
	for status, want := range map[int]quorum.Status{
		http.StatusNoContent:          {Voting: true, Current: true},
		http.StatusServiceUnavailable: {Voting: true},
	} {
		h := admin.NewControl(standing{status: want}, "", telem.NewSet(), slog.New(slog.DiscardHandler))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://127.0.0.1/ready", nil))
		g.Expect(w.Code).To(gomega.Equal(status))
	}
}

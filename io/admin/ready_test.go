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

// statusStore is a store that only returns a fixed status.
type statusStore struct {
	admin.Store
	status quorum.Status
}

// Status returns the fixed status.
func (s statusStore) Status() quorum.Status {
	return s.status
}

func TestReadyRequiresVoteAndMajority(t *testing.T) {
	g := gomega.NewWithT(t)
	for code, status := range map[int]quorum.Status{
		http.StatusNoContent:          {Voting: true, Current: true},
		http.StatusServiceUnavailable: {Voting: true},
	} {
		h := admin.NewControl(statusStore{status: status}, "", telem.NewRegistry(), slog.New(slog.DiscardHandler))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://127.0.0.1/ready", nil))
		g.Expect(w.Code).To(gomega.Equal(code))
	}
}

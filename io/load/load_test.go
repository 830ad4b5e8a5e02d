package load_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/load"
)

// An open connection that never carried a request delays the graceful stop of
// the server by seconds.
func TestRunLeavesNoConnectionOpen(t *testing.T) {
	g := gomega.NewWithT(t)
	var open atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
	s.Start()
	defer s.Close()
	sum := load.New([]string{s.URL}, 20, load.WithRate(1000)).Run(context.Background())
	g.Expect(sum.Answered).To(gomega.Equal(20))
	g.Eventually(open.Load, "10s").Should(gomega.BeZero())
}

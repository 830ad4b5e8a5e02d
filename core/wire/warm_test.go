package wire_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
)

// Guards against health checks whose warm-up is not read, or that make a target cold by a
// malformed one.
func TestWarmForOfHealthChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]time.Duration{
		"": 0, "0": 0, "2500": 2500 * time.Millisecond, "-1": 0, "1.5": 0, "soon": 0, "9000000000": wire.MaxWarmFor,
	} {
		header := http.Header{}
		header.Set(wire.HeaderWarm, text)
		g.Expect(wire.Spool().ParseHealth(http.StatusOK, header, "t").WarmFor).To(gomega.Equal(want), "%q", text)
	}
}

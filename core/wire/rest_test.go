package wire

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestParseRest(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]time.Duration{
		"": 0, "0": 0, "3": 3 * time.Second, "0.25": 250 * time.Millisecond, "1e300": MaxRest,
	} {
		rest, err := ParseRest(text)
		g.Expect(err).NotTo(gomega.HaveOccurred(), text)
		g.Expect(rest).To(gomega.Equal(want), text)
	}
	for _, text := range []string{"-1", "soon", "NaN", "Inf", "3s", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		_, err := ParseRest(text)
		g.Expect(err).To(gomega.MatchError(ErrRest), text)
	}
}

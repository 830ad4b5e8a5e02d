package wire_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/core/wire"
)

func TestParseLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, want := range map[string]wire.Limit{
		"": {}, "0": {Named: true}, "3.6": {Named: true, Rate: 3.6}, "120": {Named: true, Rate: 120},
	} {
		got, err := wire.ParseLimit(text)
		g.Expect(err).NotTo(gomega.HaveOccurred(), text)
		g.Expect(got).To(gomega.Equal(want), text)
		g.Expect(got.String()).To(gomega.Equal(text))
	}
	for _, text := range []string{"-1", "many", "NaN", "Inf", "1,5", " 3"} {
		_, err := wire.ParseLimit(text)
		g.Expect(err).To(gomega.MatchError(wire.ErrLimit), text)
	}
}

package slope_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cardamomspool/io/slope"
)

func TestFitComputesLineAndResidual(t *testing.T) {
	g := gomega.NewWithT(t)
	l := slope.Line{Points: []slope.Point{{Size: 0, Value: 1}, {Size: 1, Value: 4}, {Size: 2, Value: 5}}}
	g.Expect(l.Fit()).To(gomega.Succeed())
	g.Expect(l.Slope).To(gomega.BeNumerically("~", 2, 1e-9))
	g.Expect(l.Intercept).To(gomega.BeNumerically("~", 4.0/3, 1e-9))
	g.Expect(l.Residual).To(gomega.BeNumerically("~", 2.0/3, 1e-9))
	g.Expect(l.At(10)).To(gomega.BeNumerically("~", 64.0/3, 1e-9))
}

func TestFitNeedsTwoPoints(t *testing.T) {
	g := gomega.NewWithT(t)
	l := slope.Line{Points: []slope.Point{{Size: 1, Value: 1}}}
	g.Expect(l.Fit()).To(gomega.MatchError(slope.ErrPoints))
}

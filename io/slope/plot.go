package slope

import (
	"fmt"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws the points and the fitted line and writes them to the file at path,
// whose extension selects the format.
func (l *Line) Plot(path string) error {
	p := plot.New()
	p.Title.Text = l.Quantity
	p.X.Label.Text = l.Per
	p.Y.Label.Text = l.Unit
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(l.Points))
	for i, point := range l.Points {
		points[i] = plotter.XY{X: point.Size, Y: point.Value}
	}
	var (
		scatter *plotter.Scatter
		err     error
	)
	if scatter, err = plotter.NewScatter(points); err != nil {
		return errors.Wrap(err, "slope: plot")
	}
	fitted := plotter.NewFunction(l.At)
	p.Add(plotter.NewGrid(), scatter, fitted)
	p.Legend.Add(fmt.Sprintf("%.4g + %.4g per unit", l.Intercept, l.Slope), fitted)
	p.Legend.Top, p.Legend.Left = true, true
	if err = p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Wrap(err, "slope: plot")
	}
	return nil
}

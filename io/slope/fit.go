package slope

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

type (
	// Point is one measurement at one size.
	Point struct {
		// Size is the size that varies: a number of the things that Line.Per
		// names.
		Size float64 `json:"size"`
		// Value is the measured value, in the unit of its Line.
		Value float64 `json:"value"`
	}

	// Line is a line fitted to the measurements of one quantity.
	Line struct {
		// Quantity names what was measured.
		Quantity string `json:"quantity"`
		// Per names the things that the sizes of the points count: targets,
		// services, entries, changes, restarts or calls a second.
		Per string `json:"per"`
		// Unit is the unit of the values.
		Unit string `json:"unit"`
		// Points are the measurements.
		Points []Point `json:"points"`
		// Intercept is the fitted value at size 0.
		Intercept float64 `json:"intercept"`
		// Slope is the fitted growth of the value per unit of size.
		Slope float64 `json:"slope"`
		// Residual is the greatest absolute difference between the value of a
		// point and the line.
		Residual float64 `json:"residual"`
	}
)

// ErrPoints reports that a line has fewer than two points.
var ErrPoints = errors.New("slope: a line needs measurements at two sizes or more")

// Fit sets Intercept, Slope and Residual to those of the least-squares line through
// the points. It returns ErrPoints if there are fewer than two points.
func (l *Line) Fit() error {
	if len(l.Points) < 2 {
		return ErrPoints
	}
	x, y := make([]float64, len(l.Points)), make([]float64, len(l.Points))
	for i, p := range l.Points {
		x[i], y[i] = p.Size, p.Value
	}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	l.Residual = 0
	for _, p := range l.Points {
		l.Residual = max(l.Residual, math.Abs(p.Value-l.At(p.Size)))
	}
	return nil
}

// At returns the value of the fitted line at size.
func (l *Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}

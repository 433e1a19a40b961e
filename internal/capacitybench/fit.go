package capacitybench

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X, Y float64
}

// Line is a line fitted to measurements by least squares.
type Line struct {
	Name      string
	Unit      string
	XName     string
	Points    []Point
	Intercept float64
	Slope     float64
	// Residual is the root mean square distance of the measurements from the line.
	Residual float64
}

// Fit fits a line to the points by least squares.
func Fit(name, unit, xName string, points []Point) Line {
	var xs, ys []float64
	for _, p := range points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	l := Line{Name: name, Unit: unit, XName: xName, Points: points}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	var squares float64
	for _, p := range points {
		d := p.Y - l.At(p.X)
		squares += d * d
	}
	l.Residual = math.Sqrt(squares / float64(len(points)))
	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

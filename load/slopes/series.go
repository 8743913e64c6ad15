// Package slopes measures the cost of each role of the system per unit of what
// drives the cost: processor time, bytes and memory per agent, start, job,
// record and member. The role under measurement runs in one process; a second
// process, the peer, runs everything around it.
package slopes

import (
	"math"
	"slices"
)

// Point is a series' value at one size: the median of several samples with the
// lowest and the highest of them.
type Point struct {
	Size    float64 `json:"size"`
	Median  float64 `json:"median"`
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	Samples int     `json:"runs"`
}

// Series is one cost as a function of one driver.
type Series struct {
	Name SeriesName `json:"name"`
	// Driver names what a point's size counts; Unit is the unit of the values.
	Driver string  `json:"driver"`
	Unit   string  `json:"unit"`
	Note   string  `json:"note,omitempty"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Fit is the least-squares line through a series' medians.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the vertical distances to the line, in
	// the unit of the values.
	Residual float64 `json:"residual"`
}

// At returns the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Interpolate returns the value at a size by linear interpolation between the
// measured points, and the fit's value beyond them.
func (s Series) Interpolate(size float64) float64 {
	for i := 1; i < len(s.Points); i++ {
		a, b := s.Points[i-1], s.Points[i]
		if size >= a.Size && size <= b.Size {
			return a.Median + (b.Median-a.Median)*(size-a.Size)/(b.Size-a.Size)
		}
	}
	return s.Fit.At(size)
}

// summarize returns the point of a size from the values of one or more samples.
func summarize(size float64, values []float64) Point {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	median := sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + sorted[middle]) / 2
	}
	return Point{Size: size, Median: median, Low: sorted[0], High: sorted[len(sorted)-1], Samples: len(sorted)}
}

// LeastSquares fits a line through the points' medians.
func LeastSquares(points []Point) Fit {
	n := float64(len(points))
	if n == 0 {
		return Fit{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Median
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Median
	}
	var f Fit
	if d := n*sumXX - sumX*sumX; d != 0 {
		f.Slope = (n*sumXY - sumX*sumY) / d
	}
	f.Intercept = (sumY - f.Slope*sumX) / n
	var squares float64
	for _, p := range points {
		distance := p.Median - f.At(p.Size)
		squares += distance * distance
	}
	f.Residual = math.Sqrt(squares / n)
	return f
}

package slope

import "math"

// Point is one measurement: the quantity Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a fitted line.
type Line struct {
	// Base is the value at size 0, and Slope the rise for each unit of size.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Residual is the largest distance of a point from the line, as a fraction
	// of the largest value.
	Residual float64 `json:"residual"`
}

// Fit returns the line with the least squares of the distances. It is zero for
// fewer than two sizes.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	spread := n*sumXX - sumX*sumX
	if spread <= 0 {
		return Line{}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	l := Line{Base: (sumY - slope*sumX) / n, Slope: slope}
	l.Residual = l.residual(points)
	return l
}

// At returns the line's value at the size.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

func (l Line) residual(points []Point) float64 {
	var distance, largest float64
	for _, p := range points {
		distance = max(distance, math.Abs(p.Y-l.At(p.X)))
		largest = max(largest, math.Abs(p.Y))
	}
	if largest == 0 {
		return 0
	}
	return distance / largest
}

package slope

import "math"

// Point is one measurement: the value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a fitted straight line.
type Line struct {
	// Intercept is the value at size 0, and Slope the increase for each unit of
	// size.
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
	// Residual is the largest vertical distance of a point from the line, as a
	// fraction of the largest absolute value.
	Residual float64 `json:"residual"`
}

// Fit returns the least-squares line through the points, or the zero Line if they
// have fewer than two different sizes.
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
	l := Line{Intercept: (sumY - slope*sumX) / n, Slope: slope}
	l.Residual = l.residual(points)
	return l
}

// At returns the value of the line at the size x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

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

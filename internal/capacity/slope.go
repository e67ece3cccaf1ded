package main

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y at size X.
type Point struct{ X, Y float64 }

// Slope is a straight line fitted to measurements.
type Slope struct {
	Name     string
	Unit     string  // of Y
	Base     float64 // value at X = 0
	Each     float64 // increase of Y per unit of X
	Residual float64 // largest distance of a point from the line, as a share of its Y: large if Y is not linear in X
	Points   []Point
}

// fit returns the least-squares line through points.
func fit(name, unit string, points []Point) Slope {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	s := Slope{Name: name, Unit: unit, Points: points}
	s.Base, s.Each = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range points {
		if p.Y != 0 {
			s.Residual = max(s.Residual, math.Abs(s.At(p.X)-p.Y)/math.Abs(p.Y))
		}
	}
	return s
}

// At returns the value of the line at x.
func (s Slope) At(x float64) float64 { return s.Base + s.Each*x }

// measureDuration is how long an operation is repeated to measure its time.
const measureDuration = 150 * time.Millisecond

// timeOf returns the time of one call of do, in nanoseconds: the smallest mean of
// all batches of calls, since other load on the machine can only add time.
func timeOf(do func()) float64 {
	do()
	best := math.Inf(1)
	batch := 1
	for end := time.Now().Add(measureDuration); time.Now().Before(end); {
		started := time.Now()
		for range batch {
			do()
		}
		took := time.Since(started)
		best = min(best, float64(took.Nanoseconds())/float64(batch))
		if took < time.Millisecond {
			batch *= 2
		}
	}
	return best
}

// measure fits a line through the values of f at each of sizes.
func measure(name, unit string, sizes []int, f func(size int) float64) Slope {
	points := make([]Point, 0, len(sizes))
	for _, n := range sizes {
		points = append(points, Point{X: float64(n), Y: f(n)})
	}
	return fit(name, unit, points)
}

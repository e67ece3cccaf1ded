package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// plotColours are the colours of the curves, in order.
var plotColours = []color.RGBA{
	{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}, {R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff}, {R: 0x7f, G: 0x7f, B: 0x7f, A: 0xff},
}

// draw plots curves into an SVG file; x and y are the labels of the axes.
func draw(file, title, x, y string, curves ...curve) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	for i, c := range curves {
		line, dots, err := plotter.NewLinePoints(c.points)
		if err != nil {
			return fmt.Errorf("plot %s: %w", title, err)
		}
		line.Color, dots.Color = plotColours[i%len(plotColours)], plotColours[i%len(plotColours)]
		p.Add(line, dots)
		p.Legend.Add(c.name, line, dots)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, file); err != nil {
		return fmt.Errorf("plot %s: %w", title, err)
	}
	return nil
}

// drawMesh plots the rate of control bytes against the number of nodes.
func drawMesh(file string, runs []traffic) error {
	var allNodes, relays, roots curve
	allNodes.name, relays.name, roots.name = "mean of all nodes", "busiest relay", "busiest root"
	for _, t := range runs {
		n := float64(t.Nodes)
		allNodes.points = append(allNodes.points, plotter.XY{X: n, Y: t.IdleMean})
		relays.points = append(relays.points, plotter.XY{X: n, Y: t.IdleBusiest})
		roots.points = append(roots.points, plotter.XY{X: n, Y: t.IdleRoot})
	}
	return draw(file, "Control bytes, nothing changing", "nodes", "B/s sent and received", allNodes, relays, roots)
}

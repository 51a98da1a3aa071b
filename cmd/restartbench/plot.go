package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth     = 16 * vg.Centimeter
	plotHeight    = 10 * vg.Centimeter
	titleFontSize = vg.Length(10) // points
)

// figure is a plot on the page. Image is a data URL that contains the plot.
type figure struct {
	Title string
	Image template.URL
}

// newFigure plots a metric against the share of changed machines, for the scenarios with the given
// number of machines.
func newFigure(m metric, machines int, scenarios []scenario) (figure, error) {
	title := fmt.Sprintf("%s, %d machines (simulated)", m.name, machines)
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = titleFontSize
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Label.Text = "machines changed, %"
	p.Y.Label.Text = m.name
	if err := plotutil.AddLinePoints(p, plotLines(m, machines, scenarios)...); err != nil {
		return figure{}, err
	}
	image, err := encodeImage(p)
	return figure{title, image}, err
}

// plotLines returns the arguments of plotutil.AddLinePoints, which alternate between a name and a
// line. Each variant has a line of the mean values and a line of the highest values.
func plotLines(m metric, machines int, scenarios []scenario) []any {
	var names []string
	lines := map[string]plotter.XYs{}
	add := func(name string, x, y float64) {
		if lines[name] == nil {
			names = append(names, name)
		}
		lines[name] = append(lines[name], plotter.XY{X: x, Y: y})
	}
	for _, s := range scenarios {
		if s.machines != machines {
			continue
		}
		for _, v := range s.variants {
			values := m.summarize(v.results)
			add(v.name, percent(s.changedShare), values.mean)
			add(v.name+", highest", percent(s.changedShare), values.highest)
		}
	}
	var arguments []any
	for _, name := range names {
		arguments = append(arguments, name, lines[name])
	}
	return arguments
}

// encodeImage renders a plot as an SVG image in a data URL.
func encodeImage(p *plot.Plot) (template.URL, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(image.Bytes())), nil
}

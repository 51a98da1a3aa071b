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

// Sizes of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	titleSize  = vg.Length(10) // points
)

// figure is a plot on the page.
type figure struct {
	Title string
	Image template.URL
}

// newFigure plots a metric of the scenarios with one number of machines over the shares
// that changed.
func newFigure(m metric, machines int, scenarios []scenario) (figure, error) {
	title := fmt.Sprintf("%s, %d machines (simulated)", m.name, machines)
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = titleSize
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Label.Text = "machines changed, %"
	p.Y.Label.Text = m.name
	if err := plotutil.AddLinePoints(p, plotLines(m, machines, scenarios)...); err != nil {
		return figure{}, err
	}
	image, err := encodeImage(p)
	return figure{title, image}, err
}

// plotLines are a line of means and one of highest values for each variant, each after
// its name, as plotutil.AddLinePoints takes them.
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
			add(v.name, percent(s.changed), values.mean)
			add(v.name+", highest", percent(s.changed), values.highest)
		}
	}
	var arguments []any
	for _, name := range names {
		arguments = append(arguments, name, lines[name])
	}
	return arguments
}

// encodeImage draws a plot as an image that a page can contain.
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

package main

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/yarrowgap/yarrowgap/internal/restartsim"
)

// metric is one figure of a result.
type metric struct {
	name  string
	value func(restartsim.Result) float64
}

func inSeconds(d time.Duration) float64 { return d.Seconds() }

// metrics are what the table and the plots show.
var metrics = []metric{
	{"starts over need", func(r restartsim.Result) float64 { return float64(r.Issued.Starts - r.Needed.Starts) }},
	{"stops over need", func(r restartsim.Result) float64 { return float64(r.Issued.Stops - r.Needed.Stops) }},
	{"machines rented over need", func(r restartsim.Result) float64 { return float64(r.Issued.Provisioned - r.Needed.Provisioned) }},
	{"machines given back over need", func(r restartsim.Result) float64 { return float64(r.Issued.Released - r.Needed.Released) }},
	{"calls to the state service", func(r restartsim.Result) float64 { return float64(r.KVStoreCalls) }},
	{"calls to the cloud", func(r restartsim.Result) float64 { return float64(r.CloudCalls) }},
	{"direct calls", func(r restartsim.Result) float64 { return float64(r.DirectCalls) }},
	{"first new start, s", func(r restartsim.Result) float64 { return inSeconds(r.FirstStartAfter) }},
	{"settled, s", func(r restartsim.Result) float64 { return inSeconds(r.SettledAfter) }},
	{"worst team whole, s", func(r restartsim.Result) float64 { return inSeconds(r.LastTeamAfter) }},
	{"worst machine heard, s", func(r restartsim.Result) float64 { return inSeconds(r.LastMachineAfter) }},
	{"broken rules", func(r restartsim.Result) float64 { return float64(len(r.Violations)) }},
}

// summary is the least, the mean and the most of a measure over seeds.
type summary struct{ lowest, mean, highest float64 }

func (m metric) summarize(results []restartsim.Result) summary {
	s := summary{lowest: m.value(results[0]), highest: m.value(results[0])}
	for _, r := range results {
		v := m.value(r)
		s.lowest, s.highest = min(s.lowest, v), max(s.highest, v)
		s.mean += v / float64(len(results))
	}
	return s
}

func (s summary) String() string {
	if s.lowest == s.highest {
		return fmt.Sprintf("%.4g", s.mean)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.mean, s.lowest, s.highest)
}

// printTable writes a Markdown table: means over the seeds, in brackets their range.
func printTable(w io.Writer, scenarios []*scenario) error {
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(tw, "| machines, changed\t| recovery\t|")
	for _, m := range metrics {
		fmt.Fprintf(tw, " %s\t|", m.name)
	}
	fmt.Fprintln(tw)
	for _, s := range scenarios {
		for i, results := range [][]restartsim.Result{s.withoutRecovery, s.withRecovery} {
			fmt.Fprintf(tw, "| %d, %g%%\t| %s\t|", s.machines, 100*s.changed, []string{"off", "on"}[i])
			for _, m := range metrics {
				fmt.Fprintf(tw, " %v\t|", m.summarize(results))
			}
			fmt.Fprintln(tw)
		}
	}
	return tw.Flush()
}

// Sizes of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	titleSize  = vg.Length(10) // points
)

// figure is a plot of the page.
type figure struct {
	Title string
	Image template.URL
}

// drawPlot plots a measure of one size of fleet over the shares that changed.
func drawPlot(m metric, machines int, scenarios []*scenario) (figure, error) {
	p := plot.New()
	title := fmt.Sprintf("%s, %d machines (simulated)", m.name, machines)
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = titleSize
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Label.Text = "machines changed, %"
	p.Y.Label.Text = m.name
	lines := map[string]plotter.XYs{}
	for _, s := range scenarios {
		if s.machines != machines {
			continue
		}
		for i, results := range [][]restartsim.Result{s.withoutRecovery, s.withRecovery} {
			kind := []string{"off", "on"}[i]
			v := m.summarize(results)
			lines[kind] = append(lines[kind], plotter.XY{X: 100 * s.changed, Y: v.mean})
			lines[kind+", most"] = append(lines[kind+", most"], plotter.XY{X: 100 * s.changed, Y: v.highest})
		}
	}
	if err := plotutil.AddLinePoints(p, "off", lines["off"], "off, most", lines["off, most"], "on", lines["on"], "on, most", lines["on, most"]); err != nil {
		return figure{}, err
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return figure{}, err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return figure{}, err
	}
	data := "data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(image.Bytes())
	return figure{title, template.URL(data)}, nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Restarts of all controllers</title>
<style>body{font-family:sans-serif;margin:2em} pre{overflow-x:auto} img{margin:0.5em}</style></head>
<body><h1>Restarts of all controllers</h1>
<p>Simulated: stand-in machines, state service and cloud; processors cost nothing. Each
point is the mean over the seeds, beside the most of them.</p>
<pre>{{.Table}}</pre>
{{range .Figures}}<img src="{{.Image}}" alt="{{.Title}}">{{end}}
</body></html>
`))

// writePage writes the page, which needs nothing beside itself.
func writePage(path string, scenarios []*scenario) error {
	var table bytes.Buffer
	if err := printTable(&table, scenarios); err != nil {
		return err
	}
	content := struct {
		Table   string
		Figures []figure
	}{Table: table.String()}
	sizes := map[int]bool{}
	for _, s := range scenarios {
		if sizes[s.machines] {
			continue
		}
		sizes[s.machines] = true
		for _, m := range metrics {
			f, err := drawPlot(m, s.machines, scenarios)
			if err != nil {
				return err
			}
			content.Figures = append(content.Figures, f)
		}
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, content); err != nil {
		return err
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

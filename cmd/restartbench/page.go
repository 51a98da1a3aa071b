package main

import (
	"bytes"
	"html/template"
	"os"
	"path/filepath"
	"slices"
)

const (
	pageMode      = 0o644
	directoryMode = 0o755
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Restarts of all controllers</title>
<style>body{font-family:sans-serif;margin:2em} pre{overflow-x:auto} img{margin:0.5em}</style></head>
<body><h1>Restarts of all controllers</h1>
<p>Simulated machines, key-value store and cloud; processors cost nothing. Each point is
the mean over the seeds, beside the highest value of them.</p>
<pre>{{.Table}}</pre>
{{range .Figures}}<img src="{{.Image}}" alt="{{.Title}}">{{end}}
</body></html>
`))

// page holds the data for pageTemplate.
type page struct {
	Table   string
	Figures []figure
}

// writePage writes the HTML page to path, with all plots embedded in it. It creates missing parent
// directories.
func writePage(path string, scenarios []scenario) error {
	content, err := newPage(scenarios)
	if err != nil {
		return err
	}
	var rendered bytes.Buffer
	if err := pageTemplate.Execute(&rendered, content); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return err
	}
	return os.WriteFile(path, rendered.Bytes(), pageMode)
}

func newPage(scenarios []scenario) (page, error) {
	var table bytes.Buffer
	if err := writeTable(&table, scenarios); err != nil {
		return page{}, err
	}
	content := page{Table: table.String()}
	for _, machines := range machineCounts(scenarios) {
		for _, m := range metrics {
			f, err := newFigure(m, machines, scenarios)
			if err != nil {
				return page{}, err
			}
			content.Figures = append(content.Figures, f)
		}
	}
	return content, nil
}

// machineCounts returns the distinct numbers of machines, in the order of the scenarios.
func machineCounts(scenarios []scenario) []int {
	var counts []int
	for _, s := range scenarios {
		if !slices.Contains(counts, s.machines) {
			counts = append(counts, s.machines)
		}
	}
	return counts
}

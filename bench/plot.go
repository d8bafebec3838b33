package main

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plotAll writes an SVG bar chart for each measure, with a bar for each deployment and
// policy.
func plotAll(dir string, rows []row) error {
	var order []string
	groups := make(map[string][]row)
	for _, r := range rows {
		if groups[r.measure] == nil {
			order = append(order, r.measure)
		}
		groups[r.measure] = append(groups[r.measure], r)
	}
	for _, measure := range order {
		if err := plotMeasure(dir, measure, groups[measure]); err != nil {
			return err
		}
	}
	return nil
}

func plotMeasure(dir, measure string, rows []row) error {
	p := plot.New()
	p.Title.Text = measure
	p.Y.Label.Text = rows[0].unit
	p.Y.Min = 0
	values := make(plotter.Values, len(rows))
	labels := make([]string, len(rows))
	for i, r := range rows {
		values[i], labels[i] = r.value, r.deployment+"\n"+r.policy
	}
	bars, err := plotter.NewBarChart(values, vg.Points(28))
	if err != nil {
		return fmt.Errorf("plot %s: %w", measure, err)
	}
	bars.Color = color.RGBA{R: 70, G: 110, B: 160, A: 255}
	p.Add(bars)
	p.NominalX(labels...)
	name := strings.NewReplacer(" ", "-", "/", "per").Replace(measure) + ".svg"
	width := vg.Length(len(rows))*vg.Points(84) + vg.Points(90)
	if err := p.Save(width, vg.Points(300), filepath.Join(dir, name)); err != nil {
		return fmt.Errorf("plot %s: %w", measure, err)
	}
	return nil
}

package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
)

// aimReference selects the value that an aim refers to.
type aimReference int

const (
	noAim aimReference = iota
	ofValue
	ofBaseline
	ofBound
)

// row is a row of the table.
type row struct {
	deployment, measure, policy, unit string
	value                             float64
	// baselineRatio and boundRatio are the ratios of value to the best baseline and to the bound;
	// 0 if there is none.
	baselineRatio, boundRatio float64
	aim, verdict              string
}

// comparison holds the results of one measure for one deployment.
type comparison struct {
	deployment, measure, unit string
	// higherIsBetter means that higher values are better.
	higherIsBetter bool
	// aim is the limit to be met by the value or ratio that aimOf selects.
	aim   float64
	aimOf aimReference
	// bound is the best possible value; if 0, that of the clairvoyant policy is used.
	bound  float64
	names  []string
	values []float64
}

func (c *comparison) add(policy string, value float64) {
	c.names = append(c.names, policy)
	c.values = append(c.values, value)
}

// bestBaseline returns the best value among the baselines; 0 if there is none.
func (c *comparison) bestBaseline() float64 {
	var best float64
	found := false
	for i, n := range c.names {
		v := c.values[i]
		if n == bulrushpathName || n == clairvoyantName {
			continue
		}
		if !found || c.higherIsBetter == (v > best) {
			best, found = v, true
		}
	}
	return best
}

// rows returns a row for each policy, with its ratios to the best baseline and to the
// bound.
func (c *comparison) rows() []row {
	bound := c.bound
	for i, n := range c.names {
		if n == clairvoyantName && bound == 0 {
			bound = c.values[i]
		}
	}
	best := c.bestBaseline()
	var out []row
	for i, n := range c.names {
		r := row{deployment: c.deployment, measure: c.measure, policy: n, unit: c.unit, value: c.values[i]}
		if best > 0 {
			r.baselineRatio = r.value / best
		}
		if bound > 0 {
			r.boundRatio = r.value / bound
		}
		if n == bulrushpathName {
			c.evaluateAim(&r)
		}
		out = append(out, r)
	}
	return out
}

// evaluateAim sets the aim and the verdict of the row of bulrushpath's own policy.
func (c *comparison) evaluateAim(r *row) {
	v, what := r.value, "value"
	switch c.aimOf {
	case noAim:
		return
	case ofBaseline:
		v, what = r.baselineRatio, "baseline"
	case ofBound:
		v, what = r.boundRatio, "bound"
	}
	sign, met := "<=", v <= c.aim
	if c.higherIsBetter {
		sign, met = ">=", v >= c.aim
	}
	r.aim = fmt.Sprintf("%s %s %.3g", what, sign, c.aim)
	r.verdict = map[bool]string{true: "met", false: "missed"}[met]
}

var tableHeader = []string{"deployment", "measure", "policy", "value", "unit", "of best baseline", "of bound", "aim", "verdict"}

func (r row) fields() []string {
	ratio := func(x float64) string {
		if x == 0 {
			return "-"
		}
		return strconv.FormatFloat(x, 'f', 3, 64)
	}
	return []string{
		r.deployment, r.measure, r.policy, strconv.FormatFloat(r.value, 'g', 4, 64), r.unit,
		ratio(r.baselineRatio), ratio(r.boundRatio), r.aim, r.verdict,
	}
}

// printTable writes the rows as an aligned text table.
func printTable(out io.Writer, rows []row) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(fields []string) {
		for _, f := range fields {
			_, _ = fmt.Fprintf(tw, "%s\t", f)
		}
		_, _ = fmt.Fprintln(tw)
	}
	line(tableHeader)
	for _, r := range rows {
		line(r.fields())
	}
	return tw.Flush()
}

// writeCSV writes the rows to a CSV file.
func writeCSV(path string, rows []row) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create table: %w", err)
	}
	defer func() {
		if e := f.Close(); err == nil && e != nil {
			err = fmt.Errorf("close table: %w", e)
		}
	}()
	w := csv.NewWriter(f)
	if err := w.Write(tableHeader); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	for _, r := range rows {
		if err := w.Write(r.fields()); err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	w.Flush()
	return w.Error()
}

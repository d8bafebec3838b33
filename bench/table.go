package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
)

// reference selects the value that an aim refers to.
type reference int

const (
	noAim reference = iota
	ofValue
	ofBaseline
	ofBound
)

// row is a row of the table.
type row struct {
	site, measure, policy, unit string
	value                       float64
	// baseline and bound are the ratios of value to the best baseline and to the bound;
	// 0 if there is none.
	baseline, bound float64
	aim, verdict    string
}

// block holds the results of one measure for one deployment.
type block struct {
	site, measure, unit string
	// higher means that higher values are better.
	higher bool
	// aim is the limit to be met by the value or ratio that of selects.
	aim float64
	of  reference
	// bound is the best possible value; if 0, that of the clairvoyant policy is used.
	bound  float64
	names  []string
	values []float64
}

func (b *block) add(policy string, value float64) {
	b.names = append(b.names, policy)
	b.values = append(b.values, value)
}

// best returns the best value among the baselines; 0 if there is none.
func (b *block) best() float64 {
	var best float64
	found := false
	for i, n := range b.names {
		v := b.values[i]
		if n == ownName || n == boundName {
			continue
		}
		if !found || b.higher == (v > best) {
			best, found = v, true
		}
	}
	return best
}

// rows returns a row for each policy, with its ratios to the best baseline and to the
// bound.
func (b *block) rows() []row {
	bound := b.bound
	for i, n := range b.names {
		if n == boundName && bound == 0 {
			bound = b.values[i]
		}
	}
	best := b.best()
	var out []row
	for i, n := range b.names {
		r := row{site: b.site, measure: b.measure, policy: n, unit: b.unit, value: b.values[i]}
		if best > 0 {
			r.baseline = r.value / best
		}
		if bound > 0 {
			r.bound = r.value / bound
		}
		if n == ownName {
			b.judge(&r)
		}
		out = append(out, r)
	}
	return out
}

// judge sets the aim and the verdict of the row of bulrushpath's own policy.
func (b *block) judge(r *row) {
	v, what := r.value, "value"
	switch b.of {
	case noAim:
		return
	case ofBaseline:
		v, what = r.baseline, "baseline"
	case ofBound:
		v, what = r.bound, "bound"
	}
	sign, met := "<=", v <= b.aim
	if b.higher {
		sign, met = ">=", v >= b.aim
	}
	r.aim = fmt.Sprintf("%s %s %.3g", what, sign, b.aim)
	r.verdict = map[bool]string{true: "met", false: "missed"}[met]
}

var header = []string{"deployment", "measure", "policy", "value", "unit", "of best baseline", "of bound", "aim", "verdict"}

func (r row) fields() []string {
	ratio := func(x float64) string {
		if x == 0 {
			return "-"
		}
		return strconv.FormatFloat(x, 'f', 3, 64)
	}
	return []string{
		r.site, r.measure, r.policy, strconv.FormatFloat(r.value, 'g', 4, 64), r.unit,
		ratio(r.baseline), ratio(r.bound), r.aim, r.verdict,
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
	line(header)
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
	if err := w.Write(header); err != nil {
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

// Command bulrush-bench compares the decisions of lib/route, lib/admit and lib/place
// with baseline policies, in a discrete-event simulation with a simple service model. It
// also measures how their time and memory grow with the numbers of targets, models and
// queued requests.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

type flags struct {
	Measure measureCmd `cmd:"" default:"withargs" help:"Simulate both deployments and print a table with the results of the four measures."`
	Scaling scalingCmd `cmd:"" name:"slopes" help:"Measure how time and memory scale with the number of targets and models."`
}

// measureCmd simulates both deployments and reports the four measures.
type measureCmd struct {
	Seed     uint64 `default:"1" help:"Seed of the simulation."`
	Examples string `default:"examples" type:"existingdir" help:"Directory with the operators' files of the deployments."`
	Out      string `default:"out" help:"Directory for the table as CSV and the plots as SVG."`
	Only     []int  `help:"Numbers of the measures to run, 1 to 4; all by default."`
	Runs     bool   `help:"Also print one line per simulation run."`
}

// Run runs the simulations and writes the table, the CSV file and the plots.
func (c *measureCmd) Run() error {
	list, err := deployments(c.Examples)
	if err != nil {
		return err
	}
	rows, experiments := measureAll(list, c.Seed, c.Only)
	if c.Runs {
		for _, exp := range experiments {
			fmt.Println(exp.summary())
		}
	}
	if err := printTable(os.Stdout, rows); err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("create output directory: %w", err)
	}
	if err := writeCSV(filepath.Join(c.Out, "measures.csv"), rows); err != nil {
		return err
	}
	return plotAll(c.Out, rows)
}

func main() {
	var f flags
	ctx := kong.Parse(&f, kong.Name("bulrush-bench"),
		kong.Description("Measures routing, admission and placement in virtual time."))
	ctx.FatalIfErrorf(ctx.Run())
}

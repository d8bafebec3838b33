// Command bulrush-load sends a reproducible mix of requests to the entry
// instances, verifies every response byte for byte and reports the outcomes.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"bulrushpath.example/load/drive"
	"bulrushpath.example/load/mixed"
	"bulrushpath.example/load/report"
)

type flags struct {
	Entry        []netip.AddrPort `required:"" help:"Addresses of the entry instances."`
	Model        []mixed.Model    `help:"Model to request: NAME@VERSION[|VERSION...][+ADAPTER...]; repeatable."`
	Route        []mixed.Route    `help:"Non-idempotent route to call: SERVICE:METHOD:/PATH; repeatable."`
	Seed         uint64           `default:"1" help:"Seed of the request mix."`
	Time         time.Duration    `default:"15s" help:"How long to start new requests."`
	Rate         float64          `default:"60" help:"Requests per second."`
	InFlight     int              `default:"1000" help:"Maximum number of concurrent requests; at the limit, sending blocks."`
	Plain        []netip.AddrPort `help:"Addresses of the plain stand-ins whose executions are audited."`
	Journal      []string         `type:"existingfile" help:"Journals of plain stand-ins, instead of their addresses."`
	Audit        []netip.AddrPort `help:"Addresses of the engine stand-ins whose memory is audited."`
	MinCompleted float64          `help:"Minimum share of completed requests, 0 to 1."`
	JSON         string           `name:"json" placeholder:"FILE" help:"Also write the report as JSON; - for standard output."`
}

// Validate is called by kong after parsing.
func (f *flags) Validate() error {
	switch {
	case len(f.Model) == 0 && len(f.Route) == 0:
		return fmt.Errorf("at least one --model or --route is required")
	case f.Rate <= 0 || f.Time <= 0 || f.InFlight <= 0:
		return fmt.Errorf("--rate, --time and --in-flight must be positive")
	case f.MinCompleted < 0 || f.MinCompleted > 1:
		return fmt.Errorf("--min-completed must be between 0 and 1")
	}
	return nil
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("bulrush-load"),
		kong.Description("Sends a mixed load, verifies every response and prints a report. "+
			"Exit codes: 0 if no check of the report failed, 1 otherwise."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ok, err := run(ctx, &f)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func run(ctx context.Context, f *flags) (bool, error) {
	rec := report.NewRecorder()
	drive.Send(ctx, drive.Options{
		Entries: f.Entry, Models: f.Model, Routes: f.Route,
		Seed: f.Seed, Duration: f.Time, Rate: f.Rate, MaxInFlight: f.InFlight,
	}, rec)
	runs, err := drive.Executions(f.Plain, f.Journal)
	if err != nil {
		return false, err
	}
	s := rec.Summarize(runs, drive.MemoryAudits(f.Audit), f.MinCompleted)
	if err := s.Print(os.Stdout); err != nil {
		return false, err
	}
	return s.OK, writeJSON(s, f.JSON)
}

func writeJSON(s report.Summary, path string) error {
	switch path {
	case "":
		return nil
	case "-":
		return s.JSON(os.Stdout)
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create report: %w", err)
	}
	if err := s.JSON(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("write report: %w", err)
	}
	return file.Close()
}

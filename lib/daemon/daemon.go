// Package daemon provides what all daemons share: settings, logging, metrics,
// tracing, periodic tasks and signal handling.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"
	tally "github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"bulrushpath.example/lib/accept"
	"bulrushpath.example/lib/check"
)

// Exit codes of the daemons.
const (
	exitFailed   = 1
	exitSettings = 2
)

// Process holds the facilities that Main and Run provide to a daemon.
type Process struct {
	Common Common
	Log    *log.Logger
	Scope  tally.Scope
	Tracer trace.Tracer
	// Conns holds the connections of all listeners, within the limits of Common; nil sets none.
	Conns *accept.Group
}

// Flags holds the command-line arguments of a daemon.
type Flags struct {
	Settings string `arg:"" type:"existingfile" help:"INI file with the settings of this process."`
	Check    bool   `help:"Check the settings, report all findings and exit."`
}

// Main parses the command line and the settings file, sets up logging, metrics and
// tracing, and calls run with a context that is cancelled on SIGTERM or SIGINT. It
// returns the exit code: 0 on success, 1 on failure, 2 if the settings are invalid or
// cannot be read.
func Main(program, usage string, s Settings, common *Common,
	run func(ctx context.Context, p *Process) error,
) int {
	var flags Flags
	kong.Parse(&flags, kong.Name("bulrush-"+program), kong.Description(usage))
	return Run(program, flags, s, common, run)
}

// Run is like Main for a program that has parsed its command line itself.
func Run(program string, flags Flags, s Settings, common *Common,
	run func(ctx context.Context, p *Process) error,
) int {
	if err := LoadSettings(flags.Settings, s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if flags.Check {
		fmt.Println("settings are valid")
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	memoryCtx, stopMemory := context.WithCancel(context.Background())
	defer stopMemory()
	go limitMemory(memoryCtx, common.MemoryMB)
	p, closeProcess, err := start(program, *common)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	p.Log.Info().Str("event", "started").Str("program", program).Msg("")
	err = run(ctx, p)
	if err != nil {
		p.Log.Error().Str("event", "failed").Err(err).Msg("")
	} else {
		p.Log.Info().Str("event", "stopped").Msg("")
	}
	closeProcess()
	var findings *check.Error
	switch {
	case errors.As(err, &findings):
		return exitSettings
	case err != nil:
		return exitFailed
	}
	return 0
}

func start(program string, c Common) (*Process, func(), error) {
	scope, metrics, closeScope := newMetrics(program)
	tracer, stopTracer, err := newTracer(program, c)
	if err != nil {
		return nil, nil, err
	}
	conns := newConns(c, scope)
	connsCtx, stopConns := context.WithCancel(context.Background())
	srv, err := serveMetrics(c, conns, metrics)
	if err != nil {
		stopConns()
		return nil, nil, err
	}
	go conns.Run(connsCtx)
	logs := newLogWriter(os.Stdout)
	p := &Process{Common: c, Log: NewLogger(logs, c.LogLevel, c.Name), Scope: scope, Tracer: tracer, Conns: conns}
	return p, func() {
		defer stopConns()
		defer func() { _ = logs.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if srv != nil {
			_ = srv.Close()
		}
		_ = stopTracer(ctx)
		_ = closeScope.Close()
	}, nil
}

func serveMetrics(c Common, conns *accept.Group, h http.Handler) (*http.Server, error) {
	if !c.Metrics.IsValid() {
		return nil, nil
	}
	ln, err := conns.Listen(c.Metrics, accept.Limits{Conns: c.maxConns(shareMetrics), HeaderBytes: int(c.MaxHeader)})
	if err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", newScraper(h))
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/symbol", pprof.Symbol)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ln.Attach(srv, nil)
	go func() { _ = srv.Serve(ln) }()
	return srv, nil
}

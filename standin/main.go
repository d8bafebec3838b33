// Command bulrush-standin runs a simulated model engine, weight store or plain
// service for tests.
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

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/inidoc"
	"bulrushpath.example/standin/engine"
	"bulrushpath.example/standin/plain"
	"bulrushpath.example/standin/weigh"
)

type flags struct {
	LogLevel string     `default:"info" enum:"debug,info,warn,error" help:"Log level."`
	Engine   engineCmd  `cmd:"" help:"Run a simulated model engine."`
	Weights  weightsCmd `cmd:"" help:"Run a simulated weight store."`
	Plain    plainCmd   `cmd:"" help:"Run a simulated plain service."`
}

type engineCmd struct {
	Listen       netip.AddrPort `required:"" help:"Address to serve."`
	Store        string         `help:"Address of the weight store; if empty, every load takes --load-time."`
	Memory       inidoc.Bytes   `default:"80GiB" help:"Accelerator memory."`
	Slots        int            `default:"8" help:"Maximum batch size."`
	Queue        int            `default:"32" help:"Requests that may wait for a slot; more are rejected with 429."`
	Fencing      bool           `default:"true" negatable:"" help:"Reject commands with a stale fencing token."`
	Strict       bool           `default:"true" negatable:"" help:"Reject loads that do not fit into memory."`
	TokenTime    time.Duration  `default:"10ms" help:"Time per token at batch size 1."`
	BatchCost    float64        `default:"0.03" help:"Share of the token time added by each further request of the batch."`
	FirstTime    time.Duration  `default:"20ms" help:"Time to first token of a fully cached prompt."`
	PrefillTime  time.Duration  `default:"20ms" help:"Prefill time per KiB of uncached prompt."`
	CacheBlocks  int            `default:"4096" help:"Size of the prefix cache in blocks of 64 bytes."`
	LoadTime     time.Duration  `default:"200ms" help:"Duration of a load without a weight store."`
	UnloadTime   time.Duration  `default:"20ms" help:"Duration of an unload."`
	ReportLag    time.Duration  `default:"500ms" help:"Age of the reported load."`
	AdapterMin   time.Duration  `default:"5ms" help:"Minimum time added by an adapter."`
	AdapterMax   time.Duration  `default:"10ms" help:"Maximum time added by an adapter, within --adapter-limit."`
	AdapterLimit int            `default:"40" help:"Concurrent requests with an adapter above which the added time grows."`
	CrashMarker  string         `help:"Crash on prompts that contain this text."`
	CrashTime    time.Duration  `default:"2s" help:"Downtime after such a crash."`
	LeaveTime    time.Duration  `default:"3s" help:"Minimum time between SIGTERM and exit."`
}

// Run serves until SIGTERM or SIGINT. It then drains: it rejects new requests, and
// returns once all accepted ones have finished and LeaveTime has passed.
func (c *engineCmd) Run(f *flags) error {
	var store netip.AddrPort
	if c.Store != "" {
		var err error
		if store, err = netip.ParseAddrPort(c.Store); err != nil {
			return fmt.Errorf("flag --store: %w", err)
		}
	}
	e, err := engine.Start(engine.Config{
		Listen: c.Listen, Store: store, MemoryBytes: uint64(c.Memory), Slots: c.Slots, QueueLimit: c.Queue,
		Fencing: c.Fencing, Strict: c.Strict, TokenTime: c.TokenTime, BatchCost: c.BatchCost,
		FirstTokenTime: c.FirstTime, PrefillTime: c.PrefillTime, CacheBlocks: c.CacheBlocks,
		LoadTime: c.LoadTime, UnloadTime: c.UnloadTime, ReportLag: c.ReportLag,
		AdapterMin: c.AdapterMin, AdapterMax: c.AdapterMax, AdapterLimit: c.AdapterLimit,
		CrashMarker: c.CrashMarker, CrashTime: c.CrashTime,
		Log: daemon.NewLogger(os.Stderr, f.LogLevel, "engine "+c.Listen.String()),
	})
	if err != nil {
		return fmt.Errorf("start engine: %w", err)
	}
	defer e.Close()
	awaitSignal()
	e.Leave()
	drainStart := time.Now()
	for time.Since(drainStart) < c.LeaveTime || e.Pending() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

type weightsCmd struct {
	Listen       netip.AddrPort `required:"" help:"Address to serve."`
	Rate         float64        `default:"1.4" help:"Model loads started per second; 0 for no limit."`
	Burst        int            `default:"5" help:"Model loads that may start in a burst."`
	AtOnce       int            `default:"5" help:"Concurrent model loads served at full speed."`
	LoadTime     time.Duration  `default:"2s" help:"Duration of a model load at full speed."`
	AdapterMin   time.Duration  `default:"5ms" help:"Minimum duration of an adapter load."`
	AdapterMax   time.Duration  `default:"10ms" help:"Maximum duration of an adapter load, within --adapter-limit."`
	AdapterLimit int            `default:"40" help:"Concurrent adapter loads above which the duration grows."`
}

// Run serves until SIGTERM or SIGINT.
func (c *weightsCmd) Run() error {
	s, err := weigh.Start(weigh.Config{
		Listen: c.Listen, LoadsPerSecond: c.Rate, Burst: c.Burst, FullSpeedLoads: c.AtOnce, LoadTime: c.LoadTime,
		AdapterMin: c.AdapterMin, AdapterMax: c.AdapterMax, AdapterLimit: c.AdapterLimit,
	})
	if err != nil {
		return fmt.Errorf("start weight store: %w", err)
	}
	defer s.Close()
	awaitSignal()
	return nil
}

type plainCmd struct {
	Listen    netip.AddrPort `required:"" help:"Address to serve."`
	Time      time.Duration  `default:"2ms" help:"Duration of a call."`
	Journal   string         `help:"File that records executions across restarts."`
	LeaveTime time.Duration  `default:"3s" help:"Time between SIGTERM and exit."`
}

// Run serves until SIGTERM or SIGINT. It then reports unhealthy, keeps serving for
// LeaveTime, and returns.
func (c *plainCmd) Run(f *flags) error {
	s, err := plain.Start(plain.Config{
		Listen: c.Listen, CallTime: c.Time, Journal: c.Journal,
		Log: daemon.NewLogger(os.Stderr, f.LogLevel, "plain "+c.Listen.String()),
	})
	if err != nil {
		return fmt.Errorf("start plain service: %w", err)
	}
	defer s.Close()
	awaitSignal()
	s.Leave()
	time.Sleep(c.LeaveTime)
	return nil
}

func awaitSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Name("bulrush-standin"),
		kong.Description("Simulated engines, weight store and plain services for tests."))
	k.FatalIfErrorf(k.Run(&f))
}

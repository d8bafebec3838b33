// Package engine is a simulated model engine. It serves the protocol of
// docs/engine.md with simulated token times, memory and faults.
package engine

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bulrushpath.example/standin/host"
)

// Config configures an engine; see DefaultConfig.
type Config struct {
	Listen netip.AddrPort
	// Store is the address of the weight store; if unset, a load takes LoadTime.
	Store       netip.AddrPort
	MemoryBytes uint64
	// Slots is the maximum batch size.
	Slots int
	// QueueLimit is how many requests may wait for a slot; more are rejected with 429.
	QueueLimit int
	// Fencing rejects commands with a stale fencing token.
	Fencing bool
	// Strict rejects a load that does not fit into memory. Without it the load
	// succeeds and is counted as an overcommit.
	Strict bool
	// TokenTime is the time per token at batch size 1.
	TokenTime time.Duration
	// BatchCost is the share of TokenTime that every further request of the batch adds.
	BatchCost float64
	// FirstTokenTime is the time to first token of a fully cached prompt.
	FirstTokenTime time.Duration
	// PrefillTime is added per KiB of prompt that is not in the prefix cache.
	PrefillTime time.Duration
	// CacheBlocks limits the prefix cache; a block holds 64 bytes of a prompt.
	CacheBlocks int
	LoadTime    time.Duration
	UnloadTime  time.Duration
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// AdapterMin and AdapterMax bound the time that a request with an adapter
	// adds while no more than AdapterLimit of them are in flight.
	AdapterMin, AdapterMax time.Duration
	AdapterLimit           int
	// CrashMarker makes the engine crash on prompts that contain it.
	CrashMarker string
	// CrashTime is the downtime after such a crash.
	CrashTime time.Duration
	Log       *log.Logger
}

// DefaultConfig returns the configuration of a small, fast engine on a free loopback port.
func DefaultConfig() Config {
	return Config{
		Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
		MemoryBytes: 80 << 30, Slots: 8, QueueLimit: 32,
		Fencing: true, Strict: true,
		TokenTime: 10 * time.Millisecond, BatchCost: 0.03,
		FirstTokenTime: 20 * time.Millisecond, PrefillTime: 20 * time.Millisecond, CacheBlocks: 4096,
		LoadTime: 200 * time.Millisecond, UnloadTime: 20 * time.Millisecond,
		ReportLag:  500 * time.Millisecond,
		AdapterMin: 5 * time.Millisecond, AdapterMax: 10 * time.Millisecond, AdapterLimit: 40,
		CrashTime: 2 * time.Second,
	}
}

// Engine is a running engine. It survives simulated crashes; each boot starts with
// nothing resident.
type Engine struct {
	cfg Config
	srv *host.Server

	mu sync.Mutex
	// boot is the current boot. After a crash it is stopped once the server is down,
	// and replaced before the server is up again.
	boot   *boot
	closed chan struct{}
	wg     sync.WaitGroup

	faults faultState
	audit  auditState
}

// Start starts an engine.
func Start(cfg Config) (*Engine, error) {
	e := &Engine{cfg: cfg, closed: make(chan struct{})}
	e.faults.crashMarker = cfg.CrashMarker
	e.faults.crashTime = cfg.CrashTime
	e.audit.MemoryBytes = cfg.MemoryBytes
	e.audit.MaxRunning = make(map[string]int)
	e.startBoot()
	srv, err := host.Listen(cfg.Listen, e.routes())
	if err != nil {
		e.currentBoot().stop()
		return nil, err
	}
	e.srv = srv
	return e, nil
}

// Addr returns the address that the engine serves.
func (e *Engine) Addr() netip.AddrPort { return e.srv.Addr() }

// Close stops the engine immediately and waits for its goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	select {
	case <-e.closed:
	default:
		close(e.closed)
	}
	e.mu.Unlock()
	e.wg.Wait()
	e.srv.Down()
	e.currentBoot().stop()
	e.srv.Close()
}

func (e *Engine) currentBoot() *boot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

func (e *Engine) startBoot() {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	b := newBoot(e, hex.EncodeToString(id))
	e.mu.Lock()
	e.boot = b
	e.mu.Unlock()
	e.audit.update(func(a *Audit) { a.Boots++ })
	e.logEvent("booted", b.id)
}

// crash drops all connections and the state of boot b, and boots again after downtime.
func (e *Engine) crash(b *boot, downtime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.closed:
		return
	default:
	}
	if e.boot != b || b.crashed {
		return
	}
	b.crashed = true
	e.wg.Go(func() {
		e.logEvent("crashed", b.id)
		e.audit.update(func(a *Audit) { a.Crashes++ })
		b.cancel()
		e.srv.Down()
		b.stop()
		select {
		case <-e.closed:
			return
		case <-time.After(downtime):
		}
		e.startBoot()
		if err := e.srv.Up(); err != nil && e.cfg.Log != nil {
			e.cfg.Log.Error().Str("event", "listenFailed").Err(err).Msg("")
		}
	})
}

// Leave starts to drain: new generations are rejected, accepted ones still finish.
func (e *Engine) Leave() {
	e.currentBoot().leave()
	e.audit.update(func(a *Audit) {
		if a.LeftAtUnixMillis == 0 {
			a.LeftAtUnixMillis = time.Now().UnixMilli()
		}
	})
	e.logEvent("leaving", "")
}

// Pending returns the number of running and queued requests.
func (e *Engine) Pending() int {
	b := e.currentBoot()
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.running) + len(b.queued)
}

func (e *Engine) logEvent(event, bootID string) {
	if e.cfg.Log != nil {
		e.cfg.Log.Info().Str("event", event).Str("bootId", bootID).Msg("")
	}
}

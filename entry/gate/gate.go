// Package gate is the part of an entry instance that passes foreign requests to
// targets that announce themselves, byte for byte. Its decisions are those of
// lib/steer; what it knows of targets and configuration comes from control.
package gate

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
	"bulrushpath.example/lib/wire"
)

const (
	// contactWithin is how long after the last answer of control the instance stays
	// ready; it goes on serving with what it knows.
	contactWithin = 8 * time.Second
	// retainPeriod is the time between two removals of idle connections.
	retainPeriod = time.Second
)

// Headers names the headers of a deployment.
type Headers struct {
	// RequestID identifies a request and is echoed in its answer.
	RequestID string
	// Deadline holds the time that the client will wait, in milliseconds.
	Deadline string
	// Target holds the id of the target that is meant.
	Target string
	// NotRun marks an answer whose request was certainly not run.
	NotRun string
	// Priority holds the rank of a request at an engine, 0 first.
	Priority string
	// CopyFrom holds the address of a target whose cache of the prompt is to be copied.
	CopyFrom string
	// Seal marks an answer that a target made.
	Seal string
	// Reserved lists headers that only the system may set; they are removed from
	// requests of clients.
	Reserved []string
}

// Gate serves foreign requests.
type Gate struct {
	name, zone string
	log        *log.Logger
	met        *metrics
	headers    Headers
	describe   func(h http.Header) (steer.Request, error)
	decode     func(version uint64, content []byte) (*site.Config, error)
	retry      RetryBudget
	seeds      func() []netip.AddrPort

	drpc  *link.Pool
	conns *relay.Pool

	// index is nil until the first configuration has arrived.
	index atomic.Pointer[site.Index]
	// contact is the time of the last answer of control, in Unix nanoseconds.
	contact atomic.Int64
	// reportEvery is the time between two reports that control asks for, in nanoseconds.
	reportEvery atomic.Int64
	// warm says that control had time to hear of every target.
	warm     atomic.Bool
	draining atomic.Bool
	active   atomic.Int64

	// configured is closed when the first configuration is in effect.
	configured chan struct{}
	// kick asks for a report to control before the next one is due.
	kick chan struct{}

	// mu guards everything below.
	mu    sync.Mutex
	fleet *fleetTable
	// budget limits resends; its slack is this instance's share.
	budget steer.Budget
	demand steer.Demand
	// changed is closed when the table changes.
	changed chan struct{}
	// control holds the addresses of the control instances, as control told them.
	control []netip.AddrPort
	// leader is the address that answered last.
	leader netip.AddrPort
	// cached holds the prompts that were first sent to a target since the last report,
	// cachedSeen numbers the last one heard of from other instances.
	cached     []*wire.CachedPrompt
	cachedSeen uint64
	// suspects are requests that crash their targets, as it seems.
	suspects suspects
	// adapters holds the adapters used since the last report, by target.
	adapters map[string]map[string]bool
}

// RetryBudget bounds what all entry instances together send more than once.
type RetryBudget struct {
	// Ratio is the number of resends allowed for each request.
	Ratio float64
	// Slack is the number of resends allowed in each window besides.
	Slack float64
	// Window is the span over which requests and resends count.
	Window time.Duration
}

// Option changes a Gate.
type Option func(*Gate)

// WithRetryBudget sets the budget that all entry instances share.
func WithRetryBudget(b RetryBudget) Option { return func(g *Gate) { g.retry = b } }

// WithRelay sets the pool of connections to targets.
func WithRelay(p *relay.Pool) Option { return func(g *Gate) { g.conns = p } }

// New returns a gate of an entry instance. describe reads what a request says
// about its prompt, decode reads a configuration, and seeds returns addresses
// at which control was found when the settings were written.
func New(p *daemon.Process, headers Headers, describe func(h http.Header) (steer.Request, error),
	decode func(version uint64, content []byte) (*site.Config, error), seeds func() []netip.AddrPort,
	opts ...Option,
) *Gate {
	g := &Gate{
		name: p.Common.Name, zone: p.Common.Zone, log: p.Log, met: newMetrics(p.Scope),
		headers: headers, describe: describe, decode: decode, seeds: seeds,
		retry: RetryBudget{Ratio: 0.1, Slack: 10, Window: 10 * time.Second},
		drpc:  link.NewPool(), kick: make(chan struct{}, 1), configured: make(chan struct{}), fleet: newFleetTable(),
		changed: make(chan struct{}), adapters: make(map[string]map[string]bool),
	}
	for _, opt := range opts {
		opt(g)
	}
	if g.conns == nil {
		g.conns = relay.NewPool()
	}
	g.setBudget(1)
	return g
}

// ownShare is the part of the retry budget that is used: instances may restart
// and forget what they have spent.
const ownShare = 0.7

// setBudget takes this instance's share of the retry budget; the caller holds mu,
// or is alone.
func (g *Gate) setBudget(entries int) {
	g.budget.Ratio, g.budget.Window = g.retry.Ratio*ownShare, g.retry.Window
	g.budget.Slack = g.retry.Slack * ownShare / float64(max(entries, 1))
}

// Run keeps in contact with control until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	daemon.RunTasks(ctx, g.log, []daemon.Task{
		{Name: "report", Period: time.Millisecond, Run: g.reportDue},
		{Name: "retainConnections", Period: retainPeriod, Run: func(context.Context) error {
			g.retain()
			return nil
		}},
	})
	g.signOff()
}

// Drain makes the instance unready; it goes on serving what still arrives.
func (g *Gate) Drain() { g.draining.Store(true) }

// Active returns the number of requests in progress.
func (g *Gate) Active() int { return int(g.active.Load()) }

// Close closes all idle connections.
func (g *Gate) Close() error {
	_ = g.conns.Close()
	return g.drpc.Close()
}

// Unready returns why the load balancer should send nothing; empty if it may.
func (g *Gate) Unready() string {
	switch {
	case g.draining.Load():
		return "draining"
	case g.index.Load() == nil:
		return "no configuration yet"
	case time.Since(time.Unix(0, g.contact.Load())) > contactWithin:
		return "no contact to control"
	}
	return ""
}

// retain closes connections to targets that are gone.
func (g *Gate) retain() {
	g.mu.Lock()
	known := make(map[relay.Target]bool, len(g.fleet.targets))
	for _, t := range g.fleet.targets {
		known[relay.Target{ID: t.ID, Addr: t.Addr}] = true
	}
	g.mu.Unlock()
	g.conns.Retain(func(t relay.Target) bool { return known[t] })
}

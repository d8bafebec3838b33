// Package gate is the reverse proxy of an entry instance for targets that register
// themselves with control. Requests and responses are forwarded byte for byte. Target
// selection is implemented in lib/steer; the target table and the configuration are
// received from control.
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
	"bulrushpath.example/lib/quota"
	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
	"bulrushpath.example/lib/wire"
)

const (
	// maxContactAge is how long the instance stays ready after the last reply from
	// control. It continues to serve with its last known state afterwards.
	maxContactAge = 8 * time.Second
	// defaultMaxConfigAge applies if WithMaxConfigAge is not used.
	defaultMaxConfigAge = 2 * time.Second
	// connCleanupInterval is the interval at which stale idle connections to targets are
	// closed.
	connCleanupInterval = time.Second
)

// Headers holds the names of the HTTP headers that a deployment uses.
type Headers struct {
	// RequestID identifies a request; the response repeats it.
	RequestID string
	// Deadline holds the remaining time until the client's timeout, in milliseconds.
	Deadline string
	// Target holds the id of the intended target.
	Target string
	// NotRun marks a response to a request that was certainly not run.
	NotRun string
	// Priority holds the scheduling priority of a request at an engine; 0 is the highest.
	Priority string
	// Limit holds the number of requests per second that a target takes from all entry
	// instances together; empty if targets name none.
	Limit string
	// Leaving is 1 in the answers of a target that is leaving; empty if targets don't say so.
	Leaving string
	// Customer holds the name of the customer of a request, for the target.
	Customer string
	// CopyFrom holds the address of the target from which the prompt cache is copied.
	CopyFrom string
	// Instance holds the id of the target in the answer to a health check.
	Instance string
	// Seal is set in responses that were produced by a target.
	Seal string
	// StreamFields lists the fields that events may have beside those of text/event-stream.
	StreamFields []string
	// Reserved lists headers that clients may not set; they are removed from requests.
	Reserved []string
}

// Gateway is an HTTP handler that forwards requests to targets.
type Gateway struct {
	name, zone     string
	log            *log.Logger
	metrics        *metrics
	headers        Headers
	describePrompt func(h http.Header) (steer.Request, error)
	decodeConfig   func(version uint64, content []byte) (*site.Config, error)
	retryLimit     steer.RetryLimit
	seeds          func() []netip.AddrPort

	controlConns *link.Pool
	targetConns  *relay.Pool

	// memoryMB is the memory of the process; 0 if it is not known.
	memoryMB uint32
	// answerBudget and requestBudget bound the memory for bodies. What the kernel holds for clients
	// and targets that do not read has a sum of its own, that of daemon.Process.Conns.
	answerBudget, requestBudget byteBudget

	// index is the active configuration; nil until the first one is received.
	index atomic.Pointer[site.Index]
	// contact is the last contact with control, which limits the age of index. tableContact
	// is the last one whose reply brought the whole of the table up to date.
	contact, tableContact link.Contact
	// confirmed is the last contact whose reply showed that index is the latest configuration.
	confirmed link.Contact
	// maxConfirmedAge is the age of confirmed up to which API keys may be used; 0 if there is no
	// limit.
	maxConfirmedAge time.Duration
	// maxTableAge is the age of fleet from which on each target has to confirm that it
	// accepts requests.
	maxTableAge time.Duration
	// tableStale is true if the age of fleet exceeded maxTableAge at the last report.
	tableStale bool
	// maxConfigAge is the age from which on a newer configuration may be in effect.
	maxConfigAge time.Duration
	// reportInterval is the report interval requested by control, in nanoseconds.
	reportInterval atomic.Int64
	// fullReportInterval is the last one that was requested of an instance with the whole table.
	fullReportInterval time.Duration
	// reportPause is the pause before the next report after one has failed, and slowReports the
	// number of reports in a row that were not answered in time. Only the goroutine that sends
	// the reports uses these three.
	reportPause time.Duration
	slowReports int
	// instances is the number of entry instances as control last named it; 0 if it has not.
	instances atomic.Int32
	// warm is true if the control leader has had time to receive an announcement from
	// every target.
	warm   atomic.Bool
	active atomic.Int64
	// drainEnd is set once the instance is draining: the time at which the requests still in
	// progress are ended.
	drainEnd atomic.Pointer[time.Time]
	// stopped is done when the requests still in progress have to end; stopRequests ends it.
	stopped      context.Context
	stopRequests context.CancelFunc

	// firstConfig is closed when the first configuration is active.
	firstConfig chan struct{}
	// reportNow triggers a report to control before the next one is due.
	reportNow chan struct{}

	// checks tracks the health checks in progress.
	checks sync.WaitGroup

	// quotas is what this instance holds of the quotas of customers.
	quotas *quotas

	// mu guards everything below.
	mu    sync.Mutex
	fleet *fleetTable
	// budgets limit the resends of this instance.
	budgets *steer.RetryBudgets
	demand  steer.Demand
	// admissions decides which requests are refused while engines are full.
	admissions admissions
	// tableChanged is closed and replaced when another target may accept requests: after
	// each reply to a report and after each health check.
	tableChanged chan struct{}
	// controlMembers holds the addresses of the control instances from the last reply.
	controlMembers []netip.AddrPort
	// lastLeader is the control instance that last served a call.
	lastLeader netip.AddrPort
	// cached holds the prompt prefixes that were first sent to a target since the last
	// report. cachedSequence is the sequence number of the last prompt prefix received from
	// other instances.
	cached         []*wire.CachedPrompt
	cachedSequence uint64
	// suspects holds requests that are suspected of crashing targets.
	suspects suspects
	// limits holds the limits that targets have named.
	limits quota.Cache
	// notices holds what targets have said about themselves in their answers.
	notices steer.Notices
	// usedAdapters holds the adapters used since the last report, by target id.
	usedAdapters map[string]map[string]bool
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithRetryLimit sets the limit of resends to each service, over all entry instances together.
func WithRetryLimit(l steer.RetryLimit) Option { return func(g *Gateway) { g.retryLimit = l } }

// WithMaxConfigAge sets the time after the acknowledgement of a configuration by which it
// must be in effect everywhere.
func WithMaxConfigAge(d time.Duration) Option { return func(g *Gateway) { g.maxConfigAge = d } }

// WithRelay sets the pool of connections to targets.
func WithRelay(p *relay.Pool) Option { return func(g *Gateway) { g.targetConns = p } }

// New returns a Gateway for an entry instance. describe extracts the prompt metadata from
// request headers, decode decodes and validates a configuration, and seeds returns the
// control addresses from the settings file.
func New(p *daemon.Process, headers Headers, describe func(h http.Header) (steer.Request, error),
	decode func(version uint64, content []byte) (*site.Config, error), seeds func() []netip.AddrPort,
	opts ...Option,
) *Gateway {
	g := &Gateway{
		name: p.Common.Name, zone: p.Common.Zone, log: p.Log, metrics: newMetrics(p.Scope),
		headers: headers, describePrompt: describe, decodeConfig: decode, seeds: seeds,
		retryLimit:   steer.RetryLimit{Ratio: 0.1, Slack: 10, Window: 10 * time.Second},
		maxConfigAge: defaultMaxConfigAge,
		controlConns: link.NewPool(), reportNow: make(chan struct{}, 1), firstConfig: make(chan struct{}), fleet: newFleetTable(),
		tableChanged: make(chan struct{}), usedAdapters: make(map[string]map[string]bool),
	}
	g.quotas = newQuotas(p.Scope)
	g.memoryMB = p.Common.MemoryMB
	g.answerBudget.limit.Store(memoryBudget(answerBudgetBytes, g.memoryMB))
	g.setRequestBudget(defaultMaxBodyBytes)
	g.stopped, g.stopRequests = context.WithCancel(context.Background())
	WithDrainBound(defaultDrainBound)(g)
	for _, opt := range opts {
		opt(g)
	}
	if g.targetConns == nil {
		g.targetConns = relay.NewPool(relay.WithConns(p.Conns))
	}
	g.budgets = steer.NewRetryBudgets(steer.RetryLimit{
		Ratio: g.retryLimit.Ratio * retryLimitFraction, Slack: g.retryLimit.Slack * retryLimitFraction,
		Window: g.retryLimit.Window,
	})
	return g
}

// retryLimitFraction is the fraction of the retry limit that is used. The rest is a reserve
// for resends that this system does not see: those of targets that call other services.
const retryLimitFraction = 0.7

// Run reports to control and removes stale connections until ctx is cancelled. Then it
// tells control that the instance is leaving.
func (g *Gateway) Run(ctx context.Context) {
	daemon.RunTasks(ctx, g.log, []daemon.Task{
		{Name: "allot", Period: time.Millisecond, Run: g.exchangeQuotas},
		{Name: "report", Period: time.Millisecond, Run: g.reportWhenDue},
		{Name: "retainConnections", Period: connCleanupInterval, Run: func(context.Context) error {
			g.closeStaleConns()
			return nil
		}},
	})
	g.reportLeaving()
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

// Close waits for the health checks in progress and closes all idle connections.
func (g *Gateway) Close() error {
	g.stopRequests()
	g.checks.Wait()
	_ = g.targetConns.Close()
	return g.controlConns.Close()
}

// Unready returns the reason why the load balancer should send no requests to this
// instance, or an empty string if it is ready.
func (g *Gateway) Unready() string {
	switch {
	case g.drainEnd.Load() != nil:
		return "draining"
	case g.index.Load() == nil:
		return "no configuration yet"
	case g.contact.Age() > maxContactAge:
		return "no contact to control"
	case g.index.Load().Config.KeysRequired && !g.keysConfirmed():
		return errKeyUnconfirmed.Error()
	}
	return ""
}

// closeStaleConns closes the idle connections to targets that were removed from the table,
// and those that must not be reused any more.
func (g *Gateway) closeStaleConns() {
	g.mu.Lock()
	known := make(map[relay.Target]bool, len(g.fleet.targets))
	for _, t := range g.fleet.targets {
		known[relay.Target{ID: t.ID, Addr: t.Addr}] = true
	}
	g.mu.Unlock()
	g.targetConns.Retain(func(t relay.Target) bool { return known[t] })
}

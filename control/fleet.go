package control

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	tally "github.com/uber-go/tally/v4"

	"bulrushpath.example/lib/allot"
	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/quota"
	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

const (
	// entryLease is how long an entry instance counts as live after its last report.
	entryLease = 2500 * time.Millisecond
	// planDelay is the minimum time for which a new leader does not plan at all; a longer
	// Fleet.orderPause extends it. After that and until its table is warm, it sends only
	// orders that are needed regardless of which targets have yet to announce themselves.
	planDelay = time.Second
	// proposeTimeout bounds the replication of a document that an operator posts.
	proposeTimeout = 2 * time.Second
)

// ErrInvalid is wrapped by the error for a document, or another message, that failed validation.
var ErrInvalid = errors.New("invalid")

// Fleet manages a deployment whose targets announce themselves and whose
// configuration is a document in a deployment-specific format. The leader owns the
// table of targets, and only the leader sends orders to engines.
type Fleet struct {
	svc *service
	log *log.Logger
	// decode parses and validates a document.
	decode       func(version uint64, content []byte) (*site.Config, error)
	engineClient EngineClient
	// orderPause is how long a new leader sends no orders, so that the orders of the
	// previous leader have ended by then.
	orderPause time.Duration
	// announcePeriod is the expected interval between two announcements of a target.
	announcePeriod time.Duration
	// holder identifies this instance in its orders to engines.
	holder  string
	metrics fleetMetrics
	// relayTargets is the number of targets from which on other instances relay announcements; 0
	// for never.
	relayTargets int
	// relay passes announcements on while this instance does not lead.
	relay *relay
	// tolerance is what the settings allow beyond the quotas of customers.
	tolerance allot.Tolerance

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	// rosterMu serializes the updates of the roster.
	rosterMu sync.Mutex
	// reportGate bounds the reports in progress.
	reportGate *gate
	// savingLosses serializes the writes of lost requests.
	savingLosses timedLock

	// mu guards everything below.
	mu sync.Mutex
	// term is the term that the tables below belong to, and termStart the time when this
	// instance created them.
	term      uint64
	termStart time.Time
	table     *fleet.Table
	engines   map[string]*engine
	planners  map[string]*scale.Planner
	entries   map[string]*entryState
	// repeats holds the last announcement of each target, to recognize its repetition.
	repeats map[string]*recordedAnnouncement
	// relaying is set while other instances relay announcements. relays holds the instances that
	// have offered it, liveRelays the addresses of those that did so recently, and offers the
	// targets that were sent to one of them and have not been heard there yet.
	relaying   bool
	relays     map[string]*relaySession
	liveRelays []string
	offers     map[string]relayOffer
	// listed holds the targets for which the roster was in line with the table at its last update.
	listed map[string]listedTarget
	// loads holds the total load of each target over all entry instances.
	loads loadTotals
	// totalDemand is the last result of demand, and demandAt its time.
	totalDemand map[string]scale.Demand
	demandAt    time.Time
	// prompts holds the most recently reported cached prompts.
	prompts promptLog
	// lostRequests counts, for each request, the targets that were lost while
	// they ran it.
	lostRequests poison.LossCounter
	// lostParts counts the same for each part of a prompt.
	lostParts poison.PartCounter
	// limiter spaces the sends to targets that have named a limit.
	limiter quota.Limiter
	// quotas holds the buckets of customers with quotas.
	quotas *allot.Pool
	// doubtful holds the targets that the last run of the planners ignored because
	// they are probably gone.
	doubtful map[string]bool
	// index is the decoded document with the version indexVersion.
	index        *site.Index
	indexVersion uint64
	// tableParts holds the parts of the table that were sent last, by the version that they
	// follow, and partsSince is when the first of them was built.
	tableParts map[uint64]*tablePart
	partsSince time.Time
	// tableBudget limits what replies contain of the table.
	tableBudget byteBudget
	// packed is the compressed document with the version packedVersion. A document of many
	// routes, sent to every entry instance, would otherwise fill the links.
	packed        []byte
	packedVersion uint64
	// controlAddrs holds the addresses of the control instances as of the last tick.
	controlAddrs []string
}

// entryState is the last report of an entry instance.
type entryState struct {
	lastReport time.Time
	loads      []*wire.TargetLoad
	demand     []*wire.ModelDemand
	// heldVersion is the version of this term's table that the instance held at its last
	// report. What was sent to it since may be lost.
	heldVersion uint64
}

type fleetMetrics struct {
	reports, reportsRefused, announcements, orders, orderFailures, documents tally.Counter
	targets, entries                                                         tally.Gauge
	quotaCalls                                                               tally.Counter
	quotaCustomers, quotaHeld                                                tally.Gauge
}

func newFleet(svc *service, logger *log.Logger, scope tally.Scope, holder string, o *options) *Fleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{
		svc: svc, log: logger, decode: o.decode, engineClient: o.engineClient, orderPause: o.orderPause,
		announcePeriod: o.announcePeriod, relayTargets: o.relayTargets, holder: holder, ctx: ctx, stop: stop, savingLosses: newTimedLock(),
		reportGate: newGate(maxRunningReports, maxWaitingReports, maxReportWait),
		tolerance:  o.quotaTolerance,
		metrics: fleetMetrics{
			reports: scope.Counter("reports"), reportsRefused: scope.Counter("reportsRefused"),
			announcements: scope.Counter("announcements"),
			orders:        scope.Counter("orders"), orderFailures: scope.Counter("orderFailures"),
			documents: scope.Counter("documents"),
			targets:   scope.Gauge("fleetTargets"), entries: scope.Gauge("fleetEntries"),
			quotaCalls: scope.Counter("quotaCalls"), quotaCustomers: scope.Gauge("quotaCustomers"),
			quotaHeld: scope.Gauge("quotaHeld"),
		},
	}
	f.relay = newRelay(svc.id, f.Leader, o.callRelay)
	f.reset(time.Now(), 0)
	return f
}

// Close cancels the orders in progress and waits until they have ended.
func (f *Fleet) Close() error {
	f.stop()
	f.wg.Wait()
	return nil
}

// reset creates empty tables for a new term. The caller holds mu, unless no other
// goroutine uses f yet.
func (f *Fleet) reset(now time.Time, term uint64) {
	f.term, f.termStart = term, now
	f.engines = make(map[string]*engine)
	f.planners = make(map[string]*scale.Planner)
	f.entries = make(map[string]*entryState)
	f.relaying, f.liveRelays = false, nil
	f.relays, f.offers = make(map[string]*relaySession), make(map[string]relayOffer)
	f.tableParts, f.tableBudget = nil, byteBudget{}
	f.repeats, f.listed = make(map[string]*recordedAnnouncement), nil
	f.prompts, f.demandAt = promptLog{}, time.Time{}
	f.lostRequests, f.lostParts, f.doubtful = poison.LossCounter{}, poison.PartCounter{}, nil
	f.limiter = quota.Limiter{}
	f.quotas = allot.NewPool(link.SinceBoot(), term, f.tolerance)
	f.loads = loadTotals{sums: make(map[string]*loadSum)}
	f.table = fleet.NewTable(now, term, f.modelRecords, fleet.WithDeclared(f.declared))
}

// declared reports whether the configuration declares a service, and whether its targets are
// engines; see fleet.WithDeclared. The caller holds mu.
func (f *Fleet) declared(name string) (declared, engine bool) {
	index := f.currentIndex()
	if index == nil {
		return true, false
	}
	s := index.Service(name)
	return s != nil, s != nil && s.Engine != nil
}

// requireLeader returns the term in which this instance leads, or a redirect to the
// leader. In a new term, it first resets the tables and fills them from the roster. The
// caller holds mu.
func (f *Fleet) requireLeader() (uint64, error) {
	term, ok := f.svc.group.Leading()
	if !ok {
		return 0, f.svc.notLeader()
	}
	if term > f.term {
		f.reset(time.Now(), term)
		f.restoreTargets(time.Now())
		f.restoreLosses(time.Now())
	}
	return term, nil
}

// Leader returns the address of the leader. If this instance leads, self is true and
// addr is not set. ok is false if no leader is known.
func (f *Fleet) Leader() (addr netip.AddrPort, self, ok bool) {
	if _, leading := f.svc.group.Leading(); leading {
		return netip.AddrPort{}, true, true
	}
	addr, ok = f.svc.group.Leader()
	return addr, false, ok
}

// currentIndex returns the index of the current document, or nil if there is none. If
// that document cannot be decoded, it returns the index of the last one that could. The
// caller holds mu.
func (f *Fleet) currentIndex() *site.Index {
	f.svc.machineMu.RLock()
	doc := f.svc.machine.Document()
	f.svc.machineMu.RUnlock()
	if doc.GetVersion() == f.indexVersion {
		return f.index
	}
	cfg, err := f.decode(doc.GetVersion(), doc.GetContent())
	if err != nil {
		// Only valid documents are stored, but the build that stored this one may have
		// had other rules.
		f.log.Error().Str("event", "documentUnreadable").Uint64("version", doc.GetVersion()).Err(err).Msg("")
		return f.index
	}
	f.index, f.indexVersion = site.NewIndex(cfg), doc.GetVersion()
	return f.index
}

// StoreDocument stores a document if its version is the highest so far. It returns a
// nil error once this document, or one with the same or a higher version, is durable at
// a majority, of a group that is not about to get missing voters.
func (f *Fleet) StoreDocument(ctx context.Context, version uint64, content []byte) (stored bool, err error) {
	if _, err := f.decode(version, content); err != nil {
		f.log.Info().Str("event", "documentRefused").Uint64("version", version).Err(err).Msg("")
		return false, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := call(ctx, f.svc, "Post", link.Protocol, &wire.Command{
		Body: &wire.Command_Post{Post: &wire.Document{Version: version, Content: content}},
	}, (*wire.CommandReply).GetPost)
	if err == nil {
		err = f.svc.group.AwaitTolerance(ctx)
	}
	if err != nil {
		f.log.Warn().Str("event", "documentNotStored").Uint64("version", version).Err(err).Msg("")
		return false, err
	}
	f.metrics.documents.Inc(1)
	f.log.Info().Str("event", "documentPosted").Uint64("version", version).
		Bool("stored", reply.GetStored()).Uint64("inForce", reply.GetVersion()).Msg("")
	return reply.GetStored(), nil
}

// ReadDocument returns the latest document after a majority has confirmed that this
// instance leads. It returns nil if no document has been stored.
func (f *Fleet) ReadDocument(ctx context.Context) (*wire.Document, error) {
	if _, ok := f.svc.group.Leading(); !ok {
		return nil, f.svc.notLeader()
	}
	if err := f.svc.group.Confirm(ctx); err != nil {
		return nil, f.svc.proposeError(err)
	}
	f.svc.machineMu.RLock()
	defer f.svc.machineMu.RUnlock()
	return f.svc.machine.Document(), nil
}

// tick removes the targets and entry instances whose leases have expired, and runs the
// planners.
func (f *Fleet) tick(now time.Time) {
	members := f.svc.memberAddrs()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.requireLeader(); err != nil {
		return
	}
	f.controlAddrs = members
	for _, id := range f.table.Expire(now) {
		f.log.Warn().Str("event", "targetSilent").Str("target", id).Dur("lease", fleet.Lease).Msg("")
	}
	for id := range f.engines {
		if !f.table.Has(id) {
			delete(f.engines, id)
		}
	}
	for id := range f.repeats {
		if !f.table.Has(id) {
			delete(f.repeats, id)
		}
	}
	for name, e := range f.entries {
		if now.Sub(e.lastReport) > entryLease {
			f.removeEntry(name)
			f.log.Warn().Str("event", "entrySilent").Str("entry", name).Dur("lease", entryLease).Msg("")
		}
	}
	f.dropLimits(now)
	f.tickQuotas()
	f.loads.rank()
	f.metrics.entries.Update(float64(len(f.entries)))
	live := f.table.Live()
	f.metrics.targets.Update(float64(len(live)))
	f.updateRelays(now, len(live))
	if now.Sub(f.termStart) >= max(f.orderPause, planDelay) {
		f.runPlanners(now, f.excludeDoubtful(now, live), !f.table.Warm(now))
	}
}

// excludeDoubtful returns live without the targets that are probably gone although their
// leases have not expired. The caller holds mu.
func (f *Fleet) excludeDoubtful(now time.Time, live []fleet.Announcement) []fleet.Announcement {
	doubtful := f.table.Doubtful(now, f.announcePeriod)
	for id := range doubtful {
		if !f.doubtful[id] {
			f.log.Warn().Str("event", "targetDoubtful").Str("target", id).Uint64("term", f.term).Msg("")
		}
	}
	f.doubtful = doubtful
	if len(doubtful) == 0 {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(a fleet.Announcement) bool { return doubtful[a.ID] })
}

// maxDemandAge is how long the total demand is used again with more than largeFleet entry
// instances, each of which reports every second.
const maxDemandAge = 500 * time.Millisecond

// demand returns the total demand for each model over all live entry instances. The
// caller holds mu and must not modify it.
func (f *Fleet) demand(now time.Time) map[string]scale.Demand {
	if len(f.entries) > largeFleet && now.Sub(f.demandAt) < maxDemandAge {
		return f.totalDemand
	}
	out := make(map[string]scale.Demand)
	for _, e := range f.entries {
		if now.Sub(e.lastReport) > entryLease {
			continue
		}
		for _, d := range e.demand {
			sum := out[d.GetModel()]
			sum.Work += d.GetWorkMicrosPerSecond() / 1e6
			sum.Waiting += int(d.GetWaiting())
			sum.Requests += d.GetRequestsPerSecond()
			out[d.GetModel()] = sum
		}
	}
	f.totalDemand, f.demandAt = out, now
	return out
}

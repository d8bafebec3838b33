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
	// propagationTimeout bounds the wait until all entry instances have confirmed that a
	// target is leaving. One that has not stops using its table by itself (entry/gate).
	propagationTimeout      = 500 * time.Millisecond
	propagationPollInterval = 10 * time.Millisecond
	// maxReportsPerSecond limits the total rate of reports from all entry instances.
	// minReportPeriod and maxReportPeriod limit the interval between two reports of
	// one instance; the maximum lets a change reach every instance within about a
	// second.
	maxReportsPerSecond = 200
	minReportPeriod     = 200 * time.Millisecond
	maxReportPeriod     = time.Second
	// maxTargetsPerReply limits the targets in one reply, because all entry instances
	// need the whole table at once after a change of leader. partialTablePeriod is the
	// interval after which an instance asks for the next part.
	maxTargetsPerReply = 512
	partialTablePeriod = 50 * time.Millisecond
	// planDelay is the minimum time for which a new leader does not plan at all; a longer
	// Fleet.orderPause extends it. After that and until its table is warm, it sends only
	// orders that are needed regardless of which targets have yet to announce themselves.
	planDelay = time.Second
	// proposeTimeout bounds the replication of a document that an operator posts.
	proposeTimeout = 2 * time.Second
)

// ErrInvalid is wrapped by the error for a document that failed validation.
var ErrInvalid = errors.New("invalid document")

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

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	// rosterMu serializes the updates of the roster.
	rosterMu sync.Mutex

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
	// loads holds the total load of each target over all entry instances.
	loads loadTotals
	// prompts holds the most recently reported cached prompts.
	prompts promptLog
	// lostRequests counts, for each request, the targets that were lost while
	// they ran it.
	lostRequests poison.LossCounter
	// lostParts counts the same for each part of a prompt.
	lostParts poison.PartCounter
	// pacer spaces the sends to targets that have named a limit.
	pacer quota.Pacer
	// doubtful holds the targets that the last run of the planners ignored because
	// they are probably gone.
	doubtful map[string]bool
	// index is the decoded document with the version indexVersion.
	index        *site.Index
	indexVersion uint64
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
	reports, announcements, orders, orderFailures, documents tally.Counter
	targets, entries                                         tally.Gauge
}

func newFleet(svc *service, logger *log.Logger, scope tally.Scope, holder string, o *options) *Fleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{
		svc: svc, log: logger, decode: o.decode, engineClient: o.engineClient, orderPause: o.orderPause,
		announcePeriod: o.announcePeriod, holder: holder, ctx: ctx, stop: stop,
		metrics: fleetMetrics{
			reports: scope.Counter("reports"), announcements: scope.Counter("announcements"),
			orders: scope.Counter("orders"), orderFailures: scope.Counter("orderFailures"),
			documents: scope.Counter("documents"),
			targets:   scope.Gauge("fleetTargets"), entries: scope.Gauge("fleetEntries"),
		},
	}
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
	f.prompts = promptLog{}
	f.lostRequests, f.lostParts, f.doubtful = poison.LossCounter{}, poison.PartCounter{}, nil
	f.pacer = quota.Pacer{}
	f.loads = loadTotals{sums: make(map[string]*wire.TargetLoad)}
	f.table = fleet.NewTable(now, term, f.modelRecords)
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
		f.restoreParts()
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

// Announce records an announcement of a target. That of a draining target returns only as
// described at awaitLeaving; if it fails, the target announces itself again.
func (f *Fleet) Announce(ctx context.Context, a fleet.Announcement, e EngineState) error {
	now := time.Now()
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil {
		f.mu.Unlock()
		return err
	}
	f.metrics.announcements.Inc(1)
	process := poison.Process{Target: a.ID, BornMillis: a.Born.UnixMilli()}
	f.lostRequests.RecordAnnouncement(now, process)
	f.lostParts.RecordAnnouncement(now, process)
	before, known := f.table.Lookup(a.ID)
	if known && before.Born.Before(a.Born) {
		delete(f.engines, a.ID)
	}
	outcome, changed := f.table.Announce(now, a)
	if outcome == fleet.Current && a.HasModels {
		changed = f.observe(now, a, e) || changed
	}
	f.mu.Unlock()
	if changed && (!known || a.Draining != before.Draining) || outcome == fleet.Superseded {
		f.log.Info().Str("event", "announced").Str("target", a.ID).Str("service", a.Service).
			Str("addr", a.Addr.String()).Uint64("sequence", a.Sequence).Bool("draining", a.Draining).
			Str("outcome", outcome.String()).Msg("")
	}
	if a.Draining {
		return f.awaitLeaving(ctx, a.ID)
	}
	return nil
}

// Leave records that a target accepts no more requests. Like the announcement of a draining
// target, it returns as described at awaitLeaving.
func (f *Fleet) Leave(ctx context.Context, id string) error {
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil {
		f.mu.Unlock()
		return err
	}
	changed := f.table.Leave(time.Now(), id)
	f.mu.Unlock()
	if changed {
		f.log.Info().Str("event", "targetLeft").Str("target", id).Msg("")
	}
	return f.awaitLeaving(ctx, id)
}

// awaitLeaving returns nil once a later leader would not offer the target to entry instances
// either, and the live ones have confirmed that it is leaving. It waits for them at most
// propagationTimeout: those that have not confirmed by then have had no reply since, and stop
// using their table before the target ends.
func (f *Fleet) awaitLeaving(ctx context.Context, id string) error {
	if err := f.updateRoster(ctx, id); err != nil {
		return fmt.Errorf("store that target %s leaves: %w", id, err)
	}
	end := time.Now().Add(propagationTimeout)
	missing := f.unconfirmed(id)
	for len(missing) > 0 && ctx.Err() == nil && time.Now().Before(end) {
		time.Sleep(propagationPollInterval)
		missing = f.unconfirmed(id)
	}
	if len(missing) > 0 {
		f.log.Info().Str("event", "leavingUnconfirmed").Str("target", id).Strs("entries", missing).Msg("")
	}
	return nil
}

// unconfirmed returns the live entry instances that have not confirmed the latest change of a
// target.
func (f *Fleet) unconfirmed(id string) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, version := time.Now(), f.table.ChangeVersion(id)
	for name, e := range f.entries {
		if now.Sub(e.lastReport) < entryLease && e.heldVersion < version {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Report records the state of an entry instance and returns what has changed since
// its last report.
func (f *Fleet) Report(ctx context.Context, req *wire.FleetRequest) (reply *wire.FleetReply, err error) {
	ctx, end, err := f.svc.begin(ctx, "Report", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	if req.GetName() == "" {
		return nil, link.Errorf(link.CodeInvalid, "report has no name")
	}
	f.metrics.reports.Inc(1)
	if req.GetDocumentVersion() == 0 {
		// A process without a document must not start with an outdated one, so a
		// majority has to confirm this leader first.
		if _, err := f.ReadDocument(ctx); err != nil {
			return nil, err
		}
	}
	reply, term, err := f.report(time.Now(), req)
	if err != nil {
		return nil, err
	}
	// If this instance was paused or deposed in the meantime, the reply may be outdated
	// and must not be sent.
	if current, ok := f.svc.group.Leading(); !ok || current != term {
		return nil, f.svc.notLeader()
	}
	return reply, nil
}

func (f *Fleet) report(now time.Time, req *wire.FleetRequest) (*wire.FleetReply, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	term, err := f.requireLeader()
	if err != nil {
		return nil, 0, err
	}
	if req.GetLeaving() {
		f.removeEntry(req.GetName())
		return &wire.FleetReply{Protocol: link.Protocol}, term, nil
	}
	e := f.entries[req.GetName()]
	if e == nil {
		e = &entryState{}
		f.entries[req.GetName()] = e
	}
	f.loads.replace(e.loads, req.GetLoads())
	e.lastReport, e.loads, e.demand = now, req.GetLoads(), req.GetDemand()
	e.heldVersion = 0
	if req.GetTerm() == term {
		e.heldVersion = req.GetTableVersion()
	}
	f.touchAdapters(now, req.GetLoads())
	reply := &wire.FleetReply{Protocol: link.Protocol, Term: term, Warm: f.table.Warm(now)}
	reply.Targets, reply.TableVersion, reply.Whole = f.table.Since(req.GetTerm(), req.GetTableVersion(), maxTargetsPerReply)
	reply.Loads = f.loads.others(req.GetLoads())
	if now.Sub(f.termStart) >= entryLease {
		// Earlier, live instances may not have reported to this leader yet.
		reply.Entries = uint32(len(f.entries))
	}
	reply.ReportMillis = uint32(reportPeriod(len(f.entries)).Milliseconds())
	if _, version := f.table.Version(); version > reply.GetTableVersion() {
		reply.ReportMillis = uint32(partialTablePeriod.Milliseconds())
		reply.Partial = true
	}
	f.exchangeLimits(now, req, reply)
	f.addDocument(req, reply)
	reply.Control = f.controlAddrs
	reply.Suspects = f.recordLostRequests(now, req)
	f.prompts.add(req.GetName(), req.GetCached())
	held := req.GetCachedSequence()
	if req.GetTerm() != term {
		held = 0
	}
	reply.Cached, reply.CachedSequence = f.prompts.since(req.GetName(), held)
	return reply, term, nil
}

// addDocument adds the document to the reply if the instance holds an older one. The caller
// holds mu.
func (f *Fleet) addDocument(req *wire.FleetRequest, reply *wire.FleetReply) {
	f.svc.machineMu.RLock()
	doc := f.svc.machine.Document()
	f.svc.machineMu.RUnlock()
	if doc.GetVersion() <= req.GetDocumentVersion() {
		return
	}
	if !req.GetAcceptPacked() {
		reply.Document = doc
		return
	}
	if f.packedVersion != doc.GetVersion() {
		packed, err := wire.PackDocument(doc)
		if err != nil {
			f.log.Error().Str("event", "documentNotPacked").Uint64("version", doc.GetVersion()).Err(err).Msg("")
			reply.Document = doc
			return
		}
		f.packed, f.packedVersion = packed, doc.GetVersion()
	}
	reply.PackedDocument = f.packed
}

// removeEntry removes an entry instance and its share of the loads. The caller holds mu.
func (f *Fleet) removeEntry(name string) {
	if e := f.entries[name]; e != nil {
		f.loads.replace(e.loads, nil)
		delete(f.entries, name)
	}
}

// reportPeriod returns the interval between two reports of one entry instance. It
// grows with the number of instances to limit the total rate of reports, up to a
// maximum that limits the age of what the instances know.
func reportPeriod(entries int) time.Duration {
	d := time.Duration(entries) * time.Second / maxReportsPerSecond
	return min(max(d, minReportPeriod), maxReportPeriod)
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
		delete(f.engines, id)
		f.log.Warn().Str("event", "targetSilent").Str("target", id).Dur("lease", fleet.Lease).Msg("")
	}
	for name, e := range f.entries {
		if now.Sub(e.lastReport) > entryLease {
			f.removeEntry(name)
			f.log.Warn().Str("event", "entrySilent").Str("entry", name).Dur("lease", entryLease).Msg("")
		}
	}
	f.dropLimits(now)
	f.loads.rank()
	f.metrics.entries.Update(float64(len(f.entries)))
	live := f.table.Live()
	f.metrics.targets.Update(float64(len(live)))
	if now.Sub(f.termStart) >= max(f.orderPause, planDelay) {
		f.runPlanners(now, f.excludeDoubtful(now, live), !f.table.Warm(now))
	}
}

// excludeDoubtful removes from live the targets that are probably gone although their
// leases have not expired. The caller holds mu.
func (f *Fleet) excludeDoubtful(now time.Time, live []fleet.Announcement) []fleet.Announcement {
	doubtful := f.table.Doubtful(now, f.announcePeriod)
	for id := range doubtful {
		if !f.doubtful[id] {
			f.log.Warn().Str("event", "targetDoubtful").Str("target", id).Uint64("term", f.term).Msg("")
		}
	}
	f.doubtful = doubtful
	return slices.DeleteFunc(live, func(a fleet.Announcement) bool { return doubtful[a.ID] })
}

// demand returns the total demand for each model over all live entry instances. The
// caller holds mu.
func (f *Fleet) demand(now time.Time) map[string]scale.Demand {
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
	return out
}

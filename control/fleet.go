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
	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

const (
	// entryLease is how long an entry instance counts after its last report.
	entryLease = 2500 * time.Millisecond
	// newsWait bounds the wait for all entry instances to hear that a target leaves.
	newsWait = 500 * time.Millisecond
	newsPoll = 10 * time.Millisecond
	// reportsPerSecond bounds the reports of all entry instances, reportPeriodMin and
	// reportPeriodMax the time between two of one instance. The latter keeps changes
	// in effect everywhere within about a second.
	reportsPerSecond = 200
	reportPeriodMin  = 200 * time.Millisecond
	reportPeriodMax  = time.Second
	// tableTold bounds the targets in one answer: after a change of the leader, all
	// entry instances need the whole table at once. partPeriod is the time until the
	// next part.
	tableTold  = 512
	partPeriod = 50 * time.Millisecond
	// earlyPlan is how long a new leader gives no orders at all; until its table is
	// warm, it gives only those that are needed whatever it has not heard yet.
	earlyPlan = time.Second
	// proposeTimeout bounds one replicated command of the operator.
	proposeTimeout = 2 * time.Second
)

// ErrInvalid wraps the reason why a document was refused.
var ErrInvalid = errors.New("invalid document")

// Fleet serves a deployment whose targets announce themselves and whose
// configuration is a document in a format of its own. The leader owns the table
// of targets and is the only one that gives orders to engines.
type Fleet struct {
	svc *service
	log *log.Logger
	// Decode reads a document; its error says why the document is invalid.
	decode  func(version uint64, content []byte) (*site.Config, error)
	engines Engines
	// orderPause is how long a new leader gives no order, so that the orders of the
	// leader before it have ended.
	orderPause time.Duration
	// announcePeriod is the time between two announcements of a target.
	announcePeriod time.Duration
	holder         string
	count          fleetMetrics

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	// mu guards everything below.
	mu       sync.Mutex
	term     uint64
	since    time.Time
	table    *fleet.Table
	stations map[string]*station
	planners map[string]*scale.Planner
	entries  map[string]*entryState
	// loads sums the work of all entry instances.
	loads loadTotals
	// prompts are the cached prompts reported last.
	prompts promptLog
	// lost counts the targets that were lost with the same request.
	lost poison.Count
	// doubtful are the targets that the planners left out last.
	doubtful map[string]bool
	// index is the decoded document of indexVersion.
	index        *site.Index
	indexVersion uint64
	// control holds the addresses of the group, as of the last tick.
	control []string
}

// entryState is the last report of an entry instance.
type entryState struct {
	heard  time.Time
	loads  []*wire.TargetLoad
	demand []*wire.ModelDemand
	// told is the table version of the last answer.
	told uint64
}

type fleetMetrics struct {
	reports, announcements, orders, orderFailures, documents tally.Counter
	targets, entries                                         tally.Gauge
}

func newFleet(svc *service, logger *log.Logger, scope tally.Scope, holder string, o *options) *Fleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{
		svc: svc, log: logger, decode: o.decode, engines: o.engines, orderPause: o.orderPause,
		announcePeriod: o.announcePeriod, holder: holder, ctx: ctx, stop: stop,
		count: fleetMetrics{
			reports: scope.Counter("reports"), announcements: scope.Counter("announcements"),
			orders: scope.Counter("orders"), orderFailures: scope.Counter("orderFailures"),
			documents: scope.Counter("documents"),
			targets:   scope.Gauge("fleetTargets"), entries: scope.Gauge("fleetEntries"),
		},
	}
	f.reset(time.Now(), 0)
	return f
}

// Close ends the orders in progress and waits for them.
func (f *Fleet) Close() error {
	f.stop()
	f.wg.Wait()
	return nil
}

// reset starts the tables of a new term; the caller holds mu, or is alone.
func (f *Fleet) reset(now time.Time, term uint64) {
	f.term, f.since = term, now
	f.stations = make(map[string]*station)
	f.planners = make(map[string]*scale.Planner)
	f.entries = make(map[string]*entryState)
	f.prompts = promptLog{}
	f.lost, f.doubtful = poison.Count{}, nil
	f.loads = loadTotals{sums: make(map[string]*wire.TargetLoad)}
	f.table = fleet.New(now, term, f.records)
}

// lead returns the term that this instance leads, with the tables of that term.
// The caller holds mu.
func (f *Fleet) lead() (uint64, error) {
	term, ok := f.svc.group.Leading()
	if !ok {
		return 0, f.svc.notLeader()
	}
	if term > f.term {
		f.reset(time.Now(), term)
		f.recall(time.Now())
	}
	return term, nil
}

// Leader returns the address of the leading instance; self says that it is this one.
func (f *Fleet) Leader() (addr netip.AddrPort, self, ok bool) {
	if _, leading := f.svc.group.Leading(); leading {
		return netip.AddrPort{}, true, true
	}
	addr, ok = f.svc.group.Leader()
	return addr, false, ok
}

// current returns the indexed document in force; nil before the first one. The
// caller holds mu.
func (f *Fleet) current() *site.Index {
	f.svc.machineMu.RLock()
	doc := f.svc.machine.Document()
	f.svc.machineMu.RUnlock()
	if doc.GetVersion() == f.indexVersion {
		return f.index
	}
	cfg, err := f.decode(doc.GetVersion(), doc.GetContent())
	if err != nil {
		// Only valid documents are stored; another build may judge differently.
		f.log.Error().Str("event", "documentUnreadable").Uint64("version", doc.GetVersion()).Err(err).Msg("")
		return f.index
	}
	f.index, f.indexVersion = site.NewIndex(cfg), doc.GetVersion()
	return f.index
}

// Post stores a document if its version is the highest so far. It returns nil as
// soon as the document, or one with a version as high, is durable at a majority.
func (f *Fleet) Post(ctx context.Context, version uint64, content []byte) (stored bool, err error) {
	if _, err := f.decode(version, content); err != nil {
		f.log.Info().Str("event", "documentRefused").Uint64("version", version).Err(err).Msg("")
		return false, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := call(ctx, f.svc, "Post", link.Protocol, &wire.Command{
		Body: &wire.Command_Post{Post: &wire.Document{Version: version, Content: content}},
	}, (*wire.CommandReply).GetPost)
	if err != nil {
		f.log.Warn().Str("event", "documentNotStored").Uint64("version", version).Err(err).Msg("")
		return false, err
	}
	f.count.documents.Inc(1)
	f.log.Info().Str("event", "documentPosted").Uint64("version", version).
		Bool("stored", reply.GetStored()).Uint64("inForce", reply.GetVersion()).Msg("")
	return reply.GetStored(), nil
}

// Read returns the newest document after a majority has confirmed this leader;
// nil before the first one.
func (f *Fleet) Read(ctx context.Context) (*wire.Document, error) {
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

// Announce takes an announcement. A target that leaves is acknowledged only when
// the entry instances have heard of it, or after newsWait.
func (f *Fleet) Announce(ctx context.Context, a fleet.Announcement, e EngineState) error {
	now := time.Now()
	f.mu.Lock()
	if _, err := f.lead(); err != nil {
		f.mu.Unlock()
		return err
	}
	f.count.announcements.Inc(1)
	f.lost.Alive(now, poison.Process{Target: a.ID, BornMillis: a.Born.UnixMilli()})
	before, known := f.table.Lookup(a.ID)
	if known && before.Born.Before(a.Born) {
		delete(f.stations, a.ID)
	}
	outcome, changed := f.table.Announce(now, a)
	if outcome == fleet.Current && a.HasModels {
		changed = f.observe(now, a, e) || changed
	}
	_, version := f.table.Version()
	f.mu.Unlock()
	if changed && (!known || a.Draining != before.Draining) || outcome == fleet.Superseded {
		f.log.Info().Str("event", "announced").Str("target", a.ID).Str("service", a.Service).
			Str("addr", a.Addr.String()).Uint64("sequence", a.Sequence).Bool("draining", a.Draining).
			Str("outcome", outcome.String()).Msg("")
	}
	if a.Draining && changed {
		f.spread(ctx, a.ID, version)
	}
	return nil
}

// Leave notes that a target takes no new work; see Announce.
func (f *Fleet) Leave(ctx context.Context, id string) error {
	f.mu.Lock()
	if _, err := f.lead(); err != nil {
		f.mu.Unlock()
		return err
	}
	changed := f.table.Leave(time.Now(), id)
	_, version := f.table.Version()
	f.mu.Unlock()
	if changed {
		f.log.Info().Str("event", "targetLeft").Str("target", id).Msg("")
		f.spread(ctx, id, version)
	}
	return nil
}

// spread waits until every live entry instance was told the table of version.
func (f *Fleet) spread(ctx context.Context, id string, version uint64) {
	if err := f.enlist(ctx, id); err != nil {
		f.log.Warn().Str("event", "leavingNotListed").Str("target", id).Err(err).Msg("")
	}
	end := time.Now().Add(newsWait)
	for ctx.Err() == nil && time.Now().Before(end) && !f.told(version) {
		time.Sleep(newsPoll)
	}
}

func (f *Fleet) told(version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, e := range f.entries {
		if now.Sub(e.heard) < entryLease && e.told < version {
			return false
		}
	}
	return true
}

// Report takes what an entry instance sees and answers with what is new to it.
func (f *Fleet) Report(ctx context.Context, req *wire.FleetRequest) (reply *wire.FleetReply, err error) {
	ctx, end, err := f.svc.begin(ctx, "Report", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	if req.GetName() == "" {
		return nil, link.Errorf(link.CodeInvalid, "report has no name")
	}
	f.count.reports.Inc(1)
	if req.GetDocumentVersion() == 0 {
		// A process that holds nothing must not start with an old version.
		if _, err := f.Read(ctx); err != nil {
			return nil, err
		}
	}
	reply, term, err := f.report(time.Now(), req)
	if err != nil {
		return nil, err
	}
	// A leader that was paused or deposed meanwhile must not answer.
	if now, ok := f.svc.group.Leading(); !ok || now != term {
		return nil, f.svc.notLeader()
	}
	return reply, nil
}

func (f *Fleet) report(now time.Time, req *wire.FleetRequest) (*wire.FleetReply, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	term, err := f.lead()
	if err != nil {
		return nil, 0, err
	}
	if req.GetLeaving() {
		f.dropEntry(req.GetName())
		return &wire.FleetReply{Protocol: link.Protocol}, term, nil
	}
	e := f.entries[req.GetName()]
	if e == nil {
		e = &entryState{}
		f.entries[req.GetName()] = e
	}
	f.loads.replace(e.loads, req.GetLoads())
	e.heard, e.loads, e.demand = now, req.GetLoads(), req.GetDemand()
	f.touchAdapters(now, req.GetLoads())
	reply := &wire.FleetReply{Protocol: link.Protocol, Term: term, Warm: f.table.Warm(now)}
	reply.Targets, reply.TableVersion, reply.Whole = f.table.Since(req.GetTerm(), req.GetTableVersion(), tableTold)
	e.told = reply.GetTableVersion()
	reply.Loads, reply.Entries = f.loads.others(req.GetLoads()), uint32(len(f.entries))
	reply.ReportMillis = uint32(reportPeriod(len(f.entries)).Milliseconds())
	if _, version := f.table.Version(); version > reply.GetTableVersion() {
		reply.ReportMillis = uint32(partPeriod.Milliseconds())
	}
	f.svc.machineMu.RLock()
	if doc := f.svc.machine.Document(); doc.GetVersion() > req.GetDocumentVersion() {
		reply.Document = doc
	}
	f.svc.machineMu.RUnlock()
	reply.Control = f.control
	reply.Suspects = f.takeLost(now, req)
	f.prompts.add(req.GetName(), req.GetCached())
	held := req.GetCachedSequence()
	if req.GetTerm() != term {
		held = 0
	}
	reply.Cached, reply.CachedSequence = f.prompts.since(req.GetName(), held)
	return reply, term, nil
}

// takeLost counts the requests that an entry instance lost with their targets, and
// returns those that should not be sent like others; the caller holds mu.
func (f *Fleet) takeLost(now time.Time, req *wire.FleetRequest) []*wire.Suspect {
	for _, l := range req.GetLost() {
		if len(l.GetFingerprint()) != poison.Size {
			continue
		}
		f.table.Broke(now, l.GetTarget())
		f.lost.Lost(now, poison.Fingerprint(l.GetFingerprint()), poison.Process{Target: l.GetTarget(), BornMillis: l.GetBornMillis()})
		f.log.Warn().Str("event", "requestLost").Str("entry", req.GetName()).Str("target", l.GetTarget()).
			Hex("fingerprint", l.GetFingerprint()).Msg("")
	}
	for _, fp := range req.GetCompleted() {
		if len(fp) == poison.Size {
			f.lost.Succeeded(poison.Fingerprint(fp))
		}
	}
	return f.lost.Suspects(now)
}

func (f *Fleet) dropEntry(name string) {
	if e := f.entries[name]; e != nil {
		f.loads.replace(e.loads, nil)
		delete(f.entries, name)
	}
}

// reportPeriod is the time between two reports of an entry instance. The number
// of reports per second is bounded, and so is the age of what instances know.
func reportPeriod(entries int) time.Duration {
	d := time.Duration(entries) * time.Second / reportsPerSecond
	return min(max(d, reportPeriodMin), reportPeriodMax)
}

// tick expires targets and entry instances and runs the planners.
func (f *Fleet) tick(now time.Time) {
	members := f.svc.members()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.lead(); err != nil {
		return
	}
	f.control = members
	for _, id := range f.table.Expire(now) {
		delete(f.stations, id)
		f.log.Warn().Str("event", "targetSilent").Str("target", id).Dur("lease", fleet.Lease).Msg("")
	}
	for name, e := range f.entries {
		if now.Sub(e.heard) > entryLease {
			f.dropEntry(name)
			f.log.Warn().Str("event", "entrySilent").Str("entry", name).Dur("lease", entryLease).Msg("")
		}
	}
	f.loads.rank()
	f.count.entries.Update(float64(len(f.entries)))
	live := f.table.Live()
	f.count.targets.Update(float64(len(live)))
	if now.Sub(f.since) >= max(f.orderPause, earlyPlan) {
		f.plan(now, f.sure(now, live), !f.table.Warm(now))
	}
}

// sure leaves out the targets that are probably gone; the caller holds mu.
func (f *Fleet) sure(now time.Time, live []fleet.Announcement) []fleet.Announcement {
	doubtful := f.table.Doubtful(now, f.announcePeriod)
	for id := range doubtful {
		if !f.doubtful[id] {
			f.log.Warn().Str("event", "targetDoubtful").Str("target", id).Uint64("term", f.term).Msg("")
		}
	}
	f.doubtful = doubtful
	return slices.DeleteFunc(live, func(a fleet.Announcement) bool { return doubtful[a.ID] })
}

// demand sums the demand for each model over the entry instances.
func (f *Fleet) demand(now time.Time) map[string]scale.Demand {
	out := make(map[string]scale.Demand)
	for _, e := range f.entries {
		if now.Sub(e.heard) > entryLease {
			continue
		}
		for _, d := range e.demand {
			sum := out[d.GetModel()]
			sum.Work += d.GetWorkMicrosPerSecond() / 1e6
			sum.Waiting += int(d.GetWaiting())
			out[d.GetModel()] = sum
		}
	}
	return out
}

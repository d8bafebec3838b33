package gate

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/quota"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
	"bulrushpath.example/lib/wire"
)

const (
	// defaultReportInterval is the interval between reports to control unless control
	// requests another one. It limits the age of the configuration and of the target
	// table.
	defaultReportInterval = 200 * time.Millisecond
	// startupReportInterval is the report interval until the first configuration is
	// received.
	startupReportInterval = 60 * time.Millisecond
	// minReportInterval is the minimum interval between reports.
	minReportInterval = 30 * time.Millisecond
	// largeReportInterval is the interval that control requests in deployments of 100 instances.
	largeReportInterval = 500 * time.Millisecond
	// maxReportPause limits the pause after a failed report.
	maxReportPause = 2 * time.Second
	// reportTimeout is the timeout of one call, so that the next control instance is
	// tried if one is unreachable without an error, as behind a network partition.
	reportTimeout = 500 * time.Millisecond
	// fetchTimeout is the timeout for fetching an adapter. Afterwards, another target
	// may have the adapter sooner.
	fetchTimeout = 500 * time.Millisecond
)

// reportWhenDue waits until the next report is due and sends it.
func (g *Gateway) reportWhenDue(ctx context.Context) error {
	if !g.awaitPause(ctx) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(g.nextReportInterval() - minReportInterval):
		case <-g.reportNow:
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(minReportInterval):
	}
	return g.report(ctx)
}

// nextReportInterval returns the current interval between reports.
func (g *Gateway) nextReportInterval() time.Duration {
	if g.index.Load() == nil {
		return startupReportInterval
	}
	if d := time.Duration(g.reportInterval.Load()); d > minReportInterval {
		return d
	}
	return defaultReportInterval
}

// awaitPause waits for the pause after a failed report, if there is one, and reports whether there
// was. What would trigger a report earlier does not end it.
func (g *Gateway) awaitPause(ctx context.Context) bool {
	d := g.reportPause
	g.reportPause = 0
	if d <= minReportInterval {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(d - minReportInterval):
	}
	return true
}

// setReportPause sets the pause after a failed report that took the given time: as long as control
// asks for, or, if a large deployment's control does not answer in time, about one report interval
// after the first report and two after each further one. Without the pause, the repeated reports of
// all instances keep control overloaded.
func (g *Gateway) setReportPause(err error, took time.Duration) {
	if d, ok := link.BusyFor(err); ok {
		g.reportPause = min(d, maxReportPause)
		return
	}
	interval := g.fullReportInterval
	if took < reportTimeout || interval < largeReportInterval {
		return
	}
	g.slowReports++
	d := interval << min(g.slowReports-1, 1)
	g.reportPause = min(d/2+rand.N(d), maxReportPause)
}

// triggerReport triggers a report before the next one is due.
func (g *Gateway) triggerReport() {
	select {
	case g.reportNow <- struct{}{}:
	default:
	}
}

// report sends this instance's observations to control and applies the reply.
func (g *Gateway) report(ctx context.Context) error {
	req, limits := g.buildReport()
	sent := g.contact.Now()
	var reply *wire.FleetReply
	err := g.callControl(ctx, reportTimeout, func(ctx context.Context, c wire.DRPCFleetClient) (err error) {
		reply, err = c.Report(ctx, req)
		return err
	})
	if err != nil {
		g.setReportPause(err, g.contact.Now()-sent)
		g.requeueReport(req)
		g.metrics.recordLostReport(g.contact.Age())
		g.logTableAge()
		return fmt.Errorf("report to control: %w", err)
	}
	g.slowReports = 0
	now := time.Now()
	if g.contact.Age() > maxContactAge {
		g.log.Info().Str("event", "controlReached").Uint64("term", reply.GetTerm()).Msg("")
	}
	g.warm.Store(reply.GetWarm())
	g.reportInterval.Store(int64(reply.GetReportMillis()) * int64(time.Millisecond))
	if !reply.GetPartial() {
		g.fullReportInterval = time.Duration(g.reportInterval.Load())
	}
	doc, err := wire.UnpackDocument(reply)
	if err != nil {
		return fmt.Errorf("report to control: %w", err)
	}
	if err := wire.UnpackTargets(reply); err != nil {
		return fmt.Errorf("report to control: %w", err)
	}
	confirmed := g.applyDocument(doc)
	g.contact.Answered(sent)
	if confirmed {
		g.confirmed.Answered(sent)
	}
	g.applyTable(now, limits, reply)
	if !reply.GetPartial() {
		g.tableContact.Answered(sent)
	}
	g.logTableAge()
	return nil
}

// buildReport returns the next report and the limits of targets that it contains.
func (g *Gateway) buildReport() (*wire.FleetRequest, []quota.Limit) {
	now := time.Now()
	req := &wire.FleetRequest{Protocol: link.Protocol, Name: g.name, Zone: g.zone, AcceptPacked: true, AcceptPackedTargets: true}
	if x := g.index.Load(); x != nil {
		req.DocumentVersion = x.Config.Version
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	req.Term, req.TableVersion = g.fleet.term, g.fleet.version
	req.Loads = g.fleet.ownLoads(now, g.usedAdapters)
	clear(g.usedAdapters)
	req.Demand = g.demand.Report(now)
	req.Cached, req.CachedSequence = g.cached, g.cachedSequence
	g.cached = nil
	req.Lost, req.Completed = g.suspects.lost, g.suspects.completed
	g.suspects.lost, g.suspects.completed = nil, nil
	req.Wanted = g.suspects.takeWanted()
	limits := g.limits.Unreported()
	for _, l := range limits {
		req.Limits = append(req.Limits, l.ToWire(now))
	}
	req.LimitsVersion = g.limits.Version()
	return req, limits
}

// requeueReport queues the entries of a failed report that no other report contains, so
// that the next report sends them again.
func (g *Gateway) requeueReport(req *wire.FleetRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.suspects
	s.lost = slices.Concat(req.GetLost(), s.lost)
	s.lost = s.lost[:min(len(s.lost), maxLost)]
	s.completed = slices.Concat(req.GetCompleted(), s.completed)
	s.completed = s.completed[:min(len(s.completed), maxCompleted)]
}

// applyDocument activates a configuration that is newer than the active one. doc is nil if control
// has none that is newer. It returns false if the latest configuration is not active.
func (g *Gateway) applyDocument(doc *wire.Document) bool {
	if doc == nil {
		return g.index.Load() != nil
	}
	var current uint64
	if x := g.index.Load(); x != nil {
		current = x.Config.Version
	}
	if doc.GetVersion() <= current {
		return doc.GetVersion() == current
	}
	cfg, err := g.decodeConfig(doc.GetVersion(), doc.GetContent())
	if err != nil {
		g.log.Error().Str("event", "configUnreadable").Uint64("version", doc.GetVersion()).Err(err).Msg("")
		return false
	}
	index := site.NewIndex(cfg)
	g.setRequestBudget(cfg.Limits.BodyBytes)
	g.index.Store(index)
	g.quotas.triggerCall()
	g.mu.Lock()
	g.budgets.Retain(time.Now(), func(service string) bool { return index.Service(service) != nil })
	g.retainAdmissions(index)
	g.mu.Unlock()
	if current == 0 {
		close(g.firstConfig)
	}
	g.log.Info().Str("event", "configInEffect").Uint64("version", doc.GetVersion()).
		Uint64("replaced", current).Int("routes", len(cfg.Routes)).Int("customers", len(cfg.Customers)).Msg("")
	return true
}

func (g *Gateway) applyTable(now time.Time, sent []quota.Limit, reply *wire.FleetReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setControlMembers(reply)
	if reply.GetDeferred() {
		return
	}
	term := g.fleet.term
	added, left, gone := g.fleet.apply(now, reply)
	if len(added)+len(left)+len(gone) > 0 || term != reply.GetTerm() {
		g.log.Info().Str("event", "tableChanged").Uint64("term", reply.GetTerm()).
			Uint64("version", reply.GetTableVersion()).Strs("added", added).Strs("leaving", left).
			Strs("gone", gone).Msg("")
	}
	g.mergeLimits(now, term != reply.GetTerm(), sent, reply)
	g.applyNotices(now)
	g.budgets.SetInstances(now, int(reply.GetEntries()))
	// A new leader does not know the number at first.
	if n := min(reply.GetEntries(), math.MaxInt32); n > 0 {
		g.instances.Store(int32(n))
		g.admissions.setInstances(int(n))
	}
	if len(gone) > 0 {
		g.retainAdmissions(g.index.Load())
	}
	g.applyCached(reply)
	if n := g.suspects.apply(now, reply.GetTerm(), reply.GetSuspects()); n > 0 {
		cancelled := g.suspects.cancelRunning()
		g.log.Warn().Str("event", "suspectsChanged").Uint64("term", reply.GetTerm()).Int("news", n).
			Int("suspects", len(g.suspects.verdicts)).Int("cancelled", cancelled).Msg("")
	}
	g.notifyTableChange()
}

// setControlMembers records the control instances in a reply. The caller holds mu.
func (g *Gateway) setControlMembers(reply *wire.FleetReply) {
	g.controlMembers = g.controlMembers[:0]
	for _, text := range reply.GetControl() {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			g.controlMembers = append(g.controlMembers, addr)
		}
	}
}

// notifyTableChange wakes the requests that wait for a target. The caller holds mu.
func (g *Gateway) notifyTableChange() {
	close(g.tableChanged)
	g.tableChanged = make(chan struct{})
}

// maxCachedPrompts is the maximum number of cached prompt prefixes in one report.
const maxCachedPrompts = 256

// recordCached adds a prompt prefix to the next report unless the report is full. The
// caller holds mu.
func (g *Gateway) recordCached(target string, x steer.CachedPrefix) {
	if len(g.cached) < maxCachedPrompts {
		g.cached = append(g.cached, &wire.CachedPrompt{Target: target, Key: x.Key, Tokens: uint32(x.Tokens)})
	}
}

// applyCached records which prompt prefixes other instances have sent to which targets.
// The caller holds mu.
func (g *Gateway) applyCached(reply *wire.FleetReply) {
	g.cachedSequence = reply.GetCachedSequence()
	index := g.index.Load()
	if index == nil {
		return
	}
	for _, x := range reply.GetCached() {
		t := g.fleet.targets[x.GetTarget()]
		if t == nil {
			continue
		}
		if s := index.Service(t.Service); s != nil && s.Engine != nil {
			t.AddCachedPrefix(steer.CachedPrefix{Key: x.GetKey(), Tokens: int(x.GetTokens())}, steer.Selection{KVTokens: s.Engine.KVTokens})
		}
	}
}

// callControl calls the control leader and follows one redirect per address. Each instance
// is tried at most once.
func (g *Gateway) callControl(ctx context.Context, timeout time.Duration,
	fn func(ctx context.Context, c wire.DRPCFleetClient) error,
) error {
	var last error
	tried := make(map[netip.AddrPort]bool)
	for _, addr := range g.controlAddrs() {
		for range 2 {
			if tried[addr] || ctx.Err() != nil {
				break
			}
			tried[addr] = true
			tryCtx, cancel := context.WithTimeout(ctx, timeout)
			err := fn(tryCtx, wire.NewDRPCFleetClient(g.controlConns.Conn(tryCtx, addr)))
			cancel()
			if err == nil {
				g.mu.Lock()
				g.lastLeader = addr
				g.mu.Unlock()
				return nil
			}
			last = fmt.Errorf("control at %s: %w", addr, err)
			if link.CodeOf(err) == link.CodeBusy {
				// Only the leader refuses calls with this code.
				return last
			}
			to, ok := link.LeaderOf(err)
			if !ok {
				break
			}
			addr = to
		}
	}
	if last == nil {
		return fmt.Errorf("no control address is known")
	}
	return last
}

// controlAddrs returns the control addresses to try: first the last known leader, then the
// members from the last reply and the seeds in random order.
func (g *Gateway) controlAddrs() []netip.AddrPort {
	g.mu.Lock()
	out := make([]netip.AddrPort, 0, 8)
	if g.lastLeader.IsValid() {
		out = append(out, g.lastLeader)
	}
	rest := slices.Concat(g.controlMembers, g.seeds())
	g.mu.Unlock()
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(out, rest...)
}

// fetchAdapter requests from control that a target fetches an adapter. It returns when the
// adapter is expected to be resident.
func (g *Gateway) fetchAdapter(ctx context.Context, target, model, adapter string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply *wire.FetchReply
	err := g.callControl(ctx, fetchTimeout, func(ctx context.Context, c wire.DRPCFleetClient) (err error) {
		reply, err = c.Fetch(ctx, &wire.FetchRequest{
			Protocol: link.Protocol, Target: target, Model: model, Adapter: adapter,
		})
		return err
	})
	switch {
	case err != nil:
		return err
	case !reply.GetAccepted():
		return fmt.Errorf("control refused to fetch the adapter: %s", reply.GetMessage())
	}
	return nil
}

// reportLeaving tells control that this instance is leaving. If the message is lost, the
// instance's lease expires.
func (g *Gateway) reportLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	req := &wire.FleetRequest{Protocol: link.Protocol, Name: g.name, Leaving: true}
	err := g.callControl(ctx, reportTimeout, func(ctx context.Context, c wire.DRPCFleetClient) error {
		_, err := c.Report(ctx, req)
		return err
	})
	if err != nil {
		g.log.Warn().Str("event", "signOffFailed").Err(err).Msg("")
	}
}

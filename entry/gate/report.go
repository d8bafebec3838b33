package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
	"bulrushpath.example/lib/wire"
)

const (
	// reportPeriod is the interval between reports to control unless control requests
	// another one. It limits the age of the configuration and of the target table.
	reportPeriod = 200 * time.Millisecond
	// startPeriod is the report interval until the first configuration is received.
	startPeriod = 60 * time.Millisecond
	// kickPause is the minimum interval between reports.
	kickPause = 30 * time.Millisecond
	// reportTimeout is the timeout of one call, so that the next control instance is
	// tried if one is unreachable without an error, as behind a network partition.
	reportTimeout = 500 * time.Millisecond
	// fetchTimeout is the timeout for fetching an adapter. Afterwards, another target
	// may have the adapter sooner.
	fetchTimeout = 500 * time.Millisecond
)

// reportDue waits until the next report is due and sends it.
func (g *Gate) reportDue(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(g.period() - kickPause):
	case <-g.kick:
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(kickPause):
	}
	return g.report(ctx)
}

// period returns the current interval between reports.
func (g *Gate) period() time.Duration {
	if g.index.Load() == nil {
		return startPeriod
	}
	if d := time.Duration(g.reportEvery.Load()); d > kickPause {
		return d
	}
	return reportPeriod
}

// hurry triggers a report before the next one is due.
func (g *Gate) hurry() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// report sends this instance's observations to control and applies the reply.
func (g *Gate) report(ctx context.Context) error {
	req := g.request()
	var reply *wire.FleetReply
	err := g.ask(ctx, reportTimeout, func(ctx context.Context, c wire.DRPCFleetClient) (err error) {
		reply, err = c.Report(ctx, req)
		return err
	})
	if err != nil {
		g.keepReport(req)
		g.met.lost(time.Unix(0, g.contact.Load()))
		return fmt.Errorf("report to control: %w", err)
	}
	now := time.Now()
	if before := g.contact.Swap(now.UnixNano()); now.Sub(time.Unix(0, before)) > contactWithin {
		g.log.Info().Str("event", "controlReached").Uint64("term", reply.GetTerm()).Msg("")
	}
	g.warm.Store(reply.GetWarm())
	g.reportEvery.Store(int64(reply.GetReportMillis()) * int64(time.Millisecond))
	g.takeDocument(reply.GetDocument())
	g.takeTable(now, reply)
	return nil
}

func (g *Gate) request() *wire.FleetRequest {
	now := time.Now()
	req := &wire.FleetRequest{Protocol: link.Protocol, Name: g.name, Zone: g.zone}
	if x := g.index.Load(); x != nil {
		req.DocumentVersion = x.Config.Version
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	req.Term, req.TableVersion = g.fleet.term, g.fleet.version
	req.Loads = g.fleet.loads(now, g.adapters)
	clear(g.adapters)
	req.Demand = g.demand.Report(now)
	req.Cached, req.CachedSequence = g.cached, g.cachedSeen
	g.cached = nil
	req.Lost, req.Completed = g.suspects.lost, g.suspects.completed
	g.suspects.lost, g.suspects.completed = nil, nil
	return req
}

// keepReport queues the entries of a failed report that no other report contains, so
// that the next report sends them again.
func (g *Gate) keepReport(req *wire.FleetRequest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.suspects
	s.lost = slices.Concat(req.GetLost(), s.lost)
	s.lost = s.lost[:min(len(s.lost), maxLost)]
	s.completed = slices.Concat(req.GetCompleted(), s.completed)
	s.completed = s.completed[:min(len(s.completed), completedKept)]
}

// takeDocument activates a configuration that is newer than the active one.
func (g *Gate) takeDocument(doc *wire.Document) {
	if doc == nil {
		return
	}
	var held uint64
	if x := g.index.Load(); x != nil {
		held = x.Config.Version
	}
	if doc.GetVersion() <= held {
		return
	}
	cfg, err := g.decode(doc.GetVersion(), doc.GetContent())
	if err != nil {
		g.log.Error().Str("event", "configUnreadable").Uint64("version", doc.GetVersion()).Err(err).Msg("")
		return
	}
	g.index.Store(site.NewIndex(cfg))
	if held == 0 {
		close(g.configured)
	}
	g.log.Info().Str("event", "configInEffect").Uint64("version", doc.GetVersion()).
		Uint64("replaced", held).Int("routes", len(cfg.Routes)).Msg("")
}

func (g *Gate) takeTable(now time.Time, reply *wire.FleetReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.fleet.term
	added, left, gone := g.fleet.take(now, reply)
	if len(added)+len(left)+len(gone) > 0 || term != reply.GetTerm() {
		g.log.Info().Str("event", "tableChanged").Uint64("term", reply.GetTerm()).
			Uint64("version", reply.GetTableVersion()).Strs("added", added).Strs("leaving", left).
			Strs("gone", gone).Msg("")
	}
	g.setBudget(int(reply.GetEntries()))
	g.takeCached(reply)
	if n := g.suspects.take(now, reply.GetSuspects()); n > 0 {
		g.log.Warn().Str("event", "suspectsChanged").Uint64("term", reply.GetTerm()).Int("news", n).
			Int("suspects", len(g.suspects.verdicts)).Msg("")
	}
	g.control = g.control[:0]
	for _, text := range reply.GetControl() {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			g.control = append(g.control, addr)
		}
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// maxCached is the maximum number of cached prompts in one report.
const maxCached = 256

// noteCached adds a prompt to the next report. The caller holds mu.
func (g *Gate) noteCached(target string, x steer.Cached) {
	if len(g.cached) < maxCached {
		g.cached = append(g.cached, &wire.CachedPrompt{Target: target, Key: x.Key, Tokens: uint32(x.Tokens)})
	}
}

// takeCached records to which targets other instances have sent prompts. The caller
// holds mu.
func (g *Gate) takeCached(reply *wire.FleetReply) {
	g.cachedSeen = reply.GetCachedSequence()
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
			t.Learn(steer.Cached{Key: x.GetKey(), Tokens: int(x.GetTokens())}, steer.Site{KVTokens: s.Engine.KVTokens})
		}
	}
}

// ask calls the control leader and follows one redirect per address. Each instance is
// tried at most once.
func (g *Gate) ask(ctx context.Context, timeout time.Duration,
	fn func(ctx context.Context, c wire.DRPCFleetClient) error,
) error {
	var last error
	tried := make(map[netip.AddrPort]bool)
	for _, addr := range g.controls() {
		for range 2 {
			if tried[addr] || ctx.Err() != nil {
				break
			}
			tried[addr] = true
			tryCtx, cancel := context.WithTimeout(ctx, timeout)
			err := fn(tryCtx, wire.NewDRPCFleetClient(g.drpc.Conn(tryCtx, addr)))
			cancel()
			if err == nil {
				g.mu.Lock()
				g.leader = addr
				g.mu.Unlock()
				return nil
			}
			last = fmt.Errorf("control at %s: %w", addr, err)
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

// controls returns the control addresses to try: first the last known leader, then the
// members from the last reply and the seeds in random order.
func (g *Gate) controls() []netip.AddrPort {
	g.mu.Lock()
	out := make([]netip.AddrPort, 0, 8)
	if g.leader.IsValid() {
		out = append(out, g.leader)
	}
	rest := slices.Concat(g.control, g.seeds())
	g.mu.Unlock()
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(out, rest...)
}

// fetch requests from control that a target fetches an adapter. It returns when the
// adapter is expected to be resident.
func (g *Gate) fetch(ctx context.Context, target, model, adapter string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply *wire.FetchReply
	err := g.ask(ctx, fetchTimeout, func(ctx context.Context, c wire.DRPCFleetClient) (err error) {
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

// signOff tells control that this instance is leaving. If the message is lost, the
// instance's lease expires.
func (g *Gate) signOff() {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	req := &wire.FleetRequest{Protocol: link.Protocol, Name: g.name, Leaving: true}
	err := g.ask(ctx, reportTimeout, func(ctx context.Context, c wire.DRPCFleetClient) error {
		_, err := c.Report(ctx, req)
		return err
	})
	if err != nil {
		g.log.Warn().Str("event", "signOffFailed").Err(err).Msg("")
	}
}

package control

import (
	"context"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
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
)

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
	reply, term, err := f.reportInTurn(ctx, req)
	if err != nil {
		return nil, err
	}
	f.saveReported(ctx, req)
	// If this instance was paused or deposed in the meantime, the reply may be outdated
	// and must not be sent.
	if current, ok := f.svc.group.Leading(); !ok || current != term {
		return nil, f.svc.notLeader()
	}
	return reply, nil
}

// reportInTurn does the work of report once reportGate lets it. What waits for other instances stays
// outside of the gate, as it would keep out the reports that do not.
func (f *Fleet) reportInTurn(ctx context.Context, req *wire.FleetRequest) (*wire.FleetReply, uint64, error) {
	if !req.GetLeaving() {
		leave, err := f.reportGate.enter(ctx)
		if err != nil {
			f.metrics.reportsRefused.Inc(1)
			return nil, 0, err
		}
		defer leave()
	}
	return f.report(time.Now(), req)
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
	f.recordLimits(now, req)
	f.recordLostRequests(now, req)
	f.prompts.add(req.GetName(), req.GetCached())
	reply := &wire.FleetReply{Protocol: link.Protocol, Term: term, Warm: f.table.Warm(now)}
	reply.Control = f.controlAddrs
	f.addDocument(req, reply)
	if !f.addTargets(now, req, reply) {
		return reply, term, nil
	}
	reply.Loads = f.loads.others(req.GetLoads())
	if now.Sub(f.termStart) >= entryLease {
		// Earlier, live instances may not have reported to this leader yet.
		reply.Entries = uint32(len(f.entries))
	}
	f.addLimits(now, req, reply)
	reply.Suspects = f.suspects(now, req)
	held := req.GetCachedSequence()
	if req.GetTerm() != term {
		held = 0
	}
	reply.Cached, reply.CachedSequence = f.prompts.since(req.GetName(), held, promptsPerReply(len(f.entries)))
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

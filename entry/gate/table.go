package gate

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/steer"
	"bulrushpath.example/lib/wire"
)

// orphanTimeout is how long targets from the previous leader's table are kept until the new
// leader has received their announcements. It exceeds the lease of an announcement. They may
// have left meanwhile, and are used only after a health check.
const orphanTimeout = 8 * time.Second

// fleetTable is this instance's copy of the control leader's target table.
type fleetTable struct {
	term, version uint64
	targets       map[string]*steer.Target
	// services holds the targets of each service, sorted by id.
	services map[string][]*steer.Target
	// orphans holds the targets that the current leader has not listed yet, with the
	// time at which they are removed.
	orphans map[string]time.Time
	// confirmations holds the state of the health checks by target id.
	confirmations map[string]*confirmation
}

func newFleetTable() *fleetTable {
	return &fleetTable{
		targets: make(map[string]*steer.Target), services: make(map[string][]*steer.Target),
		orphans: make(map[string]time.Time), confirmations: make(map[string]*confirmation),
	}
}

// apply applies a reply of the leader. For the log, it returns the ids of targets that
// were added, have begun to leave, or were removed.
func (f *fleetTable) apply(now time.Time, reply *wire.FleetReply) (added, left, gone []string) {
	if reply.GetWhole() && reply.GetTerm() != f.term {
		for id := range f.targets {
			f.orphans[id] = now.Add(orphanTimeout)
		}
	}
	f.term, f.version = reply.GetTerm(), reply.GetTableVersion()
	for _, r := range reply.GetTargets() {
		delete(f.orphans, r.GetId())
		old := f.targets[r.GetId()]
		switch {
		case r.GetRemoved():
			if old != nil && old.StartedAt.UnixMilli() <= r.GetBornMillis() {
				delete(f.targets, r.GetId())
				gone = append(gone, r.GetId())
			}
		case old == nil || old.StartedAt.UnixMilli() < r.GetBornMillis():
			t := &steer.Target{ID: r.GetId()}
			if updateTarget(now, t, r) {
				f.targets[r.GetId()] = t
				added = append(added, r.GetId())
			}
		default:
			ready := old.Ready
			updateTarget(now, old, r)
			// A leaving target does not become ready again, even if a new leader does
			// not know yet that it is leaving.
			old.Ready = old.Ready && ready
			if ready && !old.Ready {
				left = append(left, r.GetId())
			}
		}
	}
	for id, until := range f.orphans {
		if now.After(until) {
			delete(f.orphans, id)
			delete(f.targets, id)
			gone = append(gone, id)
		}
	}
	maps.DeleteFunc(f.confirmations, func(id string, _ *confirmation) bool { return f.targets[id] == nil })
	f.rebuildServices()
	f.setOtherLoads(reply.GetLoads())
	return added, left, gone
}

// updateTarget updates a target from a record. It returns false if the record's address
// is invalid.
func updateTarget(now time.Time, t *steer.Target, r *wire.FleetTarget) bool {
	addr, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil {
		return false
	}
	t.Addr, t.Zone, t.Service = addr, r.GetZone(), r.GetService()
	t.StartedAt, t.Slots = time.UnixMilli(r.GetBornMillis()), int(r.GetSlots())
	t.OrderInProgress = r.GetOrdered()
	t.Ready = r.GetPhase() == wire.Phase_PHASE_READY
	t.Models = make(map[string]*steer.Model, len(r.GetModels()))
	for _, m := range r.GetModels() {
		x := &steer.Model{Leaving: m.GetLeaving(), Adapters: make(map[string]bool, len(m.GetAdapters()))}
		if left := m.GetLoadingMicros(); left > 0 {
			x.ReadyAt = now.Add(time.Duration(left) * time.Microsecond)
		}
		for _, a := range m.GetAdapters() {
			x.Adapters[a] = true
		}
		t.Models[m.GetName()] = x
	}
	return true
}

func (f *fleetTable) rebuildServices() {
	clear(f.services)
	for _, t := range f.targets {
		f.services[t.Service] = append(f.services[t.Service], t)
	}
	for _, list := range f.services {
		slices.SortFunc(list, func(a, b *steer.Target) int { return strings.Compare(a.ID, b.ID) })
	}
}

func (f *fleetTable) setOtherLoads(loads []*wire.TargetLoad) {
	for _, t := range f.targets {
		t.Others = steer.Load{}
	}
	for _, l := range loads {
		if t := f.targets[l.GetTarget()]; t != nil {
			t.Others = steer.Load{
				Running: int(l.GetRunning()), PromptTokens: int(l.GetPromptTokens()),
				MemoryTokens: int(l.GetMemoryTokens()), PromptRate: float64(l.GetPromptRate()),
			}
		}
	}
}

// ownLoads returns the work that this instance has in progress at each target, for the
// report to control.
func (f *fleetTable) ownLoads(now time.Time, adapters map[string]map[string]bool) []*wire.TargetLoad {
	var out []*wire.TargetLoad
	for id, t := range f.targets {
		used := adapters[id]
		own := t.Report(now)
		if own.Running <= 0 && len(used) == 0 && own.PromptRate < 1 {
			continue
		}
		l := &wire.TargetLoad{
			Target: id, Running: uint32(max(own.Running, 0)), PromptRate: uint64(own.PromptRate),
			PromptTokens: uint64(max(own.PromptTokens, 0)), MemoryTokens: uint64(max(own.MemoryTokens, 0)),
		}
		for name := range used {
			l.Adapters = append(l.Adapters, name)
		}
		slices.Sort(l.Adapters)
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *wire.TargetLoad) int { return strings.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

package control

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/wire"
)

const (
	// rosterPeriod is the interval between two updates of the roster, the replicated
	// list of targets.
	rosterPeriod = time.Second
	// rosterTimeout bounds one update of the roster. The acknowledgement to a leaving
	// target waits for an update.
	rosterTimeout = 300 * time.Millisecond
	// restoredTargetLease is the lease of a target from the roster until it announces
	// itself to the new leader.
	restoredTargetLease = 3 * time.Second
)

// restoreTargets fills the tables of a new term with the targets in the roster, so that
// they get requests before they have announced themselves to the new leader. The caller
// holds mu.
func (f *Fleet) restoreTargets(now time.Time) {
	f.svc.machineMu.RLock()
	listed := f.svc.machine.Roster()
	f.svc.machineMu.RUnlock()
	for _, r := range listed {
		if r.GetPhase() == wire.Phase_PHASE_LEAVING {
			f.table.RecordLeft(now, r.GetId(), time.UnixMilli(r.GetBornMillis()))
			continue
		}
		addr, err := netip.ParseAddrPort(r.GetAddress())
		if err != nil {
			f.log.Error().Str("event", "rosterEntryInvalid").Str("target", r.GetId()).Err(err).Msg("")
			continue
		}
		a := fleet.Announcement{
			ID: r.GetId(), Addr: addr, Zone: r.GetZone(), Service: r.GetService(),
			Born: time.UnixMilli(r.GetBornMillis()), Slots: int(r.GetSlots()), HasModels: len(r.GetModels()) > 0,
		}
		var e EngineState
		for _, m := range r.GetModels() {
			a.Models = append(a.Models, fleet.Model{Name: m.GetName(), Adapters: m.GetAdapters()})
			e.Held = append(e.Held, scale.ReportedModel{Model: m.GetName(), Adapters: m.GetAdapters()})
		}
		f.table.Announce(now.Add(restoredTargetLease-fleet.Lease), a)
		if a.HasModels {
			f.observe(now, a, e)
		}
	}
	if len(listed) > 0 {
		f.log.Info().Str("event", "targetsRecalled").Int("targets", len(listed)).Uint64("term", f.term).Msg("")
	}
}

// listedTarget is a target for which the roster was found to be in line with the table, so that it
// is compared again only after one of them has changed.
type listedTarget struct {
	// changeVersion is the table version of the latest change of the target.
	changeVersion uint64
	// record is the record in the roster.
	record *wire.FleetTarget
}

// rosterChanges returns the changes that bring the roster in line with the table. The
// caller holds mu.
func (f *Fleet) rosterChanges() []*wire.FleetTarget {
	f.svc.machineMu.RLock()
	defer f.svc.machineMu.RUnlock()
	before := f.svc.machine.RosterTargets()
	listed := make(map[string]listedTarget, len(before))
	var out []*wire.FleetTarget
	add := func(id string, build func() *wire.FleetTarget) {
		now := listedTarget{f.table.ChangeVersion(id), before[id]}
		if now.record != nil && f.listed[id] == now {
			listed[id] = now
			return
		}
		r := build()
		if now.record != nil && proto.Equal(now.record, r) {
			listed[id] = now
			return
		}
		listed[id] = listedTarget{}
		out = append(out, r)
	}
	for _, a := range f.table.Live() {
		add(a.ID, func() *wire.FleetTarget { return rosterEntry(a) })
	}
	for _, a := range f.table.Leaving() {
		add(a.ID, func() *wire.FleetTarget {
			return &wire.FleetTarget{Id: a.ID, BornMillis: a.Born.UnixMilli(), Phase: wire.Phase_PHASE_LEAVING}
		})
	}
	for id, r := range before {
		if _, ok := listed[id]; !ok {
			out = append(out, &wire.FleetTarget{Id: id, BornMillis: r.GetBornMillis(), Removed: true})
		}
	}
	slices.SortFunc(out, func(a, b *wire.FleetTarget) int { return strings.Compare(a.GetId(), b.GetId()) })
	f.listed = listed
	return out
}

// rosterEntry returns the roster entry of a target. It omits the adapters, which change
// often and are read from the engine before they are used.
func rosterEntry(a fleet.Announcement) *wire.FleetTarget {
	r := &wire.FleetTarget{
		Id: a.ID, Address: a.Addr.String(), Zone: a.Zone, Service: a.Service,
		Phase: wire.Phase_PHASE_READY, BornMillis: a.Born.UnixMilli(), Slots: uint32(a.Slots),
	}
	for _, m := range a.Models {
		r.Models = append(r.Models, &wire.FleetModel{Name: m.Name})
	}
	slices.SortFunc(r.Models, func(x, y *wire.FleetModel) int {
		if x.GetName() < y.GetName() {
			return -1
		}
		return 1
	})
	return r
}

// updateRosterIfLeading is the periodic task of updateRoster.
func (f *Fleet) updateRosterIfLeading(ctx context.Context) error {
	if _, leading := f.svc.group.Leading(); !leading {
		return nil
	}
	return f.updateRoster(ctx, "")
}

// updateRoster brings the roster in line with the table; it fails if this instance does not
// lead. leaving is the ID of a target that is leaving, or empty. Until the table is warm, no
// other target is removed, because it may not have announced itself to this leader yet.
func (f *Fleet) updateRoster(ctx context.Context, leaving string) error {
	// An update that was computed earlier must not be applied later: it could list a target
	// again that has left since.
	f.rosterMu.Lock()
	defer f.rosterMu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	f.mu.Lock()
	if _, err := f.requireLeader(); err != nil {
		f.mu.Unlock()
		return err
	}
	warm := f.table.Warm(time.Now())
	changes := f.rosterChanges()
	f.mu.Unlock()
	changes = slices.DeleteFunc(changes, func(r *wire.FleetTarget) bool {
		return !warm && r.GetRemoved() && r.GetId() != leaving
	})
	if len(changes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	_, err := f.svc.propose(ctx, &wire.Command{
		Body: &wire.Command_Enlist{Enlist: &wire.Enlistment{Targets: changes}},
	})
	return err
}

package route

import (
	"net/netip"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

// Table holds the targets of the directory, indexed by what they serve.
type Table struct {
	zone    string
	targets map[string]*Target
	byKey   map[Key]*versionGroups
	losses  []loss
	// inFlight is the sum over all targets.
	inFlight int
	// mean is the smoothed time to first chunk over all targets.
	mean time.Duration
}

// versionGroups holds the ready targets that serve one key, by version.
type versionGroups struct {
	// groups is never empty, and no group in it is empty.
	groups []*group
}

// group holds the ready targets that serve one key and version.
type group struct {
	version string
	members []member
	// epoch counts changes of members, starting at 1. Cached rankings of an earlier
	// epoch are invalid.
	epoch uint32
	// rankings caches one ranking per bucket. It is nil until the group first reaches
	// minCachedGroup.
	rankings []ranking
}

type member struct {
	seed   uint64
	target *Target
}

// loss records the loss of a target and what it served at that time.
type loss struct {
	name   string
	seed   uint64
	groups []groupID
	at     time.Time
}

// New returns an empty table for a process in the given zone.
func New(zone string) *Table {
	return &Table{
		zone:    zone,
		targets: make(map[string]*Target),
		byKey:   make(map[Key]*versionGroups),
		mean:    initialFirstChunk,
	}
}

// Len returns the number of targets in the table.
func (t *Table) Len() int { return len(t.targets) }

// Target returns the target with the given name, or nil.
func (t *Table) Target(name string) *Target { return t.targets[name] }

// Replace replaces the contents of the table by records.
func (t *Table) Replace(records []*wire.TargetRecord, now time.Time) {
	keep := make(map[string]bool, len(records))
	for _, r := range records {
		if !r.GetRemoved() {
			keep[r.GetTarget()] = true
		}
	}
	for name, tg := range t.targets {
		if !keep[name] {
			t.remove(tg, now)
		}
	}
	t.Update(records, now)
}

// Update applies changed records.
func (t *Table) Update(records []*wire.TargetRecord, now time.Time) {
	for _, r := range records {
		t.update(r, now)
	}
}

func (t *Table) update(r *wire.TargetRecord, now time.Time) {
	tg := t.targets[r.GetTarget()]
	addr, err := netip.ParseAddrPort(r.GetAddress())
	switch {
	case r.GetRemoved() || r.GetPhase() == wire.Phase_PHASE_DOWN || err != nil:
		if tg != nil {
			t.remove(tg, now)
		}
		return
	case tg != nil && r.GetIncarnation() < tg.Incarnation:
		return
	case tg == nil:
		tg = &Target{Name: r.GetTarget(), seed: hashString(r.GetTarget())}
		t.targets[tg.Name] = tg
	case r.GetIncarnation() > tg.Incarnation:
		if tg.phase == wire.Phase_PHASE_READY {
			t.recordLoss(tg, now)
		}
		tg.leavingUntil, tg.lostAt, tg.penalty = time.Time{}, time.Time{}, 0
	}
	tg.Addr, tg.Zone, tg.Incarnation = addr, r.GetZone(), r.GetIncarnation()
	tg.phase, tg.otherZone = r.GetPhase(), r.GetZone() != t.zone
	if r.GetSlots() > 0 {
		tg.slots = r.GetSlots()
	}
	var groups []groupID
	if tg.phase == wire.Phase_PHASE_READY {
		groups = groupIDs(r)
	}
	t.setGroups(tg, groups)
}

// groupIDs lists the groups that a record belongs to. An adapter is served only
// while its model is resident too.
func groupIDs(r *wire.TargetRecord) []groupID {
	if r.GetKind() == wire.TargetKind_TARGET_KIND_PLAIN {
		return []groupID{{key: Key{Service: r.GetService()}}}
	}
	groups := make([]groupID, 0, len(r.GetResident()))
	for _, c := range r.GetResident() {
		if c.GetAdapter() != "" && !slices.ContainsFunc(r.GetResident(), func(m *wire.Copy) bool {
			return m.GetAdapter() == "" && m.GetModel() == c.GetModel() && m.GetVersion() == c.GetVersion()
		}) {
			continue
		}
		id := groupID{key: Key{Model: c.GetModel(), Adapter: c.GetAdapter()}, version: c.GetVersion()}
		if !slices.Contains(groups, id) {
			groups = append(groups, id)
		}
	}
	return groups
}

// setGroups changes the groups that tg belongs to.
func (t *Table) setGroups(tg *Target, groups []groupID) {
	for _, id := range tg.groups {
		if !slices.Contains(groups, id) {
			t.leaveGroup(tg, id)
		}
	}
	for _, id := range groups {
		if !slices.Contains(tg.groups, id) {
			t.joinGroup(tg, id)
		}
	}
	tg.groups = groups
}

func (t *Table) joinGroup(tg *Target, id groupID) {
	versions := t.byKey[id.key]
	if versions == nil {
		versions = &versionGroups{}
		t.byKey[id.key] = versions
	}
	gr := versions.group(id.version)
	if gr == nil {
		gr = &group{version: id.version}
		versions.groups = append(versions.groups, gr)
	}
	gr.members = append(gr.members, member{seed: tg.seed, target: tg})
	gr.invalidateRankings()
}

func (t *Table) leaveGroup(tg *Target, id groupID) {
	versions := t.byKey[id.key]
	gr := versions.group(id.version)
	gr.members = slices.DeleteFunc(gr.members, func(m member) bool { return m.target == tg })
	gr.invalidateRankings()
	if len(gr.members) == 0 {
		versions.groups = slices.DeleteFunc(versions.groups, func(x *group) bool { return x == gr })
	}
	if len(versions.groups) == 0 {
		delete(t.byKey, id.key)
	}
}

// remove deletes tg. A target that was ready counts as lost, unless it has refused a
// request within leavingBackoff because it is leaving.
func (t *Table) remove(tg *Target, now time.Time) {
	if tg.phase == wire.Phase_PHASE_READY && !now.Before(tg.leavingUntil) {
		t.recordLoss(tg, now)
	}
	t.setGroups(tg, nil)
	tg.phase = wire.Phase_PHASE_DOWN
	t.inFlight -= tg.inFlight
	tg.inFlight = 0
	delete(t.targets, tg.Name)
}

// recordLoss records the loss of tg and discards records older than LossWindow.
func (t *Table) recordLoss(tg *Target, now time.Time) {
	t.losses = slices.DeleteFunc(t.losses, func(l loss) bool {
		return l.name == tg.Name || now.Sub(l.at) >= LossWindow
	})
	t.losses = append(t.losses, loss{name: tg.Name, seed: tg.seed, groups: tg.groups, at: now})
}

func (v *versionGroups) group(version string) *group {
	for _, gr := range v.groups {
		if gr.version == version {
			return gr
		}
	}
	return nil
}

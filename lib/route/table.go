package route

import (
	"net/netip"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

// Table holds the targets of the directory, indexed by what they serve.
type Table struct {
	zone     string
	targets  map[string]*Target
	families map[Key]*family
	lost     []lostMark
	// inFlight is the sum over all targets.
	inFlight int
	// mean is the smoothed time to first chunk over all targets.
	mean time.Duration
}

// family holds the ready targets that serve one key, by version.
type family struct {
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
	// ranks caches one ranking per bucket; nil for small groups.
	ranks []ranking
}

type member struct {
	seed uint64
	g    *Target
}

// lostMark records the loss of a target and what it served at that time.
type lostMark struct {
	name   string
	seed   uint64
	places []place
	at     time.Time
}

// New returns an empty table for a process in the given zone.
func New(zone string) *Table {
	return &Table{
		zone:     zone,
		targets:  make(map[string]*Target),
		families: make(map[Key]*family),
		mean:     firstPriorWait,
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
	for name, g := range t.targets {
		if !keep[name] {
			t.remove(g, now)
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
	g := t.targets[r.GetTarget()]
	addr, err := netip.ParseAddrPort(r.GetAddress())
	switch {
	case r.GetRemoved() || r.GetPhase() == wire.Phase_PHASE_DOWN || err != nil:
		if g != nil {
			t.remove(g, now)
		}
		return
	case g != nil && r.GetIncarnation() < g.Incarnation:
		return
	case g == nil:
		g = &Target{Name: r.GetTarget(), seed: hashString(r.GetTarget())}
		t.targets[g.Name] = g
	case r.GetIncarnation() > g.Incarnation:
		if g.phase == wire.Phase_PHASE_READY {
			t.markLost(g, now)
		}
		g.leavingUntil, g.lostAt, g.penalty = time.Time{}, time.Time{}, 0
	}
	g.Addr, g.Zone, g.Incarnation = addr, r.GetZone(), r.GetIncarnation()
	g.phase, g.far = r.GetPhase(), r.GetZone() != t.zone
	if r.GetSlots() > 0 {
		g.slots = r.GetSlots()
	}
	var places []place
	if g.phase == wire.Phase_PHASE_READY {
		places = placesOf(r)
	}
	t.move(g, places)
}

// placesOf lists the groups that a record belongs to. An adapter is served only
// while its model is resident too.
func placesOf(r *wire.TargetRecord) []place {
	if r.GetKind() == wire.TargetKind_TARGET_KIND_PLAIN {
		return []place{{key: Key{Service: r.GetService()}}}
	}
	places := make([]place, 0, len(r.GetResident()))
	for _, c := range r.GetResident() {
		if c.GetAdapter() != "" && !slices.ContainsFunc(r.GetResident(), func(m *wire.Copy) bool {
			return m.GetAdapter() == "" && m.GetModel() == c.GetModel() && m.GetVersion() == c.GetVersion()
		}) {
			continue
		}
		p := place{key: Key{Model: c.GetModel(), Adapter: c.GetAdapter()}, version: c.GetVersion()}
		if !slices.Contains(places, p) {
			places = append(places, p)
		}
	}
	return places
}

// move makes places the groups that g belongs to.
func (t *Table) move(g *Target, places []place) {
	for _, p := range g.places {
		if !slices.Contains(places, p) {
			t.leave(g, p)
		}
	}
	for _, p := range places {
		if !slices.Contains(g.places, p) {
			t.join(g, p)
		}
	}
	g.places = places
}

func (t *Table) join(g *Target, p place) {
	f := t.families[p.key]
	if f == nil {
		f = &family{}
		t.families[p.key] = f
	}
	gr := f.group(p.version)
	if gr == nil {
		gr = &group{version: p.version}
		f.groups = append(f.groups, gr)
	}
	gr.members = append(gr.members, member{seed: g.seed, g: g})
	gr.changed()
}

func (t *Table) leave(g *Target, p place) {
	f := t.families[p.key]
	gr := f.group(p.version)
	gr.members = slices.DeleteFunc(gr.members, func(m member) bool { return m.g == g })
	gr.changed()
	if len(gr.members) == 0 {
		f.groups = slices.DeleteFunc(f.groups, func(x *group) bool { return x == gr })
	}
	if len(f.groups) == 0 {
		delete(t.families, p.key)
	}
}

// remove deletes g. A target that was ready and had not refused work as leaving
// counts as lost.
func (t *Table) remove(g *Target, now time.Time) {
	if g.phase == wire.Phase_PHASE_READY && !now.Before(g.leavingUntil) {
		t.markLost(g, now)
	}
	t.move(g, nil)
	g.phase = wire.Phase_PHASE_DOWN
	t.inFlight -= g.inFlight
	g.inFlight = 0
	delete(t.targets, g.Name)
}

// markLost records the loss of g and discards records older than LostFor.
func (t *Table) markLost(g *Target, now time.Time) {
	t.lost = slices.DeleteFunc(t.lost, func(m lostMark) bool {
		return m.name == g.Name || now.Sub(m.at) >= LostFor
	})
	t.lost = append(t.lost, lostMark{name: g.Name, seed: g.seed, places: g.places, at: now})
}

func (f *family) group(version string) *group {
	for _, gr := range f.groups {
		if gr.version == version {
			return gr
		}
	}
	return nil
}

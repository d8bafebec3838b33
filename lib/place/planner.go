package place

import (
	"maps"
	"sort"
	"time"

	"bulrushpath.example/lib/wire"
)

// maxDecisions bounds the decisions kept for operators to list.
const maxDecisions = 256

// Planner computes the plans of a leader during one term.
type Planner struct {
	term uint64
	// sequence is the last sequence number given to a plan. It is shared by all targets
	// and never reused in a term, so that the plan of a target that was forgotten and
	// returns is newer than the one it holds.
	sequence uint64
	targets  map[string]*target
	// sortedTargets holds the targets of the current tick, sorted by name.
	sortedTargets []*target
	permits       permitLimiter
	// decisions holds the last maxDecisions decisions, newest first.
	decisions []Decision
	// changed holds the targets whose plan changed in the current tick.
	changed map[*target]bool
	now     time.Time
	// models and declared hold the declared models, and maxConcurrentLoads is the limit
	// of the weight store, in the current tick.
	models             []*model
	declared           map[string]*model
	maxConcurrentLoads int
	// lastRelocation maps a model to the time of the last relocation started to make
	// room for it.
	lastRelocation map[string]time.Time
	// recentPeaks holds the largest number of copies wanted recently, by model.
	recentPeaks map[string]peak
	// noRoomSince maps a model to the time since which no relocation can make room for
	// it.
	noRoomSince map[string]time.Time
	// lendPercent holds the share of capacity that each team lends, in percent.
	lendPercent map[string]uint32
}

// New returns a planner for a leader's term. Its first plan for a target keeps
// everything found there. Nothing is dropped at a target before it has accepted a
// plan of this term.
func New(term uint64) *Planner {
	return &Planner{
		term:           term,
		targets:        make(map[string]*target),
		permits:        newPermitLimiter(),
		lastRelocation: make(map[string]time.Time),
		recentPeaks:    make(map[string]peak),
		noRoomSince:    make(map[string]time.Time),
	}
}

// Tick updates the plans from the view and returns those that changed, by target.
// The caller sends a target its latest plan until an announcement acknowledges the
// stamp of that plan.
func (p *Planner) Tick(now time.Time, v View) map[string]*wire.Plan {
	p.now = now
	p.changed = make(map[*target]bool)
	p.observe(v)
	if v.Config != nil && v.Term == p.term {
		p.prepare(v)
		p.settleLoads()
		p.dropUndeclared()
		p.dropReplaced()
		if v.Warm {
			p.addCopies()
		}
		p.addAdapters()
	}
	out := make(map[string]*wire.Plan, len(p.changed))
	for t := range p.changed {
		out[t.name] = p.buildPlan(t, v.Config.GetVersion())
	}
	return out
}

// Decisions returns the latest decisions, newest first.
func (p *Planner) Decisions() []Decision { return p.decisions }

// LoadsInProgress returns the number of loads in progress.
func (p *Planner) LoadsInProgress() int { return len(p.permits.active) }

// observe updates the targets from their announcements and forgets those without a
// valid lease.
func (p *Planner) observe(v View) {
	for _, t := range p.targets {
		t.seen = false
	}
	for _, a := range v.Targets {
		if a.Kind != wire.TargetKind_TARGET_KIND_ENGINE {
			continue
		}
		t := p.targets[a.Target]
		if t == nil {
			t = &target{}
			p.targets[a.Target] = t
		}
		t.update(a, p.term)
		t.seen = true
		if t.sequence == 0 {
			p.markChanged(t)
			t.firstSequence = t.sequence
		}
	}
	for name, t := range p.targets {
		if t.seen {
			continue
		}
		for l := range p.permits.active {
			if l.target == name {
				p.permits.release(l)
			}
		}
		delete(p.targets, name)
	}
	p.sortedTargets = p.targetsByName()
}

// prepare builds the state of the declared models for this tick and refills the
// permits.
func (p *Planner) prepare(v View) {
	w := v.Config.GetWeightStore()
	p.maxConcurrentLoads = max(1, int(w.GetLoadsAtOnce()))
	p.permits.refill(p.now, float64(w.GetLoadsPerKilosecond())/1000)
	p.lendPercent = make(map[string]uint32, len(v.Config.Teams))
	for _, t := range v.Config.Teams {
		p.lendPercent[t.Name] = t.LendPercent
	}
	holders := make(map[string][]*target)
	for _, t := range p.sortedTargets {
		seen := make(map[string]bool)
		for k := range t.keep {
			if k.Adapter == "" && !seen[k.Model] {
				seen[k.Model] = true
				holders[k.Model] = append(holders[k.Model], t)
			}
		}
	}
	p.models = p.models[:0]
	p.declared = make(map[string]*model, len(v.Config.Models))
	for _, cfg := range v.Config.Models {
		m := newModel(cfg, holders[cfg.Name], v.Demand[cfg.Name])
		m.recentPeak = p.updateRecentPeak(m)
		p.models = append(p.models, m)
		p.declared[cfg.Name] = m
	}
	maps.DeleteFunc(p.recentPeaks, func(name string, _ peak) bool { return p.declared[name] == nil })
}

// updateRecentPeak updates and returns the largest number of copies of m wanted within
// recentWindow.
func (p *Planner) updateRecentPeak(m *model) int {
	r, ok := p.recentPeaks[m.cfg.Name]
	if !ok || m.want >= r.copies || p.now.Sub(r.at) >= recentWindow {
		r = peak{m.want, p.now}
		p.recentPeaks[m.cfg.Name] = r
	}
	return r.copies
}

func newModel(cfg *wire.Model, holders []*target, d Demand) *model {
	m := &model{cfg: cfg, key: Key{cfg.Name, cfg.Version, ""}}
	for _, t := range holders {
		m.classify(t)
	}
	m.want = wantedCopies(cfg, m.confirmed, d)
	return m
}

// classify adds t to the lists of m that it belongs to.
func (m *model) classify(t *target) {
	for k := range t.resident {
		if k.Model == m.cfg.Name && k.Adapter == "" && t.confirms(k) {
			m.confirmed = append(m.confirmed, t)
			break
		}
	}
	if m.isComplete(t) {
		m.complete = append(m.complete, t)
		return
	}
	if _, ok := t.keep[m.key]; !ok || !t.ready {
		return
	}
	// A copy without room for its adapters never becomes complete, so it must not count
	// towards the wanted copies.
	if missing := m.missingAdapterBytes(t); t.fits(missing) {
		t.reserved += missing
		m.pending = append(m.pending, t)
	}
}

// missingAdapterBytes returns the total size of the adapters that the target's plan lacks.
func (m *model) missingAdapterBytes(t *target) uint64 {
	var n uint64
	for _, k := range m.keys()[1:] {
		if _, ok := t.keep[k]; !ok {
			n += m.size(k)
		}
	}
	return n
}

// remove deletes t from the lists of m.
func (m *model) remove(t *target) {
	m.complete = without(m.complete, t)
	m.confirmed = without(m.confirmed, t)
	m.pending = without(m.pending, t)
}

func without(list []*target, t *target) []*target {
	out := list[:0]
	for _, o := range list {
		if o != t {
			out = append(out, o)
		}
	}
	return out
}

// targetsByName returns the targets sorted by name, which makes plans deterministic.
func (p *Planner) targetsByName() []*target {
	list := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// settleLoads releases the permits of finished loads and abandons loads whose
// permits have expired.
func (p *Planner) settleLoads() {
	for _, t := range p.targets {
		for k := range t.loading {
			p.permits.adopt(p.now, load{t.name, k})
		}
	}
	for l := range p.permits.active {
		t := p.targets[l.target]
		if t == nil {
			p.permits.release(l)
			continue
		}
		if _, ok := t.resident[l.key]; ok {
			p.permits.release(l)
		}
	}
	for _, l := range p.permits.expire(p.now) {
		if t := p.targets[l.target]; t != nil {
			if _, pinned := t.pinned[l.key]; !pinned {
				p.drop(t, l.key, Expired)
			}
		}
	}
}

// drop removes an artifact, and with a model its adapters, from the target's plan.
func (p *Planner) drop(t *target, k Key, reason Reason) {
	if _, ok := t.keep[k]; !ok {
		return
	}
	p.markChanged(t)
	for other := range t.keep {
		if other == k || (k.Adapter == "" && other.base() == k) {
			delete(t.keep, other)
			t.dropped[other] = t.sequence
			p.permits.release(load{t.name, other})
		}
	}
	p.recordDecision(Decision{At: p.now, Target: t.name, Key: k, Reason: reason})
}

// add adds an artifact to the target's plan.
func (p *Planner) add(t *target, k Key, size uint64, reason Reason) {
	p.markChanged(t)
	t.keep[k] = size
	p.recordDecision(Decision{At: p.now, Target: t.name, Key: k, Load: true, Reason: reason})
}

// markChanged assigns a new sequence number to the target's plan, once per tick.
func (p *Planner) markChanged(t *target) {
	t.committedValid = false
	if !p.changed[t] {
		p.changed[t] = true
		p.sequence++
		t.sequence = p.sequence
	}
}

func (p *Planner) recordDecision(d Decision) {
	p.decisions = append([]Decision{d}, p.decisions...)
	if len(p.decisions) > maxDecisions {
		p.decisions = p.decisions[:maxDecisions]
	}
}

// buildPlan returns the target's plan as a message, with each model before its adapters.
func (p *Planner) buildPlan(t *target, version uint64) *wire.Plan {
	keys := make([]Key, 0, len(t.keep))
	for k := range t.keep {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Model != b.Model {
			return a.Model < b.Model
		}
		if a.Version != b.Version {
			return a.Version < b.Version
		}
		return a.Adapter < b.Adapter
	})
	plan := &wire.Plan{
		Stamp:         &wire.Stamp{Term: p.term, Sequence: t.sequence},
		ConfigVersion: version,
	}
	for _, k := range keys {
		plan.Keep = append(plan.Keep, &wire.Copy{
			Model: k.Model, Version: k.Version, Adapter: k.Adapter, Bytes: t.keep[k],
		})
	}
	return plan
}

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
	// order holds the targets of the current tick, sorted by name.
	order   []*target
	permits permits
	// decisions holds the last maxDecisions decisions, newest first.
	decisions []Decision
	// changed holds the targets whose plan changed in the current tick.
	changed map[*target]bool
	now     time.Time
	// models and declared hold the declared models, and atOnce is the limit on
	// concurrent loads, in the current tick.
	models   []*model
	declared map[string]*model
	atOnce   int
	// relocated maps a model to the time of the last relocation started to make room for it.
	relocated map[string]time.Time
	// recent holds the largest recent number of wanted copies of each model.
	recent map[string]recentWant
	// crowded maps a model to the time since which no relocation can make room for it.
	crowded map[string]time.Time
	// lends holds the share of capacity that each team lends, in percent.
	lends map[string]uint32
}

// New returns a planner for a leader's term. Its first plan for a target keeps
// everything found there. Nothing is dropped at a target before it has accepted a
// plan of this term.
func New(term uint64) *Planner {
	return &Planner{
		term:      term,
		targets:   make(map[string]*target),
		permits:   newPermits(),
		relocated: make(map[string]time.Time),
		recent:    make(map[string]recentWant),
		crowded:   make(map[string]time.Time),
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
		out[t.name] = p.plan(t, v.Config.GetVersion())
	}
	return out
}

// Decisions returns the latest decisions, newest first.
func (p *Planner) Decisions() []Decision { return p.decisions }

// Moves returns the number of loads in progress.
func (p *Planner) Moves() int { return len(p.permits.held) }

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
			p.change(t)
			t.first = t.sequence
		}
	}
	for name, t := range p.targets {
		if t.seen {
			continue
		}
		for l := range p.permits.held {
			if l.target == name {
				p.permits.done(l)
			}
		}
		delete(p.targets, name)
	}
	p.order = p.sorted()
}

// prepare builds the state of the declared models for this tick and refills the
// permits.
func (p *Planner) prepare(v View) {
	w := v.Config.GetWeightStore()
	p.atOnce = max(1, int(w.GetLoadsAtOnce()))
	p.permits.refill(p.now, float64(w.GetLoadsPerKilosecond())/1000)
	p.lends = make(map[string]uint32, len(v.Config.Teams))
	for _, t := range v.Config.Teams {
		p.lends[t.Name] = t.LendPercent
	}
	holders := make(map[string][]*target)
	for _, t := range p.order {
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
		m.recent = p.remember(m)
		p.models = append(p.models, m)
		p.declared[cfg.Name] = m
	}
	maps.DeleteFunc(p.recent, func(name string, _ recentWant) bool { return p.declared[name] == nil })
}

// remember updates and returns the largest number of copies of m wanted within
// recentWindow.
func (p *Planner) remember(m *model) int {
	r, ok := p.recent[m.cfg.Name]
	if !ok || m.want >= r.copies || p.now.Sub(r.at) >= recentWindow {
		r = recentWant{m.want, p.now}
		p.recent[m.cfg.Name] = r
	}
	return r.copies
}

func newModel(cfg *wire.Model, holders []*target, d Demand) *model {
	m := &model{cfg: cfg, key: Key{cfg.Name, cfg.Version, ""}}
	for _, t := range holders {
		m.place(t)
	}
	m.want = wanted(cfg, m.sure, d)
	return m
}

// place adds t to the lists of m that it belongs to.
func (m *model) place(t *target) {
	for k := range t.resident {
		if k.Model == m.cfg.Name && k.Adapter == "" && t.counts(k) {
			m.sure = append(m.sure, t)
			break
		}
	}
	if m.isFull(t) {
		m.full = append(m.full, t)
		return
	}
	if _, ok := t.keep[m.key]; !ok || !t.ready {
		return
	}
	// A copy without room for its adapters never becomes full, so it must not count
	// towards the wanted copies.
	if missing := m.missing(t); t.fits(missing) {
		t.reserved += missing
		m.coming = append(m.coming, t)
	}
}

// missing returns the total size of the adapters that the target's plan lacks.
func (m *model) missing(t *target) uint64 {
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
	m.full = without(m.full, t)
	m.sure = without(m.sure, t)
	m.coming = without(m.coming, t)
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

// sorted returns the targets sorted by name, which makes plans deterministic.
func (p *Planner) sorted() []*target {
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
	for l := range p.permits.held {
		t := p.targets[l.target]
		if t == nil {
			p.permits.done(l)
			continue
		}
		if _, ok := t.resident[l.key]; ok {
			p.permits.done(l)
		}
	}
	for _, l := range p.permits.expired(p.now) {
		if t := p.targets[l.target]; t != nil {
			if _, pinned := t.pinned[l.key]; !pinned {
				p.drop(t, l.key, Expired)
			}
		}
	}
}

// drop removes an artifact, and with a model its adapters, from the target's plan.
func (p *Planner) drop(t *target, k Key, why Reason) {
	if _, ok := t.keep[k]; !ok {
		return
	}
	p.change(t)
	for other := range t.keep {
		if other == k || (k.Adapter == "" && other.base() == k) {
			delete(t.keep, other)
			t.dropped[other] = t.sequence
			p.permits.done(load{t.name, other})
		}
	}
	p.decide(Decision{At: p.now, Target: t.name, Key: k, Reason: why})
}

// add adds an artifact to the target's plan.
func (p *Planner) add(t *target, k Key, size uint64, why Reason) {
	p.change(t)
	t.keep[k] = size
	p.decide(Decision{At: p.now, Target: t.name, Key: k, Load: true, Reason: why})
}

// change assigns a new sequence number to the target's plan, once per tick.
func (p *Planner) change(t *target) {
	t.usedValid = false
	if !p.changed[t] {
		p.changed[t] = true
		p.sequence++
		t.sequence = p.sequence
	}
}

func (p *Planner) decide(d Decision) {
	p.decisions = append([]Decision{d}, p.decisions...)
	if len(p.decisions) > maxDecisions {
		p.decisions = p.decisions[:maxDecisions]
	}
}

// plan returns the target's plan as a message, with each model before its adapters.
func (p *Planner) plan(t *target, version uint64) *wire.Plan {
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

package place

// maxRoomSearches bounds the searches for evictions per tick, so that models without
// room do not delay the placement of the others.
const maxRoomSearches = 4

// dropUndeclared drops artifacts that the configuration no longer declares.
func (p *Planner) dropUndeclared() {
	for _, t := range p.sortedTargets {
		if t.ackedSequence == 0 {
			continue
		}
		for k := range t.keep {
			m := p.declared[k.Model]
			if m == nil || (k.Version == m.cfg.Version && m.size(k) == 0) {
				p.drop(t, k, Undeclared)
			}
		}
	}
}

// dropReplaced drops copies of other versions once the declared version has its
// minimum of copies. If they occupy the memory it needs, makeRoom may evict them
// earlier.
func (p *Planner) dropReplaced() {
	for _, t := range p.sortedTargets {
		if t.ackedSequence == 0 {
			continue
		}
		for k := range t.keep {
			m := p.declared[k.Model]
			if m != nil && k.Version != m.cfg.Version && k.Adapter == "" && len(m.complete) >= int(m.cfg.MinCopies) {
				p.drop(t, k, Replaced)
			}
		}
	}
}

// addCopies starts loads of models that need copies, the most urgent first, as far as
// the permits allow.
func (p *Planner) addCopies() {
	var need []*model
	for _, m := range p.models {
		if _, ok := m.urgency(); ok {
			need = append(need, m)
		}
	}
	byUrgency(need)
	searches := 0
	for _, m := range need {
		reason, ok := m.urgency()
		if !ok || !p.permits.available(p.maxConcurrentLoads) {
			continue
		}
		t := p.bestTarget(m, reason)
		if t == nil && searches < maxRoomSearches {
			searches++
			t = p.makeRoom(m, reason, reason == Unreachable)
			if t == nil && reason <= Repair && !p.relocate(m, reason) && p.noRoomFor(m) >= relocationPause {
				t = p.makeRoom(m, reason, true)
			}
		}
		if t == nil || !p.permits.acquire(p.now, load{t.name, m.key}, p.maxConcurrentLoads) {
			continue
		}
		delete(p.noRoomSince, m.cfg.Name)
		p.add(t, m.key, m.cfg.Bytes, reason)
		t.reserved += m.missingAdapterBytes(t)
		m.pending = append(m.pending, t)
	}
}

// addAdapters starts loads of the adapters that are missing where their model is
// resident.
func (p *Planner) addAdapters() {
	for _, m := range p.models {
		for _, t := range append(append([]*target(nil), m.pending...), m.complete...) {
			if !t.ready || !t.confirms(m.key) {
				continue
			}
			for _, k := range m.keys()[1:] {
				l := load{t.name, k}
				_, kept := t.keep[k]
				_, resident := t.resident[k]
				if kept || resident || p.inBackoff(l) || !t.fits(m.size(k)) {
					continue
				}
				if !p.permits.acquire(p.now, l, p.maxConcurrentLoads) {
					return
				}
				p.add(t, k, m.size(k), Adapter)
				t.reserved -= min(t.reserved, m.size(k))
			}
		}
	}
}

func (p *Planner) inBackoff(l load) bool {
	_, found := p.permits.backoff[l]
	return found
}

// bestTarget returns the best eligible target with enough free memory, or nil.
func (p *Planner) bestTarget(m *model, reason Reason) *target {
	var best *target
	var bestScore score
	for _, t := range p.targets {
		if !p.eligible(m, t, reason) {
			continue
		}
		_, pinned := t.pinned[m.key]
		if !pinned && t.free() < m.bytes() {
			continue
		}
		if s := p.score(m, t); best == nil || s.better(bestScore) {
			best, bestScore = t, s
		}
	}
	return best
}

// eligible reports whether t may take a copy of m, regardless of memory.
func (p *Planner) eligible(m *model, t *target, reason Reason) bool {
	if !t.ready || t.ackedSequence == 0 || p.inBackoff(load{t.name, m.key}) {
		return false
	}
	if _, ok := t.keep[m.key]; ok {
		return false
	}
	// The agent may still be unloading a copy that an earlier plan dropped. That copy
	// could be mistaken for the new one.
	if _, ok := t.resident[m.key]; ok {
		return false
	}
	// A target without a team accepts the models of all teams; see admit.Config.Team.
	if t.team != "" && t.team != m.cfg.Team && p.lendPercent[t.team] == 0 {
		return false
	}
	return reason != Spread || !oneZone([]*target{t}, m.complete, m.pending)
}

// score orders eligible targets.
type score struct {
	// pinned: the artifact may be resident there already, after a command with an
	// unknown outcome.
	pinned bool
	// newZone: the model has no copy in the target's zone.
	newZone bool
	// ownTeam: the target belongs to the model's team.
	ownTeam     bool
	utilization float64
	free        uint64
	name        string
}

func (p *Planner) score(m *model, t *target) score {
	_, pinned := t.pinned[m.key]
	newZone := true
	for _, list := range [][]*target{m.complete, m.pending} {
		for _, o := range list {
			newZone = newZone && o.zone != t.zone
		}
	}
	return score{pinned, newZone, t.team == m.cfg.Team, t.utilization(), t.free(), t.name}
}

// utilizationStep is the granularity at which utilization is compared. Within a step,
// free memory decides.
const utilizationStep = 0.25

func (s score) better(o score) bool {
	switch {
	case s.pinned != o.pinned:
		return s.pinned
	case s.newZone != o.newZone:
		return s.newZone
	case s.ownTeam != o.ownTeam:
		return s.ownTeam
	case int(s.utilization/utilizationStep) != int(o.utilization/utilizationStep):
		return s.utilization < o.utilization
	case s.free != o.free:
		return s.free > o.free
	}
	return s.name < o.name
}

// makeRoom evicts copies at the target where the fewest evictions make room for m, and
// returns that target, or nil if evictions cannot make room safely. With lastResort
// set, a copy of an old version may be evicted even if only one other copy remains.
// The load can be planned at once, because an agent unloads before it loads and loads
// only into free memory.
func (p *Planner) makeRoom(m *model, reason Reason, lastResort bool) *target {
	var best *target
	var bestVictims []Key
	for _, t := range p.sortedTargets {
		if !p.eligible(m, t, reason) {
			continue
		}
		victims, ok := p.victims(m, t, reason, lastResort)
		if ok && (best == nil || len(victims) < len(bestVictims)) {
			best, bestVictims = t, victims
		}
	}
	for _, k := range bestVictims {
		p.drop(best, k, Evicted)
		p.declared[k.Model].remove(best)
	}
	return best
}

// victims returns the models to evict at t to make room for m. It reports false if
// evictions do not free enough memory.
func (p *Planner) victims(m *model, t *target, reason Reason, lastResort bool) ([]Key, bool) {
	free := t.free()
	var out []Key
	for _, k := range t.baseModels() {
		if free >= m.bytes() {
			break
		}
		if v := p.declared[k.Model]; v != nil && p.evictable(v, m, t, k, reason, lastResort) {
			out = append(out, k)
			free += t.plannedBytes(k)
		}
	}
	return out, free >= m.bytes()
}

// evictable reports whether the copy k of v at t may be evicted in favor of m. Old
// versions keep the minimum of copies of the model unless lastResort is set, when no
// relocation can make room either: with fewer copies, the loss of one more target
// could leave the model unreachable.
func (p *Planner) evictable(v, m *model, t *target, k Key, reason Reason, lastResort bool) bool {
	if !t.confirms(k) {
		return false
	}
	if k.Version != v.cfg.Version {
		// An old version may be evicted before it is replaced only if other copies still
		// serve the model.
		others := len(v.confirmed) - 1
		return others >= int(v.cfg.MinCopies) || (lastResort && reason <= Repair && others >= 1)
	}
	if v == m || !v.canSpare(t) {
		return false
	}
	// Growth and spread may evict only copies beyond the recent peak of v.
	return reason < Spread || v.copyCount() > v.recentPeak
}

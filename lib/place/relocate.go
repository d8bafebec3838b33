package place

import (
	"sort"
	"time"
)

// relocationPause is the time between two relocations for the same model. The relocated
// copy must be resident before the old one can be evicted.
const relocationPause = 30 * time.Second

// maxRelocationTargets bounds the search for relocations, whose cost is quadratic in
// the number of targets.
const maxRelocationTargets = 16

// relocate makes room for m by moving a copy of another model to another target.
// Without relocation, fragmentation could keep a model below its declared copies
// although enough memory is free in total. The copy is loaded at its new target
// first; once it is resident, the old one can be spared and makeRoom evicts it.
// relocate reports whether a move is in progress or waits for a permit.
func (p *Planner) relocate(m *model, reason Reason) bool {
	if last, ok := p.lastRelocation[m.cfg.Name]; ok && p.now.Sub(last) < relocationPause {
		return true
	}
	var best *move
	for _, t := range p.byFreeMemory(m, reason) {
		if mv := p.cheapestMove(m, t, reason); mv != nil && (best == nil || mv.bytes < best.bytes) {
			best = mv
		}
	}
	if best == nil {
		return false
	}
	delete(p.noRoomSince, m.cfg.Name)
	if !p.permits.acquire(p.now, load{best.to.name, best.model.key}, p.maxConcurrentLoads) {
		return true
	}
	p.lastRelocation[m.cfg.Name] = p.now
	p.add(best.to, best.model.key, best.model.cfg.Bytes, Relocation)
	best.to.reserved += best.model.missingAdapterBytes(best.to)
	best.model.pending = append(best.model.pending, best.to)
	return true
}

// noRoomFor returns for how long no relocation could make room for m. Callers evict
// copies as a last resort only after some time, because targets that have not accepted
// a plan yet may still have enough memory.
func (p *Planner) noRoomFor(m *model) time.Duration {
	since, ok := p.noRoomSince[m.cfg.Name]
	if !ok {
		since = p.now
		p.noRoomSince[m.cfg.Name] = since
	}
	return p.now.Sub(since)
}

// byFreeMemory returns up to maxRelocationTargets eligible targets, those with the most
// free memory first.
func (p *Planner) byFreeMemory(m *model, reason Reason) []*target {
	var list []*target
	for _, t := range p.sortedTargets {
		if p.eligible(m, t, reason) {
			list = append(list, t)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].free() > list[j].free() })
	return list[:min(len(list), maxRelocationTargets)]
}

// move is a relocation: the first of those that together make room at a target.
type move struct {
	model *model
	to    *target
	// bytes is the total size of the copies that these relocations load.
	bytes uint64
}

// cheapestMove returns the first of the relocations that make room for m at t, with
// the cost of all of them. It returns nil if relocations cannot make enough room.
func (p *Planner) cheapestMove(m *model, t *target, reason Reason) *move {
	free := t.free()
	var movable []*model
	for _, k := range t.baseModels() {
		v := p.declared[k.Model]
		switch {
		case v == nil || v == m || k != v.key || !t.confirms(k):
		case p.evictable(v, m, t, k, reason, false):
			free += t.plannedBytes(k)
		default:
			movable = append(movable, v)
		}
	}
	sort.SliceStable(movable, func(i, j int) bool { return movable[i].bytes() < movable[j].bytes() })
	if mv := p.singleMove(m, t, movable, free); mv != nil {
		return mv
	}
	// No single move is sufficient; move several copies, the largest first.
	var first *move
	var total uint64
	for i := len(movable) - 1; i >= 0 && free < m.bytes(); i-- {
		v := movable[i]
		to := p.bestTarget(v, Repair)
		if to == nil || to == t {
			continue
		}
		if first == nil {
			first = &move{model: v, to: to}
		}
		free += t.plannedBytes(v.key)
		total += v.bytes()
	}
	if first == nil || free < m.bytes() {
		return nil
	}
	first.bytes = total
	return first
}

// singleMove returns the relocation of the smallest copy that makes enough room on its
// own, or nil.
func (p *Planner) singleMove(m *model, t *target, movable []*model, free uint64) *move {
	for _, v := range movable {
		if free+t.plannedBytes(v.key) < m.bytes() {
			continue
		}
		if to := p.bestTarget(v, Repair); to != nil && to != t {
			return &move{model: v, to: to, bytes: v.bytes()}
		}
	}
	return nil
}

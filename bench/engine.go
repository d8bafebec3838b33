package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpath.example/lib/place"
)

// cacheSize is the number of prompt prefixes in the cache of an engine.
const cacheSize = 96

// engine is the service model of a target: continuous batching, in which the requests of
// a batch share the processing rate, and an LRU cache of prompt prefixes.
type engine struct {
	progress
	// batch is the number of running requests.
	batch int
	// factor is the current slowdown; 1 unless the target is a straggler.
	factor float64
	plain  bool
	// cached makes every prompt a cache hit.
	cached bool
	cache  []prefix
}

type prefix struct{ model, group int }

func newEngine(ev *events, plain bool) *engine {
	e := &engine{factor: 1, plain: plain}
	e.progress = progress{ev: ev, rate: func() float64 {
		t := batchTime(e.batch)
		if e.plain {
			t = plainTime
		}
		return 1 / (t.Seconds() * e.factor)
	}}
	return e
}

// slow sets the slowdown of the engine.
func (e *engine) slow(factor float64) {
	e.advance()
	e.factor = factor
	e.changed()
}

// hit reports whether the prefix is cached, and adds it to the cache or marks it as most
// recently used.
func (e *engine) hit(p prefix) bool {
	if e.cached {
		return true
	}
	i := slices.Index(e.cache, p)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	} else if len(e.cache) >= cacheSize {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	e.cache = append(e.cache, p)
	return i >= 0
}

// job is a request in the batch of an engine.
type job struct {
	e     *engine
	units float64
	begun float64
	marks [2]*mark
}

// begin adds a request to the batch. It calls first at the first token and end at the
// last one.
func (e *engine) begin(a *arrival, first, end func()) *job {
	e.advance()
	e.batch++
	prefill := float64(a.prompt) / unitTokens
	if a.model >= 0 && e.hit(prefix{a.model, a.prefix}) {
		prefill *= cachedShare
	}
	j := &job{e: e, units: prefill + float64(a.tokens), begun: e.done}
	j.marks[0] = e.add(prefill+1, first)
	j.marks[1] = e.add(j.units, func() {
		e.batch--
		end()
	})
	e.changed()
	return j
}

// stop removes the request from the batch before it is complete.
func (j *job) stop() {
	j.e.advance()
	for _, m := range j.marks {
		m.dead = true
	}
	j.e.batch--
	j.e.changed()
}

// spent returns the units of work executed for the request so far.
func (j *job) spent() float64 {
	j.e.advance()
	return min(j.units, j.e.done-j.begun)
}

// adapters models the delay that adapters cause. All requests with an adapter in the
// deployment contribute to it.
type adapters struct {
	s *site
	// active is the number of running requests with an adapter.
	active int
	rng    *rand.Rand
}

// delay returns the delay that the adapter adds to a request that starts now.
func (a *adapters) delay() time.Duration {
	d := a.s.adapterLow + time.Duration(a.rng.Int64N(int64(a.s.adapterHigh-a.s.adapterLow)))
	return time.Duration(float64(d) * max(1, float64(a.active)/float64(a.s.adapterLimit)))
}

// keyOf returns the artifact that a request needs.
func (s *site) keyOf(a *arrival) place.Key {
	m := s.cfg.Models[a.model]
	k := place.Key{Model: m.Name, Version: m.Version}
	if a.adapter >= 0 {
		k.Adapter = m.Adapters[a.adapter].Name
	}
	return k
}

package main

import (
	"math/rand/v2"
	"slices"
	"time"

	"bulrushpath.example/lib/place"
)

// prefixCacheSize is the maximum number of prompt prefixes in the cache of an engine.
const prefixCacheSize = 96

// engine is the service model of a target: continuous batching, in which all requests of a
// batch advance at the same rate, which falls as the batch grows, and an LRU cache of
// prompt prefixes. In a plain service, the rate does not depend on the batch.
type engine struct {
	sharedResource
	// batchSize is the number of running requests.
	batchSize int
	// slowdown multiplies the time of all work; it is 1 unless the target is a straggler.
	slowdown float64
	plain    bool
	// alwaysHit makes every prompt a cache hit.
	alwaysHit   bool
	prefixCache []prefix
}

type prefix struct{ model, index int }

func newEngine(ev *eventQueue, plain bool) *engine {
	e := &engine{slowdown: 1, plain: plain}
	e.sharedResource = sharedResource{ev: ev, rate: func() float64 {
		t := batchTime(e.batchSize)
		if e.plain {
			t = plainTime
		}
		return 1 / (t.Seconds() * e.slowdown)
	}}
	return e
}

// setSlowdown sets the slowdown of the engine.
func (e *engine) setSlowdown(factor float64) {
	e.advance()
	e.slowdown = factor
	e.reschedule()
}

// lookup reports whether the prefix is cached, and adds it to the cache or marks it as
// most recently used.
func (e *engine) lookup(p prefix) bool {
	if e.alwaysHit {
		return true
	}
	i := slices.Index(e.prefixCache, p)
	if i >= 0 {
		e.prefixCache = slices.Delete(e.prefixCache, i, i+1)
	} else if len(e.prefixCache) >= prefixCacheSize {
		e.prefixCache = slices.Delete(e.prefixCache, 0, 1)
	}
	e.prefixCache = append(e.prefixCache, p)
	return i >= 0
}

// job is a request in the batch of an engine.
type job struct {
	e          *engine
	units      float64
	startWork  float64
	milestones [2]*milestone
}

// start adds a request to the batch. It calls first at the first token and end at the
// last one.
func (e *engine) start(a *arrival, first, end func()) *job {
	e.advance()
	e.batchSize++
	prefill := float64(a.promptTokens) / promptTokensPerUnit
	if a.model >= 0 && e.lookup(prefix{a.model, a.prefix}) {
		prefill *= cachedShare
	}
	j := &job{e: e, units: prefill + float64(a.outputTokens), startWork: e.work}
	j.milestones[0] = e.add(prefill+1, first)
	j.milestones[1] = e.add(j.units, func() {
		e.batchSize--
		end()
	})
	e.reschedule()
	return j
}

// cancel removes the request from the batch before it is complete.
func (j *job) cancel() {
	j.e.advance()
	for _, m := range j.milestones {
		m.cancelled = true
	}
	j.e.batchSize--
	j.e.reschedule()
}

// executed returns the units of work executed for the request so far.
func (j *job) executed() float64 {
	j.e.advance()
	return min(j.units, j.e.work-j.startWork)
}

// adapterContention models the delay that adapters cause. All requests with an adapter in
// the deployment contribute to it.
type adapterContention struct {
	deployment *deployment
	// active is the number of running requests with an adapter.
	active int
	rng    *rand.Rand
}

// delay returns the delay that the adapter adds to a request that starts now.
func (a *adapterContention) delay() time.Duration {
	d := a.deployment.adapterDelayMin + time.Duration(a.rng.Int64N(int64(a.deployment.adapterDelayMax-a.deployment.adapterDelayMin)))
	return time.Duration(float64(d) * max(1, float64(a.active)/float64(a.deployment.adapterConcurrency)))
}

// keyOf returns the artifact that a request needs.
func (d *deployment) keyOf(a *arrival) place.Key {
	m := d.cfg.Models[a.model]
	k := place.Key{Model: m.Name, Version: m.Version}
	if a.adapter >= 0 {
		k.Adapter = m.Adapters[a.adapter].Name
	}
	return k
}

package scale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/site"
)

var start = time.UnixMilli(1_000_000)

const tick = 100 * time.Millisecond

// engineConfig returns the configuration of engines with 200 GB and the given number of
// models of 65 GB each.
func engineConfig(models int) *site.Engine {
	e := &site.Engine{MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 1.4}
	for i := range models {
		e.Models = append(e.Models, site.Model{
			Name: fmt.Sprintf("m%02d", i), MB: 65_000, StoreLoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond,
			Adapters: 2, AdapterMB: 66,
		})
	}
	return e
}

// fakeEngine executes model orders after their expected duration.
type fakeEngine struct {
	target *Target
	held   map[string]bool
	cached map[string]bool
	// loads is the number of loads from the weight store.
	loads int
}

// simulation runs a planner against fake engines.
type simulation struct {
	now     time.Time
	engine  *site.Engine
	planner *Planner
	engines []*fakeEngine
	demand  map[string]Demand
	partial bool
	// storeLoads holds the start times of loads from the weight store.
	storeLoads []time.Time
}

func newSimulation(engines, models int) *simulation {
	w := &simulation{now: start, engine: engineConfig(models), planner: &Planner{}, demand: map[string]Demand{}}
	for i := range engines {
		w.engines = append(w.engines, &fakeEngine{
			target: NewTarget(fmt.Sprintf("t%d", i), fmt.Sprintf("z%d", i%3)),
			held:   map[string]bool{}, cached: map[string]bool{},
		})
	}
	return w
}

func (w *simulation) setResident(engine int, models ...string) {
	e := w.engines[engine]
	for _, m := range models {
		e.held[m], e.cached[m] = true, true
	}
	w.observe(e)
}

func (w *simulation) observe(e *fakeEngine) {
	var held []ReportedModel
	for m := range e.held {
		held = append(held, ReportedModel{Model: m})
	}
	var cached []string
	for m := range e.cached {
		cached = append(cached, m)
	}
	e.target.ObserveCached(cached)
	e.target.Observe(w.now, held)
}

// step advances the time, plans once and executes the orders that are due.
func (w *simulation) step() {
	w.now = w.now.Add(tick)
	in := Input{Now: w.now, Engine: w.engine, Demand: w.demand, Partial: w.partial}
	for _, e := range w.engines {
		in.Targets = append(in.Targets, e.target)
	}
	for _, t := range w.planner.Plan(in) {
		t.Sent, t.Accepted = true, w.now
		for _, e := range w.engines {
			if e.target == t && t.Order.Op == Load && !e.cached[t.Order.Model] {
				e.loads++
				w.storeLoads = append(w.storeLoads, w.now)
			}
		}
	}
	for _, e := range w.engines {
		if o := e.target.Order; o != nil && !w.now.Before(e.target.ReadyAt) {
			e.held[o.Model] = o.Op == Load
			if o.Op == Load {
				e.cached[o.Model] = true
			} else {
				delete(e.held, o.Model)
			}
		}
		w.observe(e)
	}
}

func (w *simulation) run(d time.Duration) {
	for range int(d / tick) {
		w.step()
	}
}

// order returns the order in progress at an engine.
func (w *simulation) order(t *testing.T, engine int) *Order {
	t.Helper()
	o := w.engines[engine].target.Order
	assert.Assert(t, o != nil, "engine %d has no order", engine)
	return o
}

func (w *simulation) copies(model string) (n int) {
	for _, e := range w.engines {
		if e.held[model] {
			n++
		}
	}
	return n
}

// Starts with models that no engine holds. Guards against models that stay unreachable
// although there is free memory or a copy to evict.
func TestEveryModelGetsACopy(t *testing.T) {
	w := newSimulation(4, 10)
	for i := range 4 {
		w.setResident(i, "m00", "m01")
	}
	w.run(30 * time.Second)
	for _, m := range w.engine.Models {
		assert.Assert(t, w.copies(m.Name) >= 1, "no copy of %s", m.Name)
	}
}

// Demand shifts to another model. Guards against loading more copies of it too late, and
// against evicting the last copy of another model.
func TestCopiesFollowDemand(t *testing.T) {
	w := newSimulation(6, 8)
	for i := range 6 {
		w.setResident(i, "m00", fmt.Sprintf("m%02d", i+1))
	}
	w.setResident(0, "m07")
	w.demand["m05"] = Demand{Work: 1.5}
	w.run(12 * time.Second)
	assert.Assert(t, w.copies("m05") >= 3, "%d copies", w.copies("m05"))
	for _, m := range w.engine.Models {
		assert.Assert(t, w.copies(m.Name) >= 1, "no copy of %s", m.Name)
	}
}

// Models at a demand peak hold all engines while idle models have no copy, as after the
// loss of engines. Guards against evicting copies of the models at their peak for idle
// models, and against a model in demand that gets no copy.
func TestIdleModelsDoNotDisplaceAPeak(t *testing.T) {
	w := newSimulation(4, 9)
	for i := range 4 {
		w.setResident(i, "m00", "m01", fmt.Sprintf("m%02d", i+2))
	}
	w.demand["m00"], w.demand["m01"] = Demand{Work: 2}, Demand{Work: 2}
	w.run(20 * time.Second)
	assert.Assert(t, w.copies("m00") >= 3 && w.copies("m01") >= 3, "%d and %d copies", w.copies("m00"), w.copies("m01"))
	w.demand["m08"] = Demand{Work: 0.01, Waiting: 1}
	w.run(10 * time.Second)
	assert.Assert(t, w.copies("m08") >= 1, "a model in demand got no copy")
}

// Guards against orders that exceed an engine's memory, and against more loads from the
// weight store than its rate allows, under random demand and engine crashes.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 5).Draw(t, "engines"), rapid.IntRange(1, 9).Draw(t, "models"))
		for range rapid.IntRange(1, 40).Draw(t, "phases") {
			m := w.engine.Models[rapid.IntRange(0, len(w.engine.Models)-1).Draw(t, "model")].Name
			w.demand[m] = Demand{
				Work: rapid.Float64Range(0, 3).Draw(t, "work"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting"),
			}
			if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
				e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
				*e = fakeEngine{target: NewTarget(e.target.ID, e.target.Zone), held: map[string]bool{}, cached: map[string]bool{}}
			}
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				w.step()
				for _, e := range w.engines {
					if used := e.target.UsedMB(w.engine); used > w.engine.MemoryMB {
						t.Fatalf("%s may hold %.0f of %.0f MB", e.target.ID, used, w.engine.MemoryMB)
					}
				}
			}
		}
		for i, at := range w.storeLoads {
			n := 0
			for _, x := range w.storeLoads[i:] {
				if x.Sub(at) <= 5*time.Second {
					n++
				}
			}
			if float64(n) > 1.4*5*1.1+3 {
				t.Fatalf("%d loads from the store within 5 s", n)
			}
		}
	})
}

// Guards against counting memory as free because of a report that is older than an
// order which the engine has executed.
func TestStaleWordsFreeNothing(t *testing.T) {
	e := engineConfig(3)
	x := NewTarget("t", "z")
	x.Observe(start, []ReportedModel{{Model: "m00"}})
	x.Order, x.Sent, x.Accepted = &Order{Op: Load, Model: "m01"}, true, start
	assert.Assert(t, x.Observe(start.Add(time.Second), []ReportedModel{{Model: "m00"}, {Model: "m01"}}))
	assert.Assert(t, x.Order == nil)
	x.Observe(start.Add(1100*time.Millisecond), []ReportedModel{{Model: "m00"}})
	assert.Equal(t, x.UsedMB(e), 2*65_000+8*66.0)
	x.Observe(start.Add(6*time.Second), []ReportedModel{{Model: "m00"}})
	assert.Equal(t, x.UsedMB(e), 65_000+8*66.0)
}

// Guards against counting an adapter slot as free while a load into it is unconfirmed or
// while its unload waits for running requests.
func TestAdapterPlaces(t *testing.T) {
	x := NewTarget("t", "z")
	x.Observe(start, []ReportedModel{{Model: "m00", Adapters: []string{"a1"}}})
	c := x.Copies["m00"]
	c.Adapters["a2"] = &Adapter{ReadyAt: start.Add(time.Minute), LastUsed: start}
	assert.Equal(t, x.AdapterCount(), 2)
	_, name, ok := x.LeastRecentlyUsed(start.Add(time.Second))
	assert.Assert(t, ok)
	c.Adapters[name].Unloading = true
	assert.Equal(t, x.AdapterCount(), 2)
	_, other, ok := x.LeastRecentlyUsed(start.Add(time.Second))
	assert.Assert(t, ok && other != name)
	_, _, ok = x.LeastRecentlyUsed(start.Add(-time.Second))
	assert.Assert(t, !ok)
}

// Rarely used models are requested while an engine is coming back after a loss. Guards
// against evicting copies of overloaded models although memory becomes free soon, and
// against a rarely used model that gets no copy.
func TestRareModelsWaitForFreeMemory(t *testing.T) {
	w := newSimulation(4, 8)
	for i := range 3 {
		w.setResident(i, "m00", "m01", fmt.Sprintf("m%02d", i+2))
	}
	w.setResident(3, "m05")
	w.demand["m00"], w.demand["m01"] = Demand{Work: 3}, Demand{Work: 3}
	w.demand["m06"] = Demand{Work: 0.01, Waiting: 1}
	w.demand["m07"] = Demand{Work: 0.01, Waiting: 1}
	for range int(12 * time.Second / tick) {
		w.step()
		assert.Assert(t, w.copies("m00") >= 3 && w.copies("m01") >= 3)
	}
	assert.Assert(t, w.copies("m06") >= 1 && w.copies("m07") >= 1)
}

// Demand for a model rises to several times the capacity of one engine, while the other
// engines hold models without demand. Guards against idle engines next to an overloaded
// one: the last copy of an idle model may be evicted, since it can be loaded again from
// disk within about a second when it is requested.
func TestOverloadedModelReplacesIdleOnes(t *testing.T) {
	w := newSimulation(4, 10)
	w.setResident(0, "m00", "m01", "m02")
	w.setResident(1, "m03", "m04", "m05")
	w.setResident(2, "m06", "m07", "m08")
	w.setResident(3, "m09")
	w.run(5 * time.Second)
	w.demand["m00"] = Demand{Work: 2.2}
	w.run(10 * time.Second)
	assert.Assert(t, w.copies("m00") >= 3, "%d copies", w.copies("m00"))
	w.demand["m00"] = Demand{Work: 0.1}
	for i := range 9 {
		w.demand[fmt.Sprintf("m%02d", i+1)] = Demand{Work: 0.01, Waiting: 1}
	}
	w.run(8 * time.Second)
	for i := range 10 {
		assert.Assert(t, w.copies(fmt.Sprintf("m%02d", i)) > 0, "m%02d has no copy", i)
	}
}

// A model at its demand peak has one copy, and one engine is free. Guards against loading
// a model that was requested once, seconds ago, which would block the free engine for the
// duration of a load from the weight store.
func TestPeakGoesBeforeAModelRequestedOnce(t *testing.T) {
	w := newSimulation(2, 4)
	w.setResident(0, "m00", "m01", "m02")
	w.demand["m00"] = Demand{Work: 0.9}
	w.demand["m03"] = Demand{Work: 0.005}
	w.run(time.Second)
	order := w.order(t, 1)
	assert.Equal(t, order.Model, "m00")
}

// At a demand peak, the engine that will have free memory is seconds away from the end
// of its order. Guards against waiting for it when another copy can be evicted now.
func TestPeakDoesNotWaitForALongLoad(t *testing.T) {
	w := newSimulation(3, 4)
	w.setResident(0, "m00", "m01", "m02")
	w.setResident(1, "m01", "m02", "m03")
	w.run(5 * time.Second)
	busy := w.engines[2].target
	startOrder(w.now, busy, Order{Op: Load, Model: "m03"}, 6*time.Second)
	w.demand["m00"] = Demand{Work: 1.5}
	w.demand["m01"], w.demand["m02"] = Demand{Work: 0.4}, Demand{Work: 0.4}
	w.step()
	order := w.order(t, 1)
	assert.Equal(t, order.For, "m00")
}

// Demand for a model rises while some engines hold copies in use and others hold unused
// ones. Guards against unloading a copy in use, which waits for its requests while the
// peak passes.
func TestPeakEvictsUnusedCopies(t *testing.T) {
	w := newSimulation(3, 8)
	w.setResident(0, "m00", "m01", "m02")
	w.setResident(1, "m01", "m02", "m03")
	w.setResident(2, "m04", "m05", "m06")
	w.run(5 * time.Second)
	w.demand["m00"] = Demand{Work: 1.6}
	w.demand["m01"], w.demand["m02"] = Demand{Work: 0.3}, Demand{Work: 0.3}
	w.step()
	assert.Assert(t, w.engines[1].target.Order == nil || w.engines[1].target.Order.Model == "m03")
	order := w.order(t, 2)
	assert.Equal(t, order.For, "m00")
}

// Demand is low before it shifts to models with one copy. Guards against leaving memory
// free until the peak, and against loading spare copies where no memory is free or onto
// an engine in use.
func TestSpareCopiesFillFreeMemory(t *testing.T) {
	w := newSimulation(5, 7)
	w.setResident(0, "m00", "m01", "m02")
	w.setResident(1, "m03", "m04", "m05")
	w.setResident(2, "m00", "m01", "m06")
	w.demand["m06"] = Demand{Work: 0.25}
	w.run(20 * time.Second)
	assert.Equal(t, w.copies("m06"), 2, "the model in demand is loaded first")
	held := []int{len(w.engines[3].held), len(w.engines[4].held)}
	slices.Sort(held)
	assert.DeepEqual(t, held, []int{1, 3}) // One engine is in use by m06 and gets no spare copy.
	begun := len(w.storeLoads)
	assert.Equal(t, begun, 4)
	w.run(10 * time.Second)
	assert.Equal(t, len(w.storeLoads), begun, "no memory is free, so nothing is loaded")
}

// A demand peak coincides with a leader change. Guards against delaying the next copy of
// the overloaded model by seconds, and against orders caused only by engines that have
// not announced themselves yet: loads of models that these may hold, and evictions.
func TestPeakDuringLeaderChange(t *testing.T) {
	w := newSimulation(3, 6)
	w.setResident(0, "m00", "m01", "m02")
	w.setResident(1, "m03", "m01", "m02")
	w.partial = true
	w.demand["m00"] = Demand{Work: 1.6}
	w.demand["m04"] = Demand{Work: 0.2, Waiting: 1}
	w.run(6 * time.Second)
	assert.Equal(t, w.copies("m00"), 2)
	assert.Equal(t, len(w.storeLoads), 1)
	assert.Equal(t, len(w.engines[0].held)+len(w.engines[1].held), 6)
}

// All engines are replaced by empty ones, so that the rate of the weight store limits how
// fast models become resident. Guards against loading one rarely used model after the
// other while the model with the most requests has one copy, and against rarely used
// models that get none.
func TestEmptyEnginesServeThePeakFirst(t *testing.T) {
	w := newSimulation(6, 12)
	ask := func() {
		w.demand["m00"] = Demand{Work: 3}
		for i := 1; i < 12; i++ {
			name := fmt.Sprintf("m%02d", i)
			w.demand[name] = Demand{Work: 0.1}
			if w.copies(name) == 0 {
				w.demand[name] = Demand{Work: 0.1, Waiting: 1}
			}
		}
	}
	for range int(10 * time.Second / tick) {
		ask()
		w.step()
	}
	assert.Assert(t, w.copies("m00") >= 3, "%d copies", w.copies("m00"))
	for range int(20 * time.Second / tick) {
		ask()
		w.step()
	}
	for _, m := range w.engine.Models {
		assert.Assert(t, w.copies(m.Name) > 0, "%s has no copy", m.Name)
	}
}

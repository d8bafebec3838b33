package scale

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushpath.example/lib/site"
)

// drawInput draws the input of a planning round, twice: the planner changes its targets. All
// figures are such that sums do not depend on the order of their terms.
func drawInput(rng *rand.Rand, targets, models int) (a, b Input) {
	e := &site.Engine{MemoryMB: 200, AdapterSlots: 8, LoadsPerSecond: 1 + float64(rng.IntN(30))}
	for i := range models {
		m := site.Model{Name: fmt.Sprintf("m%03d", i), MB: float64(40 + 10*rng.IntN(4)), StoreLoadTime: 4 * time.Second, DiskLoadTime: time.Second}
		if rng.IntN(2) == 0 {
			m.Adapters, m.AdapterMB = 2, 1
		}
		e.Models = append(e.Models, m)
	}
	demand := make(map[string]Demand)
	for i := range models {
		if rng.IntN(3) > 0 {
			demand[fmt.Sprintf("m%03d", i)] = Demand{
				Work: float64(rng.IntN(40)) / 32, Requests: float64(rng.IntN(9)), Waiting: rng.IntN(2),
			}
		}
	}
	in := Input{Now: start, Engine: e, Demand: demand, Partial: rng.IntN(8) == 0}
	for i := range targets {
		t := NewTarget(fmt.Sprintf("t%03d", i), fmt.Sprintf("z%d", i%3))
		for range rng.IntN(4) {
			name := fmt.Sprintf("m%03d", rng.IntN(models+1))
			if t.UsedMB(e)+modelMB(e, name) > e.MemoryMB || t.Copies[name] != nil {
				continue
			}
			t.Copies[name] = &Copy{Since: start.Add(-time.Duration(rng.IntN(8)) * time.Second)}
			if rng.IntN(9) == 0 {
				t.Copies[name].UnloadingSince = start
			}
		}
		for range rng.IntN(5) {
			t.Cached[fmt.Sprintf("m%03d", rng.IntN(models))] = true
		}
		switch rng.IntN(8) {
		case 0:
			t.BackoffUntil = start.Add(time.Duration(rng.IntN(3)-1) * time.Second)
		case 1:
			t.Limit = float64(1 + rng.IntN(4))
		case 2:
			startOrder(start, t, Order{Op: Load, Model: fmt.Sprintf("m%03d", rng.IntN(models))}, time.Duration(rng.IntN(3))*time.Second)
		}
		in.Targets = append(in.Targets, t)
	}
	copied := in
	copied.Targets = nil
	for _, t := range in.Targets {
		x := *t
		x.Copies = make(map[string]*Copy)
		for name, c := range t.Copies {
			y := *c
			x.Copies[name] = &y
		}
		x.Cached = maps.Clone(t.Cached)
		if t.Order != nil {
			o := *t.Order
			x.Order = &o
		}
		copied.Targets = append(copied.Targets, &x)
	}
	return in, copied
}

// Guards against other decisions than those of the planner that looks at all models and targets
// again for each order.
func TestSameOrdersAsFormerPlanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		a, b := drawInput(rng, 1+rng.IntN(14), 1+rng.IntN(20))
		permits := float64(rng.IntN(9))
		orders := func(targets []*Target) (out []string) {
			for _, x := range targets {
				out = append(out, fmt.Sprintf("%s %+v", x.ID, *x.Order))
			}
			return out
		}
		got := orders((&Planner{permits: permits}).Plan(a))
		want := orders((&formerPlanner{permits: permits}).Plan(b))
		if !slices.Equal(got, want) {
			t.Fatalf("orders:\n%v\nwant:\n%v", got, want)
		}
	})
}

// needyInput returns the input of a round in which each model wants a copy and each target
// holds two.
func needyInput(targets, models int) Input {
	e := &site.Engine{MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 26}
	demand := make(map[string]Demand)
	for i := range models {
		name := fmt.Sprintf("m%04d", i)
		e.Models = append(e.Models, site.Model{Name: name, MB: 60_000, StoreLoadTime: 4 * time.Second, DiskLoadTime: time.Second, Adapters: 2, AdapterMB: 66})
		demand[name] = Demand{Work: 0.9, Requests: 10, Waiting: 1}
	}
	in := Input{Now: start.Add(time.Minute), Engine: e, Demand: demand}
	for i := range targets {
		t := NewTarget(fmt.Sprintf("t%04d", i), fmt.Sprintf("z%d", i%5))
		for j := range 2 {
			t.Copies[e.Models[(2*i+j)%models].Name] = &Copy{Since: start}
		}
		in.Targets = append(in.Targets, t)
	}
	return in
}

// BenchmarkPlan shows how the time of a round grows with the targets and models.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ targets, models int }{{12, 20}, {50, 80}, {180, 312}, {1000, 360}, {6400, 360}} {
		b.Run(fmt.Sprintf("%dx%d", size.targets, size.models), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				in := needyInput(size.targets, size.models)
				p := &Planner{permits: 8}
				b.StartTimer()
				p.Plan(in)
			}
		})
	}
}

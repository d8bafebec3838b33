package scale

import (
	"fmt"
	"testing"
	"time"

	"bulrushpath.example/lib/site"
)

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

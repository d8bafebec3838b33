package scale

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushpath.example/lib/site"
)

// Guards against a ceiling of the weight store that is exceeded, or a rate that is not used:
// planning rounds come late, and the leader changes.
func TestPermitsKeepTheRate(t *testing.T) {
	const (
		window = 5 * time.Second
		day    = 60 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
		e := &site.Engine{LoadsPerSecond: rate}
		p := &Planner{}
		now := start
		steady := rapid.Bool().Draw(t, "steady")
		var loads []time.Time
		for now.Before(start.Add(day)) {
			late := 100 * time.Millisecond
			if !steady {
				late = time.Duration(rapid.IntRange(50, 1500).Draw(t, "late")) * time.Millisecond
			}
			now = now.Add(late)
			if !steady && rapid.IntRange(0, 60).Draw(t, "leader") == 0 {
				p = &Planner{}
			}
			p.refillPermits(Input{Now: now, Engine: e})
			for ; p.permits >= 1; p.permits-- {
				loads = append(loads, now)
			}
		}
		for i, end := range loads {
			n := 0
			for _, at := range loads[:i+1] {
				if end.Sub(at) < window {
					n++
				}
			}
			if allowed := rate*window.Seconds()*1.1 + 3; float64(n) > allowed {
				t.Fatalf("%d loads in %v, allowed %.1f", n, window, allowed)
			}
		}
		if steady && float64(len(loads)) < 0.9*rate*day.Seconds()-3 {
			t.Fatalf("%d loads at a rate of %.1f", len(loads), rate)
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

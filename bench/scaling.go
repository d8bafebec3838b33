package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/admit"
	"bulrushpath.example/lib/place"
	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

// scalingTargets and scalingModels are the deployment sizes to measure. The largest is the
// size that the system is designed for.
var (
	scalingTargets = []int{100, 1000, 6400}
	scalingModels  = []int{20, 120, 360}
)

const (
	// Each target holds modelsPerTarget models with adaptersPerModel adapters.
	modelsPerTarget, adaptersPerModel = 4, 3
	scalingEngineMemory               = 40 * gib
	scalingModelBytes                 = 8 * gib
	// timedTicks is the number of planner ticks timed for each size.
	timedTicks = 10
)

// scalingCmd measures how the time and memory of routing and planning scale with the size
// of a deployment, and those of admission with the length of the queue.
type scalingCmd struct{}

// Run runs the benchmarks and prints the table.
func (*scalingCmd) Run() error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "what\ttargets\tmodels\ttime\tallocations\tbytes allocated\tresident bytes per target")
	for _, n := range scalingTargets {
		for _, m := range scalingModels {
			benchmarkRoute(tw, n, m)
		}
	}
	for _, n := range scalingTargets {
		for _, m := range scalingModels {
			benchmarkTick(tw, n, m)
		}
	}
	for _, queued := range []int{0, 16, 64, 256} {
		benchmarkAdmit(tw, queued)
	}
	return tw.Flush()
}

func scalingModelName(i int) string { return fmt.Sprintf("model-%03d", i) }

// scalingRecords returns the directory records of targets, each of which holds
// modelsPerTarget models with their adapters.
func scalingRecords(targets, models int) []*wire.TargetRecord {
	var out []*wire.TargetRecord
	for i := range targets {
		r := &wire.TargetRecord{
			Target: fmt.Sprintf("engine-%05d", i), Address: address(i), Zone: zoneName(i % 15), Incarnation: 1,
			Kind: wire.TargetKind_TARGET_KIND_ENGINE, Phase: wire.Phase_PHASE_READY, Slots: slots,
		}
		for c := range modelsPerTarget {
			m := (i*modelsPerTarget + c) % models
			r.Resident = append(r.Resident, &wire.Copy{Model: scalingModelName(m), Version: "1", Bytes: scalingModelBytes})
			for a := range adaptersPerModel {
				r.Resident = append(r.Resident, &wire.Copy{
					Model: scalingModelName(m), Version: "1", Adapter: fmt.Sprintf("adapter-%d", a), Bytes: 64 << 20,
				})
			}
		}
		out = append(out, r)
	}
	return out
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchmarkRoute measures the time of a routing decision with its bookkeeping, and the
// memory of the routing table of an entry instance.
func benchmarkRoute(tw *tabwriter.Writer, targets, models int) {
	records := scalingRecords(targets, models)
	names := make([]string, models)
	for i := range names {
		names[i] = scalingModelName(i)
	}
	before := heapInUse()
	table := route.New("a")
	// The records are cloned because an entry instance decodes each one from a message,
	// and the table retains its strings.
	for _, r := range records {
		table.Update([]*wire.TargetRecord{cloneRecord(r)}, epoch)
	}
	pick := func(i int) {
		q := route.Query{
			Key:     route.Key{Model: names[i%models]},
			Version: "1", PromptHash: uint64(i) * 0x9e3779b97f4a7c15, FingerprintHash: uint64(i) * 0xc2b2ae3d27d4eb4f,
		}
		ch, _ := table.Pick(&q, epoch)
		table.Begin(ch.Target, epoch)
		table.Finish(ch.Target, false, epoch)
	}
	// Warm up the rank caches of all groups.
	for i := range 1024 * models {
		pick(i)
	}
	tableBytes := heapInUse() - before
	res := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			pick(i)
		}
	})
	_, _ = fmt.Fprintf(tw, "route.Pick\t%d\t%d\t%d ns\t%d\t%d\t%d\n", targets, models,
		res.NsPerOp(), res.AllocsPerOp(), res.AllocedBytesPerOp(), tableBytes/uint64(targets))
	runtime.KeepAlive(records)
}

// benchmarkTick measures a planner tick while demand moves from model to model.
func benchmarkTick(tw *tabwriter.Writer, targets, models int) {
	cfg := &wire.Config{Version: 1, WeightStore: &wire.WeightStore{LoadsPerKilosecond: 1400, LoadsAtOnce: 5}}
	for i := range models {
		m := &wire.Model{Name: scalingModelName(i), Version: "1", Bytes: scalingModelBytes, MinCopies: 2, MaxCopies: 64}
		for a := range adaptersPerModel {
			m.Adapters = append(m.Adapters, &wire.Adapter{Name: fmt.Sprintf("adapter-%d", a), Bytes: 64 << 20})
		}
		cfg.Models = append(cfg.Models, m)
	}
	var list []*wire.Announcement
	for i, r := range scalingRecords(targets, models) {
		list = append(list, &wire.Announcement{
			Target: r.Target, Address: r.Address, Zone: r.Zone, Kind: r.Kind, Phase: r.Phase, Incarnation: 1,
			MemoryBytes: scalingEngineMemory, Resident: r.Resident,
			Load:   &wire.Load{Slots: slots, Running: uint32(i % (2 * slots))},
			Demand: []*wire.Demand{{Model: r.Resident[0].Model, RequestsPerSecond: 10}},
		})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	planner := place.New(1)
	view := place.View{Term: 1, Config: cfg, Targets: list, Warm: true}
	tick := func(i int) {
		view.Demand = map[string]place.Demand{scalingModelName(rng.IntN(models)): {RequestsPerSecond: 500, UnservedPerSecond: 100}}
		plans := planner.Tick(epoch.Add(time.Duration(i)*planPeriod), view)
		for _, a := range list {
			if p := plans[a.Target]; p != nil {
				a.PlanAck, a.Resident = p.Stamp, p.Keep
			}
		}
	}
	before := heapInUse()
	tick(0)
	tick(1)
	plannerBytes := heapInUse() - before
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	start := time.Now()
	for i := range timedTicks {
		tick(i + 2)
	}
	took := time.Since(start) / timedTicks
	runtime.ReadMemStats(&m1)
	_, _ = fmt.Fprintf(tw, "place.Tick\t%d\t%d\t%s\t%d\t%d\t%d\n", targets, models, took.Round(time.Microsecond),
		(m1.Mallocs-m0.Mallocs)/timedTicks, (m1.TotalAlloc-m0.TotalAlloc)/timedTicks, plannerBytes/uint64(targets))
	runtime.KeepAlive(planner)
}

// benchmarkAdmit measures the cost of admission per request (Submit, Step, Done, Step) with a
// full batch and a queue of constant length.
func benchmarkAdmit(tw *tabwriter.Writer, queued int) {
	now := epoch
	a := admit.New(admit.Config{
		Slots: slots, QueueLimit: 512, ShortMaxTokens: 128, LongSlotPercent: 50, AgeBound: ageBound, AgeStep: ageStep,
	})
	var id uint64
	var running []uint64
	submit := func() {
		id++
		a.Submit(now, admit.Request{
			ID: id, Model: "m", Priority: priority, Deadline: now.Add(time.Hour), MaxTokens: 96, Idempotent: true,
		})
		running = append(running, a.Step(now).Start...)
	}
	for range slots + queued {
		submit()
	}
	res := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(10 * time.Millisecond)
			submit()
			a.Done(now, running[0], true, 48)
			running = append(running[1:], a.Step(now).Start...)
		}
	})
	_, _ = fmt.Fprintf(tw, "admit, %d queued\t-\t-\t%d ns\t%d\t%d\t-\n", queued,
		res.NsPerOp(), res.AllocsPerOp(), res.AllocedBytesPerOp())
}

// cloneRecord returns a copy of r that shares no memory with it.
func cloneRecord(r *wire.TargetRecord) *wire.TargetRecord {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("marshal record: %v", err))
	}
	out := &wire.TargetRecord{}
	if err := proto.Unmarshal(data, out); err != nil {
		panic(fmt.Sprintf("unmarshal record: %v", err))
	}
	return out
}

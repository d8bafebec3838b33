package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

var (
	modelKey = Key{Model: "m"}
	epoch    = time.Unix(1_800_000_000, 0)
)

func record(name string, incarnation uint64, phase wire.Phase, versions ...string) *wire.TargetRecord {
	r := &wire.TargetRecord{
		Target: name, Address: "127.0.0.1:1", Zone: "a", Kind: wire.TargetKind_TARGET_KIND_ENGINE,
		Phase: phase, Incarnation: incarnation, Slots: 8,
	}
	for _, v := range versions {
		r.Resident = append(r.Resident, &wire.Copy{Model: "m", Version: v})
	}
	return r
}

func newTestTable(n int) *Table {
	t := New("a")
	for i := range n {
		t.Update([]*wire.TargetRecord{record(fmt.Sprintf("t%d", i), 1, wire.Phase_PHASE_READY, "1")}, epoch)
	}
	return t
}

// oracleTarget is the expected state of a target.
type oracleTarget struct {
	ready    bool
	versions map[string]bool
	leaving  time.Time
}

// Guards against picking a target that is leaving, down, unknown, already tried or
// without the model, and against reporting no target when there is a usable one.
func TestPickAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 12, 200, 2 * minCachedGroup}).Draw(t, "names")
		table, oracle := New("a"), map[string]*oracleTarget{}
		now := epoch
		name := func() string { return fmt.Sprintf("t%d", rapid.IntRange(0, n-1).Draw(t, "name")) }
		incarnation := map[string]uint64{}
		change := func(name string) *wire.TargetRecord {
			phase := rapid.SampledFrom([]wire.Phase{
				wire.Phase_PHASE_READY, wire.Phase_PHASE_READY, wire.Phase_PHASE_LEAVING,
				wire.Phase_PHASE_DOWN, wire.Phase_PHASE_STARTING,
			}).Draw(t, "phase")
			o := &oracleTarget{ready: phase == wire.Phase_PHASE_READY, versions: map[string]bool{}}
			if old := oracle[name]; old != nil {
				o.leaving = old.leaving
			}
			if incarnation[name] == 0 || rapid.Bool().Draw(t, "restart") {
				incarnation[name]++
				o.leaving = time.Time{}
			}
			versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"1", "2"}), 0, 2, rapid.ID).Draw(t, "versions")
			for _, v := range versions {
				o.versions[v] = true
			}
			oracle[name] = o
			if phase == wire.Phase_PHASE_DOWN {
				delete(oracle, name)
			}
			return record(name, incarnation[name], phase, versions...)
		}
		if n >= 200 {
			for i := range n {
				name := fmt.Sprintf("t%d", i)
				incarnation[name] = 1
				oracle[name] = &oracleTarget{ready: true, versions: map[string]bool{"1": true}}
				table.Update([]*wire.TargetRecord{record(name, 1, wire.Phase_PHASE_READY, "1")}, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(*rapid.T) { table.Update([]*wire.TargetRecord{change(name())}, now) },
			"remove": func(*rapid.T) {
				name := name()
				table.Update([]*wire.TargetRecord{{Target: name, Removed: true}}, now)
				delete(oracle, name)
			},
			"replace": func(*rapid.T) {
				var list []*wire.TargetRecord
				kept := map[string]*oracleTarget{}
				for range rapid.IntRange(0, 3).Draw(t, "kept") {
					list = append(list, change(name()))
					kept[list[len(list)-1].GetTarget()] = nil
				}
				for name := range kept {
					kept[name] = oracle[name]
					if kept[name] == nil {
						delete(kept, name)
					}
				}
				oracle = kept
				table.Replace(list, now)
			},
			"leaving": func(*rapid.T) {
				name := name()
				if tg := table.Target(name); tg != nil {
					table.MarkLeaving(tg, now)
					oracle[name].leaving = now.Add(leavingBackoff)
				}
			},
			"lose": func(*rapid.T) {
				if tg := table.Target(name()); tg != nil {
					table.MarkLost(tg, now)
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"pick": func(*rapid.T) {
				q := Query{
					Key: modelKey, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"),
					PromptHash: rapid.Uint64().Draw(t, "prefix"), FingerprintHash: rapid.Uint64().Draw(t, "print"),
				}
				tried := map[string]bool{}
				for range rapid.IntRange(0, 3).Draw(t, "tried") {
					if tg := table.Target(name()); tg != nil {
						q.Tried = append(q.Tried, tg)
						tried[tg.Name] = true
					}
				}
				usable := map[string]bool{}
				for name, o := range oracle {
					if o.ready && len(o.versions) > 0 && !now.Before(o.leaving) && !tried[name] {
						usable[name] = true
					}
				}
				ch, ok := table.Pick(&q, now)
				assert.Equal(t, ok, len(usable) > 0)
				if !ok {
					return
				}
				table.Begin(ch.Target, now)
				assert.Assert(t, usable[ch.Target.Name])
				assert.Assert(t, oracle[ch.Target.Name].versions[ch.Version])
				if ch.Alternate != nil {
					assert.Assert(t, usable[ch.Alternate.Name] && ch.Alternate != ch.Target)
				}
			},
		})
	})
}

// Guards against a request that crashes targets reaching more than two of them when
// copies of it arrive through entry instances that see different loads.
func TestCopiesReachTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 2*minCachedGroup).Draw(t, "targets")
		q := Query{
			Key: modelKey, Version: "1",
			PromptHash: rapid.Uint64().Draw(t, "prefix"), FingerprintHash: rapid.Uint64().Draw(t, "print"),
		}
		reached := map[string]bool{}
		for range 4 {
			table := newTestTable(n)
			for range rapid.IntRange(0, 50).Draw(t, "load") {
				tg := table.Target(fmt.Sprintf("t%d", rapid.IntRange(0, n-1).Draw(t, "loaded")))
				table.Begin(tg, epoch)
				table.Penalize(tg, epoch)
			}
			for range 20 {
				ch, _ := table.Pick(&q, epoch)
				table.Begin(ch.Target, epoch)
				reached[ch.Target.Name] = true
			}
		}
		assert.Assert(t, len(reached) <= 2, "%v", reached)
	})
}

// Guards against a Choice.LastLoss that misses the loss of a candidate, however the loss
// becomes known. The request would be dispatched without asking control, although an
// earlier dispatch of it may have crashed that candidate.
func TestLossOfCandidateIsReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTestTable(rapid.IntRange(2, 2*minCachedGroup).Draw(t, "targets"))
		q := Query{Key: modelKey, Version: "1", PromptHash: rapid.Uint64().Draw(t, "p"), FingerprintHash: rapid.Uint64().Draw(t, "f")}
		ch, _ := table.Pick(&q, epoch)
		assert.Assert(t, ch.LastLoss.IsZero())
		victim := rapid.SampledFrom([]*Target{ch.Target, ch.Alternate}).Draw(t, "victim")
		switch rapid.IntRange(0, 3).Draw(t, "how") {
		case 0:
			table.MarkLost(victim, epoch)
		case 1:
			table.Update([]*wire.TargetRecord{{Target: victim.Name, Removed: true}}, epoch)
		case 2:
			table.Update([]*wire.TargetRecord{record(victim.Name, 1, wire.Phase_PHASE_DOWN)}, epoch)
		case 3:
			table.Update([]*wire.TargetRecord{record(victim.Name, 2, wire.Phase_PHASE_READY, "1")}, epoch)
		}
		if ch, ok := table.Pick(&q, epoch.Add(LossWindow-time.Millisecond)); ok {
			assert.Assert(t, ch.LastLoss.Equal(epoch))
		}
		if ch, ok := table.Pick(&q, epoch.Add(LossWindow)); ok {
			assert.Assert(t, ch.LastLoss.IsZero())
		}
	})
}

// Guards against a ranking that remaps the prompts of other targets when one target
// is removed, which would invalidate their prefix caches, and against an uneven one.
func TestRankingIsStableAndEven(t *testing.T) {
	for _, n := range []int{10, 100, 400, 2 * minCachedGroup} {
		table := newTestTable(n)
		first := func(i uint64) string {
			f := table.byKey[modelKey]
			sel := selector{q: &Query{}, now: epoch}
			return sel.best(f.groups[0], i, nil).target.Name
		}
		before, count := map[uint64]string{}, map[string]int{}
		for i := range uint64(rankingBuckets) {
			before[i] = first(i)
			count[before[i]]++
		}
		for name, c := range count {
			mean := float64(rankingBuckets) / float64(n)
			assert.Assert(t, float64(c) < 2*mean+6, "%s has %d of %d prompts", name, c, rankingBuckets)
		}
		table.Update([]*wire.TargetRecord{{Target: "t3", Removed: true}}, epoch)
		for i := range uint64(rankingBuckets) {
			if before[i] != "t3" {
				assert.Equal(t, first(i), before[i])
			}
		}
	}
}

// Guards against retries and hedges that amplify an overload.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst, percent := rapid.IntRange(0, 20).Draw(t, "burst"), rapid.Uint32Range(0, 100).Draw(t, "percent")
		b := NewBudget(burst)
		taken, earned := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				b.Deposit(percent)
				earned++
			} else if b.Withdraw() {
				taken++
			}
		}
		assert.Assert(t, taken*100 <= burst*100+earned*int(percent))
	})
}

// Guards against a hedging delay that is far from the 95th percentile or does not
// follow a change of the latency.
func TestHedgeDelay(t *testing.T) {
	var l Latency
	for i := range 30 {
		l.Add(time.Duration(i) * time.Millisecond)
	}
	_, ok := l.HedgeDelay()
	assert.Assert(t, !ok, "too few samples")
	for i := range 1000 {
		l.Add(time.Duration(i%100+1) * time.Millisecond)
	}
	d, ok := l.HedgeDelay()
	assert.Assert(t, ok && d >= 94*time.Millisecond && d <= 112*time.Millisecond, "%v", d)
	for range 20000 {
		l.Add(10 * time.Millisecond)
	}
	d, _ = l.HedgeDelay()
	assert.Assert(t, d <= 12*time.Millisecond, "%v", d)
}

// Guards against sending all requests to the single copy of the preferred version,
// against using another version although the preferred one has enough copies, and
// against preferring another zone at equal load.
func TestVersionsAndZones(t *testing.T) {
	table := New("a")
	far := record("n1", 1, wire.Phase_PHASE_READY, "2")
	far.Zone = "b"
	table.Update([]*wire.TargetRecord{
		record("o1", 1, wire.Phase_PHASE_READY, "1"),
		record("n2", 1, wire.Phase_PHASE_READY, "2"), far,
	}, epoch)
	for i := range uint64(50) {
		ch, _ := table.Pick(&Query{Key: modelKey, Version: "2", PromptHash: i, FingerprintHash: i * 3}, epoch)
		assert.Equal(t, ch.Version, "2")
		ch, _ = table.Pick(&Query{Key: modelKey, Version: "1", PromptHash: i, FingerprintHash: i * 3}, epoch)
		assert.Equal(t, ch.Target.Name, "o1")
		assert.Equal(t, ch.AlternateVersion, "2")
	}
	sameZone, otherZone := table.Target("n2"), table.Target("n1")
	assert.Assert(t, sameZone.estimateWait(time.Millisecond, epoch) < otherZone.estimateWait(time.Millisecond, epoch))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 1000, 6400} {
		table := newTestTable(n)
		q := Query{Key: modelKey, Version: "1"}
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.PromptHash, q.FingerprintHash = uint64(i)*0x9e3779b97f4a7c15, uint64(i)*0xc2b2ae3d27d4eb4f
				ch, _ := table.Pick(&q, epoch)
				table.Begin(ch.Target, epoch)
				table.Finish(ch.Target, false, epoch)
			}
		})
		b.Run(fmt.Sprintf("targets=%d/everyRankNew", n), func(b *testing.B) {
			b.ReportAllocs()
			gr := table.byKey[modelKey].groups[0]
			for i := 0; b.Loop(); i++ {
				gr.epoch++
				q.PromptHash, q.FingerprintHash = uint64(i)*0x9e3779b97f4a7c15, uint64(i)*0xc2b2ae3d27d4eb4f
				_, _ = table.Pick(&q, epoch)
			}
		})
	}
}

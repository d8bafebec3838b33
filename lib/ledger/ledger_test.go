package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// Guards against overcommitted memory, an unload of an artifact that running
// requests use, and a reservation that is never released.
func TestOracleMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.IntRange(0, 1<<20)
		s := newSimulation(func(n int) int { return draw.Draw(t, "n") % n }, faultNone)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			s.step()
		}
		s.converge()
		assert.Equal(t, s.violation, "")
	})
}

// Shows that the property above can fail: each fault of a naive agent leads to
// overcommitted memory. The simulation runs from fixed seeds, which reaches
// longer and rarer sequences of events than rapid does.
func TestShortcutsOvercommit(t *testing.T) {
	runs := func(f fault) (string, int) {
		for seed := range 3000 {
			r := rand.New(rand.NewPCG(uint64(seed), 1))
			s := newSimulation(r.IntN, f)
			for range 1500 {
				s.step()
			}
			if f == faultNone {
				s.converge()
			}
			if s.violation != "" {
				return s.violation, seed
			}
		}
		return "", 0
	}
	for _, f := range []fault{faultUnansweredIsFailed, faultIgnoreIntents, faultAnyBoot, faultReadOrder} {
		violation, seed := runs(f)
		assert.Check(t, violation != "", "fault %d caused no violation", f)
		t.Logf("fault %d: seed %d: %s", f, seed, violation)
	}
	violation, seed := runs(faultNone)
	assert.Equal(t, violation, "", "seed %d", seed)
}

// Guards against open intents that add up to more than the memory, which would
// leave the next incarnation no room for any load.
func TestAbandonedLoadIsReservedUntilClosed(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := New()
	l.Register(1, nil)
	l.Observe(l.BeginRead(), EngineState{BootID: "b", Memory: 9})
	l.SetPlan(Stamp{1, 1}, []Artifact{{Key{"m", "1", ""}, 5}})
	id := l.NextCommands(now)[0].ID
	l.HandleResult(now, id, ResultNotSent)
	l.SetPlan(Stamp{1, 2}, []Artifact{{Key{"n", "1", ""}, 5}})
	assert.Equal(t, len(l.NextCommands(now)), 0)
	assert.Equal(t, l.TakeClosable()[0].ID, id)
	l.IntentClosed(id)
	assert.Equal(t, len(l.NextCommands(now)), 1)
}

// Guards against closing an intent of an earlier incarnation before the fence
// has reached the engine or while the engine executes the load, and against
// resending that load, whose intent the earlier agent may close at any time.
func TestIntentsOfEarlierIncarnations(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := Artifact{Key{"m", "1", ""}, 4}
	for _, fencing := range []bool{true, false} {
		l := New()
		l.Register(2, []*wire.Intent{{CommandId: "1-1-b", Copy: a.Proto(), Incarnation: 1}})
		l.SetPlan(Stamp{1, 1}, []Artifact{a})
		s := EngineState{BootID: "b", Memory: 9, Fencing: fencing}
		l.Observe(l.BeginRead(), s)
		cmd := l.NextCommands(now)[0]
		assert.Assert(t, cmd.ID != "1-1-b" && cmd.Token == 2)
		assert.Equal(t, cmd.Op == OpFence, fencing)
		beforeFence := l.BeginRead()
		l.IntentRecorded(cmd.ID)
		l.HandleResult(now, cmd.ID, ResultDone)
		l.Observe(beforeFence, s)
		open := func(want int) {
			t.Helper()
			assert.Equal(t, len(l.Pinned()), want)
			assert.Equal(t, l.Reserved(), uint64(4))
		}
		if !fencing {
			// The load of this incarnation is done; the older one may still arrive.
			open(0)
			l.SetPlan(Stamp{1, 2}, nil)
			assert.Equal(t, len(l.NextCommands(now)), 0, "unloading would free nothing")
			continue
		}
		open(1)
		s.Commands = []CommandState{{ID: "1-1-b", Running: true}}
		l.Observe(l.BeginRead(), s)
		open(1)
		s.Commands, s.Resident = []CommandState{{ID: "1-1-b"}}, []Artifact{a}
		l.Observe(l.BeginRead(), s)
		open(0)
		assert.Equal(t, l.TakeClosable()[0].ID, "1-1-b")
	}
}

// Guards against a read that ends a load although it began too early to tell
// whether the artifact is resident, whose memory would then count as free.
func TestOldReadEndsNoLoad(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := Artifact{Key{"m", "1", ""}, 4}
	l := New()
	l.Register(1, nil)
	l.Observe(l.BeginRead(), EngineState{BootID: "b", Memory: 9, Resident: []Artifact{a}})
	l.SetPlan(Stamp{1, 1}, nil)
	old := l.BeginRead()
	l.HandleResult(now, l.NextCommands(now)[0].ID, ResultDone)
	l.SetPlan(Stamp{1, 2}, []Artifact{a})
	id := l.NextCommands(now)[0].ID
	l.IntentRecorded(id)
	l.Observe(old, EngineState{BootID: "b", Memory: 9, Resident: []Artifact{a}, Commands: []CommandState{{ID: id}}})
	assert.Equal(t, l.Reserved(), uint64(4))
}

// Guards against wrongly ordered commands: an adapter loaded before its model
// or kept without it, an old version unloaded while requests use it, loads
// beyond the free memory, and a plan older than the current one.
func TestOrderOfCommands(t *testing.T) {
	now := time.Unix(1e9, 0)
	v1, v2 := Artifact{Key{"m", "1", ""}, 4}, Artifact{Key{"m", "2", ""}, 4}
	x1, x2 := Artifact{Key{"m", "1", "x"}, 1}, Artifact{Key{"m", "2", "x"}, 1}
	l := New()
	l.Register(1, nil)
	l.Observe(l.BeginRead(), EngineState{BootID: "b", Memory: 10, Resident: []Artifact{v1, x1}})
	next := func(want ...string) []Command {
		t.Helper()
		cmds := l.NextCommands(now)
		got := []string{}
		for _, c := range cmds {
			got = append(got, fmt.Sprint(c.Op, " ", c.Version, c.Adapter))
		}
		assert.DeepEqual(t, got, append([]string{}, want...))
		return cmds
	}
	finish := func(cmds []Command) {
		for _, c := range cmds {
			l.IntentRecorded(c.ID)
			l.HandleResult(now, c.ID, ResultDone)
		}
	}
	l.SetPlan(Stamp{2, 1}, []Artifact{x2, v2, x1, v1})
	finish(next("OpLoad 2"))
	finish(next("OpLoad 2x"))
	assert.Assert(t, !l.SetPlan(Stamp{1, 9}, nil), "an older plan is refused")
	l.Acquire(x1.Key)
	l.SetPlan(Stamp{2, 2}, []Artifact{v2, x2})
	next()
	assert.Assert(t, !l.Usable(v1.Key), "what the plan drops gets no new requests")
	l.Release(x1.Key)
	unload := next("OpUnload 1x")
	next()
	finish(unload)
	finish(next("OpUnload 1"))
	assert.DeepEqual(t, l.Resident(), []Artifact{v2, x2})
	version, ok := l.PickVersion("m", "1", "x")
	assert.Assert(t, ok && version == "2")
	assert.Equal(t, l.Reserved(), uint64(5))
}

// Guards against a copy that a new leader counts while an unload from an earlier
// plan is in flight: the leader drops the other copies, then the unload arrives
// and removes the last one.
func TestUnloadWithoutAnswerIsNotResident(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := Artifact{Key{"m", "1", ""}, 3}
	l := New()
	l.Register(1, nil)
	state := EngineState{BootID: "b", Memory: 10, Resident: []Artifact{a}}
	l.Observe(l.BeginRead(), state)
	l.SetPlan(Stamp{1, 1}, nil)
	cmds := l.NextCommands(now)
	assert.Equal(t, len(cmds), 1)
	l.SetPlan(Stamp{2, 1}, []Artifact{a})
	for _, r := range []Result{0, ResultUnknown} {
		if r != 0 {
			l.HandleResult(now, cmds[0].ID, r)
		}
		l.Observe(l.BeginRead(), state)
		assert.Equal(t, len(l.Resident()), 0)
		assert.DeepEqual(t, l.Pinned(), []Artifact{a})
		assert.Equal(t, l.Reserved(), a.Bytes)
	}
	l.HandleResult(now, cmds[0].ID, ResultFailed)
	assert.DeepEqual(t, l.Resident(), []Artifact{a})
	assert.Equal(t, len(l.Pinned()), 0)
}

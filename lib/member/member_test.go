package member

import (
	"fmt"
	"maps"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// newLeaderTable returns a table of a leader in term 7.
func newLeaderTable() *Table {
	t := New()
	t.Reset(epoch, 7)
	return t
}

// replica is a copy of the directory as an entry instance maintains it.
type replica struct {
	term, version uint64
	records       map[string]*wire.TargetRecord
}

func (m *replica) sync(t *Table) {
	d := t.ChangesSince(m.term, m.version)
	if d.Full {
		m.records = make(map[string]*wire.TargetRecord)
	}
	for _, r := range d.Targets {
		if r.GetRemoved() {
			delete(m.records, r.GetTarget())
		} else {
			m.records[r.GetTarget()] = r
		}
	}
	m.term, m.version = d.Term, d.Version
}

// Guards against replicas that differ from the full directory after incremental
// updates, and against a late announcement that lists a leaving target again.
func TestDirectoryAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, now := newLeaderTable(), epoch
		term := uint64(7)
		type target struct {
			incarnation uint64
			phase       wire.Phase
			seen        time.Time
			resident    int
			gone        bool
		}
		want := make(map[string]*target)
		replicas := []*replica{{}, {}}
		name := rapid.SampledFrom([]string{"t1", "t2", "t3"})
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				n, o := name.Draw(t, "target"), &target{}
				o.incarnation = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				o.phase = wire.Phase(rapid.IntRange(1, 3).Draw(t, "phase"))
				o.seen, o.resident = now, rapid.IntRange(0, 2).Draw(t, "resident")
				c := tab.Announce(now, announcement(n, o.incarnation, o.phase, o.resident))
				old := want[n]
				assert.Equal(t, c.Superseded, old != nil && o.incarnation < old.incarnation)
				leaving := old != nil && old.phase == wire.Phase_PHASE_LEAVING && o.phase != wire.Phase_PHASE_LEAVING
				if !c.Superseded && (!leaving || o.incarnation != old.incarnation) {
					want[n] = o
				}
			},
			"leave": func(t *rapid.T) {
				n := name.Draw(t, "target")
				incarnation := uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
				tab.Leave(n, incarnation)
				if want[n] == nil {
					want[n] = &target{seen: now}
				}
				if o := want[n]; incarnation >= o.incarnation {
					o.incarnation, o.phase = incarnation, wire.Phase_PHASE_LEAVING
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, Lease, Retention}).Draw(t, "pass"))
				tab.Tick(now)
				for _, o := range want {
					age := now.Sub(o.seen)
					if age >= Lease && o.phase != wire.Phase_PHASE_LEAVING {
						o.phase = wire.Phase_PHASE_DOWN
					}
					o.gone = o.gone || age >= Retention
				}
			},
			"sync": func(t *rapid.T) { rapid.SampledFrom(replicas).Draw(t, "replica").sync(tab) },
			"lead": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
					term++
					tab.Reset(now, term)
					clear(want)
				}
			},
			"": func(t *rapid.T) {
				listed := make(map[string]*wire.TargetRecord)
				for _, r := range tab.ChangesSince(0, 0).Targets {
					listed[r.GetTarget()] = r
				}
				size := 0
				for n, o := range want {
					r := listed[n]
					if o.phase == wire.Phase_PHASE_LEAVING || o.gone {
						assert.Assert(t, r == nil, "%s is listed", n)
						continue
					}
					size++
					assert.Assert(t, r != nil, "%s is missing", n)
					assert.Equal(t, r.GetPhase(), o.phase)
					assert.Equal(t, len(r.GetResident()), o.resident)
				}
				assert.Equal(t, tab.Size(), size)
				assert.Equal(t, len(listed), size)
				for _, m := range replicas {
					c := replica{m.term, m.version, maps.Clone(m.records)}
					c.sync(tab)
					assert.Equal(t, len(c.records), size)
					for n, r := range c.records {
						assert.Assert(t, proto.Equal(r, listed[n]))
					}
				}
			},
		})
	})
}

// Guards against listing a target as ready that has left before this leader knew it, because its
// announcement arrives only afterwards.
func TestLeavingOfAnUnknownTarget(t *testing.T) {
	tab := newLeaderTable()
	tab.Leave("t1", 2)
	for incarnation := range uint64(3) {
		tab.Announce(epoch, announcement("t1", incarnation, wire.Phase_PHASE_READY, 0))
		assert.Equal(t, tab.Size(), 0, "incarnation %d", incarnation)
	}
	tab.Announce(epoch, announcement("t1", 3, wire.Phase_PHASE_READY, 0))
	assert.Equal(t, tab.Size(), 1)
}

func announcement(name string, incarnation uint64, phase wire.Phase, resident int) *wire.Announcement {
	a := &wire.Announcement{
		Target: name, Address: "10.0.0.1:7100", Zone: "zone-1", Team: "team-1", Kind: wire.TargetKind_TARGET_KIND_ENGINE,
		Phase: phase, Incarnation: incarnation, MemoryBytes: 64 << 30, Load: &wire.Load{Slots: 8, Running: 3},
	}
	for i := range resident {
		a.Resident = append(a.Resident, &wire.Copy{Model: fmt.Sprint("model-", i), Version: "1", Bytes: 1 << 30})
	}
	return a
}

// Guards against a removal that never reaches an entry instance that is far behind,
// and against tombstones that grow without bound.
func TestPurgedTombstonesForceTheFullDirectory(t *testing.T) {
	tab := newLeaderTable()
	tab.Announce(epoch, announcement("keep", 1, wire.Phase_PHASE_READY, 1))
	m := &replica{}
	for i := range maxTombstones + 10 {
		tab.Announce(epoch, announcement(fmt.Sprint("t", i), 1, wire.Phase_PHASE_READY, 1))
		if i == 0 {
			m.sync(tab)
		}
	}
	tab.Announce(epoch.Add(Retention), announcement("keep", 1, wire.Phase_PHASE_READY, 1))
	tab.Tick(epoch.Add(Retention))
	tab.Tick(epoch.Add(Retention))
	assert.Equal(t, len(tab.targets), maxTombstones+1)
	assert.Equal(t, len(m.records), 2)
	assert.Assert(t, tab.ChangesSince(m.term, m.version).Full)
	m.sync(tab)
	assert.Equal(t, len(m.records), 1)
}

// Guards against reporting a configuration version as in effect while a live process
// lacks it, and against waiting for a process that is gone.
func TestCountOutdated(t *testing.T) {
	tab := newLeaderTable()
	tab.RecordSync(epoch, wire.Role_ROLE_ENTRY, "e1", "z", 5)
	tab.RecordSync(epoch, wire.Role_ROLE_AGENT, "t1", "z", 4)
	tab.RecordSync(epoch.Add(Lease), wire.Role_ROLE_ENTRY, "e2", "z", 5)
	assert.Equal(t, tab.CountOutdated(epoch, 5), 1)
	assert.Equal(t, tab.CountOutdated(epoch, 6), 3)
	assert.Equal(t, tab.CountOutdated(epoch.Add(Lease), 5), 0)
	assert.Equal(t, tab.Processes(epoch.Add(time.Second))[0].GetAgeMillis(), uint64(1000))
	tab.RemoveProcess(wire.Role_ROLE_ENTRY, "e2")
	assert.Equal(t, len(tab.Processes(epoch)), 2)
}

// Guards against a planner that acts before all targets have announced themselves, on
// stale plan acknowledgements, or on the demand of lost entry instances.
func TestWarmAcknowledgementsAndDemand(t *testing.T) {
	tab := New()
	assert.Assert(t, !tab.Warm(epoch.Add(time.Hour)))
	tab.Reset(epoch, 1)
	assert.Assert(t, !tab.Warm(epoch.Add(Lease-1)))
	assert.Assert(t, tab.Warm(epoch.Add(Lease)))

	newer, older := announcement("t", 1, wire.Phase_PHASE_READY, 1), announcement("t", 1, wire.Phase_PHASE_READY, 2)
	newer.PlanAck = &wire.Stamp{Term: 1, Sequence: 2}
	older.PlanAck = &wire.Stamp{Term: 1, Sequence: 1}
	tab.Announce(epoch, newer)
	tab.Announce(epoch, older)
	assert.Equal(t, len(tab.Live(epoch)[0].GetResident()), 1)
	assert.Equal(t, len(tab.Live(epoch.Add(Lease))), 0)

	tab.RecordDemand(epoch, "e1", []*wire.Demand{{Model: "m", RequestsPerSecond: 8}})
	tab.RecordDemand(epoch.Add(Lease), "e2", []*wire.Demand{{Model: "m", RequestsPerSecond: 1}})
	sum := func(at time.Time) float64 { return tab.Demand(at)[0].GetRequestsPerSecond() }
	assert.Equal(t, sum(epoch.Add(Lease)), 9.0)
	assert.Equal(t, sum(epoch.Add(Lease+2*demandHalfLife)), 8.0/4+math.Exp2(-1.4))
	tab.Tick(epoch.Add(time.Hour))
	assert.Equal(t, len(tab.Demand(epoch.Add(time.Hour))), 0)
}

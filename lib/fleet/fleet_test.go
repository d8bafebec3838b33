package fleet

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

var start = time.UnixMilli(1_000_000)

func newTable() *Table {
	return New(start, 7, func(string, []Model) ([]*wire.FleetModel, bool) { return nil, false })
}

func announcement(id, addr string, born int64, sequence uint64) Announcement {
	return Announcement{
		ID: id, Addr: netip.MustParseAddrPort(addr), Zone: "z", Service: "s",
		Born: time.UnixMilli(born), Sequence: sequence, Slots: 4,
	}
}

func ids(t *Table) (out []string) {
	for _, a := range t.Live() {
		out = append(out, a.ID)
	}
	return out
}

// Guards against announcements that arrive late and bring back what was before:
// an older state, an ended incarnation, or the former owner of an address.
func TestLateAnnouncements(t *testing.T) {
	x := newTable()
	outcome, changed := x.Announce(start, announcement("a", "10.0.0.1:80", 100, 5))
	assert.Equal(t, outcome, Current)
	assert.Assert(t, changed)
	outcome, _ = x.Announce(start, announcement("a", "10.0.0.1:80", 100, 4))
	assert.Equal(t, outcome, Late)

	// The same id starts again; its sequence starts anew.
	outcome, _ = x.Announce(start, announcement("a", "10.0.0.1:80", 200, 1))
	assert.Equal(t, outcome, Current)
	outcome, _ = x.Announce(start, announcement("a", "10.0.0.1:80", 100, 9))
	assert.Equal(t, outcome, Superseded)

	// Another target has taken over the address.
	outcome, _ = x.Announce(start, announcement("b", "10.0.0.1:80", 300, 1))
	assert.Equal(t, outcome, Current)
	assert.DeepEqual(t, ids(x), []string{"b"})
	outcome, _ = x.Announce(start, announcement("a", "10.0.0.1:80", 200, 2))
	assert.Equal(t, outcome, Left)
	outcome, _ = x.Announce(start, announcement("c", "10.0.0.1:80", 250, 1))
	assert.Equal(t, outcome, Superseded)
	assert.DeepEqual(t, ids(x), []string{"b"})
}

// Guards against new work for a target that has said that it leaves, whatever it
// or a late announcement says afterwards.
func TestLeavingIsFinal(t *testing.T) {
	x := newTable()
	a := announcement("a", "10.0.0.1:80", 100, 1)
	x.Announce(start, a)
	a.Sequence, a.Draining = 2, true
	_, changed := x.Announce(start, a)
	assert.Assert(t, changed)
	assert.Equal(t, len(ids(x)), 0)
	a.Sequence, a.Draining = 3, false
	x.Announce(start, a)
	assert.Equal(t, len(ids(x)), 0)

	b := announcement("b", "10.0.0.2:80", 100, 1)
	x.Announce(start, b)
	assert.Assert(t, x.Leave(start, "b"))
	assert.Assert(t, !x.Leave(start, "b"))
	b.Sequence = 2
	outcome, _ := x.Announce(start, b)
	assert.Equal(t, outcome, Left)
	assert.Equal(t, len(ids(x)), 0)
}

// Guards against a silent target that keeps its place, and against a slow one
// that loses it.
func TestExpire(t *testing.T) {
	x := newTable()
	x.Announce(start, announcement("a", "10.0.0.1:80", 100, 1))
	x.Announce(start, announcement("b", "10.0.0.2:80", 100, 1))
	x.Announce(start.Add(Lease-time.Second), announcement("b", "10.0.0.2:80", 100, 2))
	assert.DeepEqual(t, x.Expire(start.Add(Lease+time.Millisecond)), []string{"a"})
	assert.DeepEqual(t, ids(x), []string{"b"})
}

// Guards against a target that was cut off from control for longer than its lease
// and is never taken back.
func TestSilentTargetReturns(t *testing.T) {
	x := newTable()
	x.Announce(start, announcement("a", "10.0.0.1:80", 100, 1))
	late := start.Add(2 * Lease)
	assert.DeepEqual(t, x.Expire(late), []string{"a"})
	outcome, _ := x.Announce(late, announcement("a", "10.0.0.1:80", 100, 1))
	assert.Equal(t, outcome, Late)
	outcome, changed := x.Announce(late, announcement("a", "10.0.0.1:80", 100, 2))
	assert.Equal(t, outcome, Current)
	assert.Assert(t, changed)
	assert.DeepEqual(t, ids(x), []string{"a"})
}

// Guards against entry instances that miss a change, or get the table of another
// term as a difference.
func TestSince(t *testing.T) {
	x := newTable()
	x.Announce(start, announcement("a", "10.0.0.1:80", 100, 1))
	records, whole := x.Since(0, 0)
	assert.Assert(t, whole)
	assert.Equal(t, len(records), 1)
	term, version := x.Version()
	x.Announce(start, announcement("b", "10.0.0.2:80", 100, 1))
	x.Leave(start, "a")
	records, whole = x.Since(term, version)
	assert.Assert(t, !whole)
	assert.Equal(t, len(records), 2)
	assert.Assert(t, records[0].GetRemoved())
	assert.Equal(t, records[1].GetId(), "b")
	_, version = x.Version()
	records, _ = x.Since(term, version)
	assert.Equal(t, len(records), 0)
	_, whole = x.Since(term-1, version)
	assert.Assert(t, whole)
}

package fleet

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

func sound(now time.Time) Announcement {
	return Announcement{
		ID: "i-1", Addr: netip.MustParseAddrPort("10.0.0.9:80"), Zone: "z", Service: "s", Born: now, Sequence: 4,
		Slots: 64, Models: []Model{{Name: "m", Adapters: []string{"a"}}},
	}
}

// Guards against an odd announcement that is accepted, a sound one that is refused, and an error
// that names only the first of several findings.
func TestCheck(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	a := sound(now)
	assert.NilError(t, a.Check(now))
	a.Born = now.Add(maxBornAhead)
	assert.NilError(t, a.Check(now), "clocks differ")
	a.Models[0].Adapters = append(a.Models[0].Adapters, strings.Repeat("a", maxNameBytes+1), "\xff")
	a.Zone, a.Slots, a.Sequence, a.Born = "", -1, maxSequence+1, now.Add(2*maxBornAhead)
	a.Addr = netip.AddrPortFrom(a.Addr.Addr(), 0)
	err := a.Check(now)
	for _, want := range []string{"zone is missing", "-1 slots", "sequence", "start time", "no port", "adapter has 257 bytes", "not UTF-8"} {
		assert.ErrorContains(t, err, want)
	}
}

// Guards against a target whose announcements are all taken for late ones, since another writer
// has left one with a far larger sequence number.
func TestSequenceFarAhead(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	table := NewTable(now, 1, func(string, []Model) ([]*wire.FleetModel, bool) { return nil, false })
	a := sound(now)
	for _, c := range []struct {
		sequence uint64
		want     Outcome
	}{{4, Current}, {3, Late}, {maxSequence, Current}, {5, Current}, {4, Late}} {
		a.Sequence = c.sequence
		outcome, _ := table.Announce(now, a)
		assert.Equal(t, outcome, c.want, "sequence %d", c.sequence)
	}
}

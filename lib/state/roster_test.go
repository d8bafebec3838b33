package state

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// Guards against an older process of a target that replaces or removes the listed
// one, and against snapshots without the list.
func TestRoster(t *testing.T) {
	m := New()
	index := uint64(0)
	enlist := func(targets ...*wire.FleetTarget) {
		index++
		data, err := proto.Marshal(&wire.Command{Body: &wire.Command_Enlist{Enlist: &wire.Enlistment{Targets: targets}}})
		assert.NilError(t, err)
		var reply wire.CommandReply
		assert.NilError(t, proto.Unmarshal(m.Apply(index, time.UnixMilli(1), data), &reply))
		assert.Equal(t, reply.GetError(), "")
	}
	addrs := func() (out []string) {
		for _, x := range m.Roster() {
			out = append(out, x.GetId()+" "+x.GetAddress())
		}
		return out
	}
	enlist(
		&wire.FleetTarget{Id: "b", Address: "b2", BornMillis: 2},
		&wire.FleetTarget{Id: "a", Address: "a1", BornMillis: 1},
		&wire.FleetTarget{Address: "without-id", BornMillis: 1},
	)
	enlist(
		&wire.FleetTarget{Id: "b", Address: "b1", BornMillis: 1},
		&wire.FleetTarget{Id: "b", BornMillis: 1, Removed: true},
	)
	assert.DeepEqual(t, addrs(), []string{"a a1", "b b2"})
	data, err := m.Snapshot()
	assert.NilError(t, err)
	m = New()
	assert.NilError(t, m.Restore(data))
	assert.DeepEqual(t, addrs(), []string{"a a1", "b b2"})
	enlist(&wire.FleetTarget{Id: "b", BornMillis: 2, Removed: true})
	assert.DeepEqual(t, addrs(), []string{"a a1"})
}

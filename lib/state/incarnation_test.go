package state

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

// Guards against two processes with the same fencing token, a resent registration
// that gets a second incarnation, and load intents of a superseded agent.
func TestIncarnationsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver()
		numbers := make(map[string]uint64)
		var current uint64
		open := make(map[string]bool)
		closed := make(map[string]bool)
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				nonce := drawName("n", 4).Draw(t, "nonce")
				got := d.registerNonce("t", nonce)
				if numbers[nonce] == 0 {
					current++
					numbers[nonce] = current
				}
				assert.Equal(t, got.GetIncarnation(), numbers[nonce])
				ids := make(map[string]bool)
				for _, in := range got.GetIntents() {
					ids[in.GetCommandId()] = true
				}
				assert.DeepEqual(t, ids, open)
			},
			"open": func(t *rapid.T) {
				id := drawName("c", 4).Draw(t, "command")
				incarnation := uint64(rapid.IntRange(0, 5).Draw(t, "incarnation"))
				reply := d.apply(&wire.Command{Body: &wire.Command_Intend{Intend: &wire.IntendRequest{
					Intent: &wire.Intent{Target: "t", CommandId: id, Incarnation: incarnation},
				}}})
				isCurrent := current > 0 && incarnation == current
				want := isCurrent && !closed[id]
				assert.Equal(t, reply.GetIntend().GetAccepted(), want)
				// A superseded incarnation is refused; a closed command is an error.
				assert.Equal(t, reply.GetError() != "", isCurrent && closed[id])
				if want {
					open[id] = true
				}
			},
			"close": func(t *rapid.T) {
				id := drawName("c", 4).Draw(t, "command")
				assert.Assert(t, d.intend(&wire.Intent{Target: "t", CommandId: id}, true))
				if open[id] {
					delete(open, id)
					closed[id] = true
				}
			},
			"restart": d.restart,
			"": func(t *rapid.T) {
				assert.Equal(t, d.m.Incarnation("t"), current)
			},
		})
	})
}

// Guards against a removed target that registers again and gets an old fencing token.
func TestRemovedTargetGetsAHigherIncarnation(t *testing.T) {
	d := newDriver()
	d.registerNonce("t", "n1")
	d.registerNonce("t", "n2")
	d.registerNonce("busy", "n1")
	d.intend(&wire.Intent{Target: "busy", CommandId: "c", Incarnation: 1}, false)
	d.at = d.at.Add(incarnationRetention)
	assert.Assert(t, d.m.SweepDue(d.at))
	d.sweep()
	assert.Equal(t, d.m.Incarnation("t"), uint64(0))
	assert.Equal(t, d.m.Incarnation("busy"), uint64(1))
	assert.Equal(t, d.registerNonce("t", "n3").GetIncarnation(), uint64(3))
}

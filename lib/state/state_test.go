package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/wire"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// driver applies commands with increasing indexes at a time that the test sets.
type driver struct {
	m     *Machine
	index uint64
	at    time.Time
}

func newDriver() *driver { return &driver{m: New(), at: epoch} }

func (d *driver) apply(cmd *wire.Command) *wire.CommandReply {
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	d.index++
	var reply wire.CommandReply
	if err := proto.Unmarshal(d.m.Apply(d.index, d.at, data), &reply); err != nil {
		panic(err)
	}
	return &reply
}

func (d *driver) publish(r *wire.PublishRequest) *wire.PublishReply {
	return d.apply(&wire.Command{Body: &wire.Command_Publish{Publish: r}}).GetPublish()
}

func (d *driver) claim(r *wire.ClaimRequest) wire.ClaimOutcome {
	return d.apply(&wire.Command{Body: &wire.Command_Claim{Claim: r}}).GetClaim().GetOutcome()
}

func (d *driver) settle(r *wire.SettleRequest) bool {
	return d.apply(&wire.Command{Body: &wire.Command_Settle{Settle: r}}).GetSettle().GetAccepted()
}

func (d *driver) crash(r *wire.CrashReport) {
	d.apply(&wire.Command{Body: &wire.Command_Crash{Crash: r}})
}

func (d *driver) judge(r *wire.JudgeRequest) *wire.JudgeReply {
	return d.apply(&wire.Command{Body: &wire.Command_Judge{Judge: r}}).GetJudge()
}

func (d *driver) registerNonce(target, nonce string) *wire.RegisterReply {
	r := &wire.RegisterRequest{Target: target, Nonce: []byte(nonce)}
	return d.apply(&wire.Command{Body: &wire.Command_Register{Register: r}}).GetRegister()
}

func (d *driver) intend(in *wire.Intent, closing bool) bool {
	r := &wire.IntendRequest{Intent: in, Close: closing}
	return d.apply(&wire.Command{Body: &wire.Command_Intend{Intend: r}}).GetIntend().GetAccepted()
}

func (d *driver) sweep() {
	d.apply(&wire.Command{Body: &wire.Command_Sweep{Sweep: &wire.SweepRequest{Limit: 2}}})
}

// restart replaces the machine with one restored from its snapshot.
func (d *driver) restart(t *rapid.T) {
	before, err := d.m.Snapshot()
	assert.NilError(t, err)
	m := New()
	assert.NilError(t, m.Restore(before))
	after, err := m.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(before, after))
	d.m = m
}

func (d *driver) advanceTime(t *rapid.T) {
	d.at = d.at.Add(rapid.SampledFrom([]time.Duration{
		time.Millisecond, time.Second, 9 * time.Minute, 11 * time.Minute, 61 * time.Minute, 25 * time.Hour,
	}).Draw(t, "pass"))
}

func drawName(prefix string, n int) *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string { return fmt.Sprint(prefix, rapid.IntRange(1, n).Draw(t, prefix)) })
}

func testConfig(retention time.Duration, models ...string) *wire.Config {
	cfg := &wire.Config{Policy: &wire.Policy{ClaimRetentionMillis: uint64(retention.Milliseconds())}}
	for _, m := range models {
		cfg.Models = append(cfg.Models, &wire.Model{Name: m, Version: "1", Bytes: 1, MinCopies: 1})
	}
	return cfg
}

func digest32(b byte) []byte { return bytes.Repeat([]byte{b}, 32) }

// command draws a command of any kind. Names come from small pools, so that commands
// often affect the same records.
func command(t *rapid.T, d *driver) *wire.Command {
	attempt := []byte(drawName("a", 4).Draw(t, "attempt"))
	key := drawName("k", 4).Draw(t, "key")
	switch rapid.IntRange(0, 7).Draw(t, "command") {
	case 0:
		cfg := testConfig(time.Duration(rapid.IntRange(0, 3).Draw(t, "hours"))*time.Hour, drawName("m", 3).Draw(t, "model"))
		return &wire.Command{Body: &wire.Command_Publish{Publish: &wire.PublishRequest{
			PublicationId: []byte(drawName("p", 40).Draw(t, "id")), Config: cfg, Operator: drawName("o", 2).Draw(t, "operator"),
			BaseVersion: d.m.Config().GetVersion() - uint64(rapid.IntRange(0, 1).Draw(t, "stale")),
		}}}
	case 1:
		age := time.Duration(rapid.IntRange(-2, 130).Draw(t, "age")) * time.Minute
		return &wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
			Key: key, Attempt: attempt, Digest: digest32(1), IssuedUnixMillis: d.at.Add(-age).UnixMilli(),
		}}}
	case 2:
		return &wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleRequest{
			Key: key, Attempt: attempt, Outcome: wire.SettleOutcome(rapid.IntRange(0, 3).Draw(t, "outcome")),
			Answer: &wire.StoredAnswer{Status: 200, Body: make([]byte, rapid.SampledFrom([]int{0, 9, 5000}).Draw(t, "body"))},
		}}}
	case 3:
		return &wire.Command{Body: &wire.Command_Crash{Crash: &wire.CrashReport{
			Target: drawName("t", 3).Draw(t, "target"), BootId: drawName("b", 3).Draw(t, "boot"), Fingerprints: [][]byte{[]byte(key)},
		}}}
	case 4:
		return &wire.Command{Body: &wire.Command_Judge{Judge: &wire.JudgeRequest{
			Fingerprint: []byte(key), Attempt: attempt, Done: rapid.Bool().Draw(t, "done"), Completed: rapid.Bool().Draw(t, "completed"),
		}}}
	case 5:
		return &wire.Command{Body: &wire.Command_Register{Register: &wire.RegisterRequest{
			Target: drawName("t", 3).Draw(t, "target"), Nonce: attempt,
		}}}
	case 6:
		return &wire.Command{Body: &wire.Command_Intend{Intend: &wire.IntendRequest{
			Intent: &wire.Intent{
				Target: drawName("t", 3).Draw(t, "target"), CommandId: key, Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
			},
			Close: rapid.Bool().Draw(t, "close"),
		}}}
	default:
		return &wire.Command{Body: &wire.Command_Sweep{Sweep: &wire.SweepRequest{Limit: uint32(rapid.IntRange(1, 3).Draw(t, "limit"))}}}
	}
}

// Guards against replicas that diverge: for equal logs, every reply and the final
// snapshot are equal, even if one replica is restored from snapshots at arbitrary
// points.
func TestEqualLogsGiveEqualStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newDriver(), newDriver()
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
				b.restart(t)
			}
			if rapid.IntRange(0, 3).Draw(t, "time") == 0 {
				a.advanceTime(t)
				b.at = a.at
			}
			cmd := command(t, a)
			ra, rb := a.apply(cmd), b.apply(cmd)
			assert.Assert(t, proto.Equal(ra, rb), "%v: %v and %v", cmd, ra, rb)
		}
		sa, err := a.m.Snapshot()
		assert.NilError(t, err)
		sb, err := b.m.Snapshot()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(sa, sb))
	})
}

// Guards against a log entry that stops every replica: no input may cause a panic,
// and the reply to a malformed command is an error.
func FuzzApply(f *testing.F) {
	seeds := []*wire.Command{
		{Body: &wire.Command_Publish{Publish: &wire.PublishRequest{PublicationId: []byte("p"), Config: testConfig(0, "m")}}},
		{Body: &wire.Command_Claim{Claim: &wire.ClaimRequest{
			Key: "k", Attempt: []byte("a"), Digest: digest32(1), IssuedUnixMillis: epoch.UnixMilli(),
		}}},
		{Body: &wire.Command_Settle{Settle: &wire.SettleRequest{Key: "k", Attempt: []byte("a"), Outcome: 2}}},
		{Body: &wire.Command_Crash{Crash: &wire.CrashReport{Target: "t", BootId: "b", Fingerprints: [][]byte{{1}}}}},
		{Body: &wire.Command_Judge{Judge: &wire.JudgeRequest{Fingerprint: []byte{1}, Attempt: []byte("a")}}},
		{Body: &wire.Command_Register{Register: &wire.RegisterRequest{Target: "t", Nonce: []byte("n")}}},
		{Body: &wire.Command_Intend{Intend: &wire.IntendRequest{Intent: &wire.Intent{Target: "t", CommandId: "c", Incarnation: 1}}}},
		{Body: &wire.Command_Sweep{Sweep: &wire.SweepRequest{Limit: 1}}},
		{Body: &wire.Command_Publish{}},
	}
	for _, s := range seeds {
		data, err := proto.Marshal(s)
		assert.NilError(f, err)
		f.Add(data, int64(0))
	}
	f.Add([]byte{0xff}, int64(1))
	f.Fuzz(func(t *testing.T, data []byte, millis int64) {
		d := newDriver()
		for _, s := range seeds {
			d.apply(s)
		}
		var reply wire.CommandReply
		assert.NilError(t, proto.Unmarshal(d.m.Apply(100, time.UnixMilli(millis), data), &reply))
		assert.Assert(t, reply.GetError() != "" || reply.GetBody() != nil)
		for _, s := range seeds {
			d.apply(s)
		}
		_, err := d.m.Snapshot()
		assert.NilError(t, err)
	})
}

// Guards against losses of parts of prompts that a snapshot does not keep.
func TestPartLossesSurviveSnapshots(t *testing.T) {
	losses := &wire.PartLosses{Parts: []*wire.PartLoss{{
		Fingerprint: []byte("0123456789abcdef"), Processes: []*wire.LostProcess{{Target: "t", BornMillis: 1, LostUnixMillis: 2}},
	}}}
	m := New()
	command, err := proto.Marshal(&wire.Command{Body: &wire.Command_PartLosses{PartLosses: losses}})
	assert.NilError(t, err)
	m.Apply(1, time.Unix(1, 0), command)
	data, err := m.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(data))
	assert.Assert(t, proto.Equal(restored.PartLosses(), losses))
}

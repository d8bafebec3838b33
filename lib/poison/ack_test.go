package poison

import (
	"testing"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// Guards against a permit for a suspect while a copy of the request that was
// started before the crash may still run, since the two could crash two more targets.
func TestAcksEnded(t *testing.T) {
	fp, other := []byte("fingerprint"), []byte("another")
	live := []*wire.Announcement{
		{Target: "t1", Kind: wire.TargetKind_TARGET_KIND_ENGINE},
		{Target: "t2", Kind: wire.TargetKind_TARGET_KIND_ENGINE},
		{Target: "ledger", Kind: wire.TargetKind_TARGET_KIND_PLAIN},
	}
	for _, c := range []struct {
		name string
		acks Acks
		want bool
	}{
		{"no acks", Acks{}, false},
		{"ack of one agent missing", Acks{"t1": {Version: 3}}, false},
		{"old list", Acks{"t1": {Version: 3}, "t2": {Version: 2}}, false},
		{"copy still runs", Acks{"t1": {Version: 3}, "t2": {3, [][]byte{other, fp}}}, false},
		{"another suspect runs", Acks{"t1": {Version: 3}, "t2": {4, [][]byte{other}}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.acks.AllEnforce(3, fp, live), c.want)
		})
	}
}

// Guards against a new leader that clears a request before it has received the
// reports of crashes that happened while there was no leader.
func TestRulingWaitsForReports(t *testing.T) {
	var b SuspectCache
	cleared, suspect := wire.Verdict_VERDICT_CLEAR, wire.Verdict_VERDICT_SUSPECT
	for _, c := range []struct {
		verdict    wire.Verdict
		permit     bool
		done, warm bool
		want       Action
	}{
		{cleared, false, false, false, ActionWait},
		{cleared, false, false, true, ActionRun},
		{cleared, false, true, false, ActionRun},
		{suspect, false, false, false, ActionWait},
		{suspect, true, false, true, ActionAlone},
		{wire.Verdict_VERDICT_BLOCKED, false, false, false, ActionRefuse},
	} {
		r := LeaderReply(&wire.JudgeReply{Verdict: c.verdict, Permit: c.permit}, c.done, c.warm)
		assert.Equal(t, b.AfterVerdict(Fingerprint{1}, r.GetVerdict(), r.GetPermit()), c.want)
	}
}

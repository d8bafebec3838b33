package poison

import (
	"bytes"
	"slices"

	"bulrushpath.example/lib/wire"
)

// Ack is what an agent last said about suspects.
type Ack struct {
	// Version is that of the list of suspects which the agent enforces.
	Version uint64
	// Running holds the suspects that the agent's target runs beside other requests,
	// started before the agent held the list.
	Running [][]byte
}

// Acks holds the last Ack of each target's agent, by the name of the target.
type Acks map[string]Ack

// Ended reports whether the agents of all engines hold the list of suspects of the
// given version and run no copy of the fingerprint from before it. From then on a
// copy runs only with the permit.
func (a Acks) Ended(version uint64, fingerprint []byte, live []*wire.Announcement) bool {
	return !slices.ContainsFunc(live, func(t *wire.Announcement) bool {
		if t.GetKind() != wire.TargetKind_TARGET_KIND_ENGINE {
			return false
		}
		ack := a[t.GetTarget()]
		return ack.Version < version || slices.ContainsFunc(ack.Running, func(fp []byte) bool {
			return bytes.Equal(fp, fingerprint)
		})
	})
}

// Ruling returns the answer of a control leader to the question whether a request
// may run. A leader that is not warm knows only what the one before it recorded:
// the report of a crash that happened while there was none may still be on its way.
// It answers with no verdict then, and the request waits.
func Ruling(reply *wire.JudgeReply, done, warm bool) *wire.JudgeReply {
	if !done && !warm && reply.GetVerdict() == wire.Verdict_VERDICT_CLEAR {
		return &wire.JudgeReply{}
	}
	return reply
}

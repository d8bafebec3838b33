package poison

import (
	"bytes"
	"slices"

	"bulrushpath.example/lib/wire"
)

// Ack is an agent's acknowledgement of the suspect list: the version that it enforces,
// and the suspects still running from before.
type Ack struct {
	// Version is the version of the suspect list that the agent enforces.
	Version uint64
	// Running holds the suspects that run beside other requests on the agent's
	// target because they were started before the agent received the list.
	Running [][]byte
}

// Acks holds the latest Ack of each agent, by target name.
type Acks map[string]Ack

// AllEnforce reports whether the agents of all engines in live enforce at least the
// given version of the suspect list and no longer run a request with the fingerprint
// that was started before they received it. From then on, such a request runs only
// with a permit.
func (a Acks) AllEnforce(version uint64, fingerprint []byte, live []*wire.Announcement) bool {
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

// LeaderReply returns a control leader's reply to a JudgeRequest. A new leader (warm is
// false) may not have received the reports of crashes that happened while there
// was no leader. It therefore replies without a verdict instead of VERDICT_CLEAR,
// and the request waits. done is the Done field of the JudgeRequest.
func LeaderReply(reply *wire.JudgeReply, done, warm bool) *wire.JudgeReply {
	if !done && !warm && reply.GetVerdict() == wire.Verdict_VERDICT_CLEAR {
		return &wire.JudgeReply{}
	}
	return reply
}

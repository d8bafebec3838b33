package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

//go:generate stringer -type=Op,Result -output=enum_string.go

// Op is the kind of a command.
type Op uint8

// Kinds of commands.
const (
	OpLoad Op = iota + 1
	OpUnload
	// OpFence only makes the engine record the fencing token.
	OpFence
)

// Result is the result of one attempt to send a command.
type Result uint8

// Results of an attempt.
const (
	// ResultDone means that the engine answered that the command took effect.
	ResultDone Result = iota + 1
	// ResultFailed means that the engine answered that the command had no effect.
	ResultFailed
	// ResultStale means that the engine has seen a larger fencing token.
	ResultStale
	// ResultNotSent means that no byte of the command can have been sent.
	ResultNotSent
	// ResultUnknown means that the attempt ended without an answer.
	ResultUnknown
)

// Command is one command for the engine.
type Command struct {
	// ID ends in the ID of the boot that the command belongs to.
	ID    string
	Token uint64
	Op    Op
	Artifact
	// BootID is the only boot of the engine that may receive the command.
	BootID string
	// NeedsIntent tells the caller to record an intent in the control group before
	// the first attempt.
	NeedsIntent bool
}

// CommandState is a command as the engine reports it.
type CommandState struct {
	ID string
	// Running is true while the engine has not answered the command.
	Running bool
}

type phase uint8

const (
	phaseIntending phase = iota + 1
	phaseSending
	// phaseUnknown: no attempt is in progress and none has been answered.
	phaseUnknown
	// phaseClosing: the command will never be sent, but its intent may be open
	// in the control group, where the next incarnation would find it.
	phaseClosing
)

// command is a command that has not been answered yet.
type command struct {
	Command
	phase phase
	// maybeSent is set once an attempt may have reached the engine.
	maybeSent bool
	// inherited marks an open intent of an earlier incarnation.
	inherited bool
	// retryAt is the earliest time of the next attempt.
	retryAt time.Time
	backoff time.Duration
}

// commandID returns the ID of a command. The boot ID comes last because it may
// contain any character, including the separator.
func commandID(incarnation, n uint64, boot string) string {
	return fmt.Sprintf("%d-%d-%s", incarnation, n, boot)
}

func bootFromID(id string) string {
	parts := strings.SplitN(id, "-", 3)
	return parts[len(parts)-1]
}

// SetPlan replaces the plan unless stamp is older than the current plan's, and
// reports whether it did.
func (l *Ledger) SetPlan(stamp Stamp, artifacts []Artifact) bool {
	if l.hasPlan && stamp.Before(l.stamp) {
		return false
	}
	l.hasPlan, l.stamp = true, stamp
	l.planned = make(map[Key]bool, len(artifacts))
	for _, a := range artifacts {
		if a.Adapter == "" {
			l.planned[a.Key] = true
		}
	}
	l.plan = l.plan[:0]
	for _, a := range artifacts {
		// An adapter cannot be served without its model.
		if l.planned[a.modelKey()] {
			l.planned[a.Key] = true
			l.plan = append(l.plan, a)
		}
	}
	slices.SortStableFunc(l.plan, func(a, b Artifact) int {
		return cmp.Compare(min(len(a.Adapter), 1), min(len(b.Adapter), 1))
	})
	return true
}

// NextCommands returns the commands to send now. The caller must report the result of
// each of them to HandleResult.
func (l *Ledger) NextCommands(now time.Time) []Command {
	if l.stopped || l.incarnation == 0 || l.acceptedTicket < l.registeredSeq {
		return nil
	}
	if l.fencing && l.fencedSeq == 0 {
		return l.nextFence(now)
	}
	if !l.hasPlan {
		return nil
	}
	out := l.nextRetries(now)
	out = append(out, l.nextUnloads(now)...)
	return append(out, l.nextLoads(now)...)
}

func (l *Ledger) nextFence(now time.Time) []Command {
	for _, c := range l.cmds {
		if c.Op == OpFence {
			if c.phase != phaseUnknown || now.Before(c.retryAt) {
				return nil
			}
			c.phase = phaseSending
			return []Command{c.Command}
		}
	}
	return []Command{l.issue(OpFence, Artifact{}).Command}
}

// nextRetries returns unanswered commands to resend. They keep their IDs,
// because the engine executes an ID once and then repeats its first answer.
func (l *Ledger) nextRetries(now time.Time) []Command {
	var out []Command
	for _, c := range l.cmds {
		// Commands of earlier incarnations are never resent: the agent that
		// issued one may close its intent while the resent command is in flight.
		if c.phase != phaseUnknown || c.inherited || now.Before(c.retryAt) || c.Op == OpLoad && !l.planned[c.Key] {
			continue
		}
		c.phase = phaseSending
		out = append(out, c.Command)
	}
	slices.SortFunc(out, func(a, b Command) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (l *Ledger) nextUnloads(now time.Time) []Command {
	var out []Command
	for _, k := range l.sortedKeys() {
		st := l.artifacts[k]
		if l.planned[k] || !st.resident || st.inUse > 0 || l.hasUnanswered(k) || now.Before(st.retryAt) {
			continue
		}
		if k.Adapter == "" && l.hasAdapters(k) {
			continue
		}
		out = append(out, l.issue(OpUnload, st.Artifact).Command)
	}
	return out
}

// hasAdapters reports whether an adapter of the model is resident or is the
// subject of an unanswered command of this incarnation.
func (l *Ledger) hasAdapters(model Key) bool {
	for k, st := range l.artifacts {
		if k.Adapter != "" && k.modelKey() == model && st.resident {
			return true
		}
	}
	for _, c := range l.cmds {
		if c.Op != OpFence && c.Adapter != "" && c.modelKey() == model && !c.inherited {
			return true
		}
	}
	return false
}

func (l *Ledger) nextLoads(now time.Time) []Command {
	var out []Command
	used := l.Reserved()
	for _, a := range l.plan {
		st := l.artifact(a)
		if st.resident || l.hasOwnUnanswered(a.Key) || now.Before(st.retryAt) {
			continue
		}
		if a.Adapter != "" && !l.residentAndIdle(a.modelKey()) {
			continue
		}
		// An open intent may already reserve memory for the same artifact.
		held := l.reservedFor(a.Key)
		need := used - held + max(held, a.Bytes)
		if need > l.memory {
			continue
		}
		used = need
		out = append(out, l.issue(OpLoad, a).Command)
	}
	return out
}

// residentAndIdle reports whether k is resident and this incarnation has no unanswered
// command for it.
func (l *Ledger) residentAndIdle(k Key) bool {
	st, ok := l.artifacts[k]
	return ok && st.resident && !l.hasOwnUnanswered(k)
}

func (l *Ledger) issue(op Op, a Artifact) *command {
	l.issued++
	c := &command{
		Command: Command{
			ID: commandID(l.incarnation, l.issued, l.boot), Token: l.incarnation,
			Op: op, Artifact: a, BootID: l.boot, NeedsIntent: op == OpLoad,
		},
		phase: phaseSending,
	}
	if c.NeedsIntent {
		c.phase = phaseIntending
	}
	l.cmds[c.ID] = c
	return c
}

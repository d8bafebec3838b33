package ledger

import "time"

// BeginRead returns the ticket for a read that begins now. Observe accepts only
// the latest ticket, so an old result cannot overwrite a newer one.
func (l *Ledger) BeginRead() uint64 {
	l.seq++
	l.pendingTicket = l.seq
	return l.seq
}

// Observe applies the result of a read and reports whether it was accepted.
func (l *Ledger) Observe(ticket uint64, s EngineState) bool {
	if ticket != l.pendingTicket || s.BootID == "" {
		return false
	}
	l.pendingTicket, l.acceptedTicket = 0, ticket
	if s.BootID != l.boot {
		l.resetForBoot(s.BootID)
	}
	// This includes intents returned by the registration: it preceded this
	// read, so intents with another boot ID belong to an earlier boot.
	for _, c := range l.cmds {
		if c.BootID != s.BootID {
			l.removeCommand(c)
		}
	}
	l.memory, l.fencing = s.Memory, s.Fencing
	resident := make(map[Key]uint64, len(s.Resident))
	for _, a := range s.Resident {
		resident[a.Key] = a.Bytes
		l.artifact(a)
	}
	for k, st := range l.artifacts {
		if st.answeredSeq > ticket {
			continue
		}
		bytes, ok := resident[k]
		st.resident = ok
		if ok {
			st.Bytes = bytes
		}
	}
	l.observeCommands(ticket, s.Commands)
	l.removeUnreferenced(ticket)
	return true
}

// observeCommands ends commands that the engine's command list shows as answered.
func (l *Ledger) observeCommands(ticket uint64, list []CommandState) {
	running := make(map[string]bool)
	for _, cs := range list {
		if cs.Running {
			running[cs.ID] = true
		} else if c, ok := l.cmds[cs.ID]; ok {
			// A command is ended only if the same read also updates whether
			// its artifact is resident. A fence is ended only by its own
			// answer, whose sequence number tells which reads began after it.
			if st, known := l.artifacts[c.Key]; c.Op != OpFence && (!known || st.answeredSeq <= ticket) {
				l.removeCommand(c)
			}
		}
	}
	if !l.fencing || l.fencedSeq == 0 || l.fencedSeq > ticket {
		return
	}
	// The fence was answered before this read began, so a command of an earlier
	// incarnation that is not running now can no longer take effect.
	for id, c := range l.cmds {
		if c.inherited && !running[id] {
			l.removeCommand(c)
		}
	}
}

// resetForBoot clears the state of the previous boot when the engine has restarted.
func (l *Ledger) resetForBoot(boot string) {
	l.boot, l.fencedSeq = boot, 0
	for _, st := range l.artifacts {
		st.resident, st.answeredSeq, st.retryAt, st.backoff = false, 0, time.Time{}, 0
	}
}

// removeCommand removes a command that can no longer take effect.
func (l *Ledger) removeCommand(c *command) {
	delete(l.cmds, c.ID)
	if c.Op == OpLoad {
		l.closable = append(l.closable, c.Command)
	}
}

// removeUnreferenced removes artifacts that are not resident, used, planned or the
// subject of a command.
func (l *Ledger) removeUnreferenced(ticket uint64) {
	for k, st := range l.artifacts {
		if !st.resident && st.inUse == 0 && !l.planned[k] && st.answeredSeq <= ticket && !l.hasUnanswered(k) {
			delete(l.artifacts, k)
		}
	}
}

// IntentRecorded records that the control group has stored the intent of a load. It
// reports false if the command must no longer be sent.
func (l *Ledger) IntentRecorded(id string) bool {
	c, ok := l.cmds[id]
	if !ok || l.stopped || c.phase != phaseIntending {
		return false
	}
	c.phase = phaseSending
	return true
}

// HandleResult applies the result of an attempt. Results of commands that have
// ended in the meantime are ignored.
func (l *Ledger) HandleResult(now time.Time, id string, r Result) {
	c, ok := l.cmds[id]
	if !ok || c.phase == phaseClosing {
		return
	}
	l.seq++
	switch r {
	case ResultDone, ResultFailed:
		l.applyAnswer(now, c, r == ResultDone)
	case ResultStale:
		l.stopped = true
		c.phase, c.maybeSent = phaseUnknown, true
	case ResultNotSent:
		if !c.maybeSent {
			l.abandon(now, c)
			return
		}
		fallthrough
	default:
		c.maybeSent = c.maybeSent || r == ResultUnknown
		c.phase = phaseUnknown
		c.retryAt, c.backoff = nextBackoff(now, c.backoff)
	}
}

// abandon ends a command that was never sent. A load keeps its reservation
// until its intent is closed; otherwise the open intents that the next
// incarnation finds could exceed the memory.
func (l *Ledger) abandon(now time.Time, c *command) {
	l.removeCommand(c)
	if c.Op == OpFence {
		return
	}
	st := l.artifact(c.Artifact)
	st.retryAt, st.backoff = nextBackoff(now, st.backoff)
	if c.Op == OpLoad {
		c.phase = phaseClosing
		l.cmds[c.ID] = c
	}
}

// IntentClosed records that the control group has closed the intent of a load.
func (l *Ledger) IntentClosed(id string) {
	if c, ok := l.cmds[id]; ok && c.phase == phaseClosing {
		delete(l.cmds, id)
	}
}

func (l *Ledger) applyAnswer(now time.Time, c *command, done bool) {
	l.removeCommand(c)
	if c.Op == OpFence {
		if done {
			l.fencedSeq = l.seq
		}
		return
	}
	st := l.artifact(c.Artifact)
	st.answeredSeq = l.seq
	if !done {
		st.retryAt, st.backoff = nextBackoff(now, st.backoff)
		return
	}
	st.retryAt, st.backoff = time.Time{}, 0
	st.resident = c.Op == OpLoad
	st.Bytes = c.Bytes
}

// nextBackoff doubles the backoff within its bounds and returns when it ends.
func nextBackoff(now time.Time, backoff time.Duration) (time.Time, time.Duration) {
	backoff = min(max(2*backoff, minBackoff), maxBackoff)
	return now.Add(backoff), backoff
}

// TakeClosable returns the loads whose intents can be closed, each of them once. The
// caller closes the intents in the control group and then calls IntentClosed.
func (l *Ledger) TakeClosable() []Command {
	out := l.closable
	l.closable = nil
	return out
}

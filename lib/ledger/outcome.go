package ledger

import "time"

// BeginRead returns the ticket for a read that begins now. Observe accepts only
// the latest ticket, so an old result cannot overwrite a newer one.
func (l *Ledger) BeginRead() uint64 {
	l.seq++
	l.reading = l.seq
	return l.seq
}

// Observe applies the result of a read and reports whether it was accepted.
func (l *Ledger) Observe(ticket uint64, s State) bool {
	if ticket != l.reading || s.Boot == "" {
		return false
	}
	l.reading, l.read = 0, ticket
	if s.Boot != l.boot {
		l.restart(s.Boot)
	}
	// This includes intents returned by the registration: it preceded this
	// read, so intents with another boot ID belong to an earlier boot.
	for _, c := range l.cmds {
		if c.Boot != s.Boot {
			l.end(c)
		}
	}
	l.memory, l.fencing = s.Memory, s.Fencing
	resident := make(map[Key]uint64, len(s.Resident))
	for _, a := range s.Resident {
		resident[a.Key] = a.Bytes
		l.item(a)
	}
	for k, it := range l.items {
		if it.changed > ticket {
			continue
		}
		bytes, ok := resident[k]
		it.resident = ok
		if ok {
			it.Bytes = bytes
		}
	}
	l.observeCommands(ticket, s.Commands)
	l.forget(ticket)
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
			// answer, which determines the reads that began after it.
			if it, known := l.items[c.Key]; c.Op != OpFence && (!known || it.changed <= ticket) {
				l.end(c)
			}
		}
	}
	if !l.fencing || l.fenced == 0 || l.fenced > ticket {
		return
	}
	// The fence was answered before this read began, so a command of an earlier
	// incarnation that is not running now can no longer take effect.
	for id, c := range l.cmds {
		if c.foreign && !running[id] {
			l.end(c)
		}
	}
}

// restart clears the state of the previous boot when the engine has restarted.
func (l *Ledger) restart(boot string) {
	l.boot, l.fenced = boot, 0
	for _, it := range l.items {
		it.resident, it.changed, it.ready, it.pause = false, 0, time.Time{}, 0
	}
}

// end removes a command that can no longer take effect.
func (l *Ledger) end(c *command) {
	delete(l.cmds, c.ID)
	if c.Op == OpLoad {
		l.closable = append(l.closable, c.Command)
	}
}

// forget removes artifacts that are not resident, used, planned or the subject
// of a command.
func (l *Ledger) forget(ticket uint64) {
	for k, it := range l.items {
		if !it.resident && it.use == 0 && !l.wanted[k] && it.changed <= ticket && !l.open(k) {
			delete(l.items, k)
		}
	}
}

// Intended records that the control group has stored the intent of a load. It
// reports false if the command must no longer be sent.
func (l *Ledger) Intended(id string) bool {
	c, ok := l.cmds[id]
	if !ok || l.stopped || c.phase != phaseIntending {
		return false
	}
	c.phase = phaseSending
	return true
}

// Answered applies the result of an attempt. Results of commands that have
// ended in the meantime are ignored.
func (l *Ledger) Answered(now time.Time, id string, r Result) {
	c, ok := l.cmds[id]
	if !ok || c.phase == phaseClosing {
		return
	}
	l.seq++
	switch r {
	case ResultDone, ResultFailed:
		l.answer(now, c, r == ResultDone)
	case ResultStale:
		l.stopped = true
		c.phase, c.maySent = phaseUnknown, true
	case ResultNotSent:
		if !c.maySent {
			l.abandon(now, c)
			return
		}
		fallthrough
	default:
		c.maySent = c.maySent || r == ResultUnknown
		c.phase = phaseUnknown
		c.ready, c.pause = later(now, c.pause)
	}
}

// abandon ends a command that was never sent. A load keeps its reservation
// until its intent is closed; otherwise the open intents that the next
// incarnation finds could exceed the memory.
func (l *Ledger) abandon(now time.Time, c *command) {
	l.end(c)
	if c.Op == OpFence {
		return
	}
	it := l.item(c.Artifact)
	it.ready, it.pause = later(now, it.pause)
	if c.Op == OpLoad {
		c.phase = phaseClosing
		l.cmds[c.ID] = c
	}
}

// Closed records that the control group has closed the intent of a load.
func (l *Ledger) Closed(id string) {
	if c, ok := l.cmds[id]; ok && c.phase == phaseClosing {
		delete(l.cmds, id)
	}
}

func (l *Ledger) answer(now time.Time, c *command, done bool) {
	l.end(c)
	if c.Op == OpFence {
		if done {
			l.fenced = l.seq
		}
		return
	}
	it := l.item(c.Artifact)
	it.changed = l.seq
	if !done {
		it.ready, it.pause = later(now, it.pause)
		return
	}
	it.ready, it.pause = time.Time{}, 0
	it.resident = c.Op == OpLoad
	it.Bytes = c.Bytes
}

// later doubles the backoff within its bounds and returns when it ends.
func later(now time.Time, pause time.Duration) (time.Time, time.Duration) {
	pause = min(max(2*pause, retryMin), retryMax)
	return now.Add(pause), pause
}

// Closable returns the loads whose intents can be closed, each of them once. The
// caller closes the intents in the control group and then calls Closed.
func (l *Ledger) Closable() []Command {
	out := l.closable
	l.closable = nil
	return out
}

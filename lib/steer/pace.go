package steer

import (
	"slices"
	"time"
)

const (
	// paceEvents is the number of pauses that tell the present pace: a prompt that is
	// read in one piece between two events does not make a target look slow.
	paceEvents = 3
	// paceWindow is how long they count.
	paceWindow = 250 * time.Millisecond
	// paceMax bounds the ratio of the present pace to the usual one.
	paceMax = 3.0
	// stallRatio is the ratio to the usual pause above which a single one shows a slow
	// target: a prompt that is read beside the streams makes shorter ones. stallWindow
	// is how long it counts.
	stallRatio  = 6
	stallWindow = 200 * time.Millisecond
	// paceDown and paceUp move the usual pause towards a shorter or a longer one. It
	// settles where most pauses are longer: those without a prompt beside them.
	paceDown = 0.04
	paceUp   = 0.01
)

// pace compares the pauses between the events of a target's streams with the usual
// ones, which tells within a few events that the target is slow at the moment.
type pace struct {
	usual  time.Duration
	recent [paceEvents]time.Duration
	// seen holds the time of each recent pause, next the index of the oldest.
	seen [paceEvents]time.Time
	next int
	// live is the number of streams that have begun and go on, last the time of the
	// last event of any of them, stalled the end of the last pause above stallRatio.
	live          int
	last, stalled time.Time
}

// begin notes the first event of a stream, end its end.
func (p *pace) begin(now time.Time) {
	p.live++
	p.last = now
}

func (p *pace) end() { p.live-- }

// add notes a pause between two events of one stream.
func (p *pace) add(now time.Time, pause time.Duration) {
	p.last = now
	if p.usual > 0 && pause > stallRatio*p.usual {
		p.stalled = now
	}
	p.recent[p.next], p.seen[p.next] = pause, now
	p.next = (p.next + 1) % paceEvents
	switch {
	case p.usual == 0:
		p.usual = pause
	case pause < p.usual:
		p.usual -= time.Duration(paceDown * float64(p.usual-pause))
	default:
		p.usual += time.Duration(paceUp * float64(min(pause, 2*p.usual)-p.usual))
	}
}

// now returns how many times longer than usual the present pauses are, at least 1.
// It is 1 if there were not enough of them lately.
func (p *pace) now(now time.Time) float64 {
	if p.usual <= 0 {
		return 1
	}
	if now.Sub(p.stalled) < stallWindow || p.live > 0 && now.Sub(p.last) > stallRatio*p.usual {
		return paceMax
	}
	for _, at := range p.seen {
		if now.Sub(at) > paceWindow {
			return 1
		}
	}
	return min(max(float64(slices.Min(p.recent[:]))/float64(p.usual), 1), paceMax)
}

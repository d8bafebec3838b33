package steer

import (
	"slices"
	"time"
)

const (
	// paceEvents is the number of latest gaps of which the shortest one determines the
	// slowdown: a single gap caused by the prefill of a prompt in one piece must not make
	// a target look slow.
	paceEvents = 3
	// paceWindow is the maximum age of these gaps.
	paceWindow = 250 * time.Millisecond
	// paceMax limits the reported slowdown.
	paceMax = 3.0
	// stallRatio is the multiple of the baseline above which a single gap marks the
	// target as slow, for stallWindow. The prefill of a concurrent prompt causes shorter
	// gaps.
	stallRatio  = 6
	stallWindow = 200 * time.Millisecond
	// paceDown and paceUp are the weights with which a shorter or a longer gap moves the
	// baseline. As paceDown is larger, the baseline settles below most gaps, at the
	// length of gaps without a concurrent prefill.
	paceDown = 0.04
	paceUp   = 0.01
)

// pace detects within a few events that a target is currently slow, by comparing the
// gaps between the events of its streams with their usual length.
type pace struct {
	// usual is the baseline, the usual gap; 0 until the first one.
	usual  time.Duration
	recent [paceEvents]time.Duration
	// seen holds the time of each gap in recent, next the index of the oldest one.
	seen [paceEvents]time.Time
	next int
	// live is the number of active streams, last the time of the latest event of any
	// stream, and stalled the end of the latest gap above stallRatio.
	live          int
	last, stalled time.Time
}

// begin records the first event of a stream.
func (p *pace) begin(now time.Time) {
	p.live++
	p.last = now
}

// end records the end of a stream.
func (p *pace) end() { p.live-- }

// add records a gap between two events of one stream.
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

// now returns the current slowdown: the ratio of the present gaps to the baseline,
// from 1 to paceMax. It returns paceMax after a stall and while all active streams
// stand still, otherwise 1 if there are too few recent gaps.
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

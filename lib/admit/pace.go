package admit

import (
	"math"
	"time"
)

const (
	// usualTime and recentTime are the time constants of the two moving averages of
	// the time between tokens. The short one reveals a straggler within a few tokens;
	// the long one adapts slowly, so that a slow phase does not soon become the baseline.
	usualTime, recentTime = time.Minute, 300 * time.Millisecond
	// paceNoise is the slowdown below which the pace counts as normal.
	paceNoise = 1.5
	// paceMax bounds the slowdown. Without a bound, a stall would make every estimated
	// wait exceed its deadline.
	paceMax = 10
	// paceStart is the number of tokens needed to establish the baseline.
	paceStart = 50
)

// pace compares the recent time between tokens with the baseline of this target.
// Queue lengths alone reveal a straggler only once requests have piled up.
type pace struct {
	tokens int
	// usual and recent are in seconds.
	usual, recent float64
	// last is the time of the latest token of any request.
	last time.Time
}

// add records the time between two tokens of one request.
func (p *pace) add(now time.Time, gap time.Duration) {
	x := gap.Seconds()
	since := now.Sub(p.last)
	p.last = now
	p.tokens++
	if p.tokens <= paceStart {
		p.usual += (x - p.usual) / float64(p.tokens)
		p.recent = p.usual
		return
	}
	// Bound the effect of a single stream: its client may be slow to read.
	x = min(x, paceMax*p.usual)
	p.usual += weight(since, usualTime) * (x - p.usual)
	p.recent += weight(since, recentTime) * (x - p.recent)
}

// weight returns the weight of a sample in an exponentially weighted moving average
// with the given time constant; since is the time since the last sample.
func weight(since, constant time.Duration) float64 {
	return 1 - math.Exp(-since.Seconds()/constant.Seconds())
}

// slowdown returns the time per token relative to the baseline, or 1 if it is not
// known. stalled is the time since the last token of any running request.
func (p *pace) slowdown(stalled time.Duration) float64 {
	if p.tokens <= paceStart || p.usual <= 0 {
		return 1
	}
	s := max(p.recent, stalled.Seconds()) / p.usual
	if s < paceNoise {
		return 1
	}
	return min(s, paceMax)
}

// slowdown returns the current slowdown of the target.
func (a *Admission) slowdown(now time.Time) float64 {
	stalled, streaming := time.Duration(math.MaxInt64), false
	for _, w := range a.all {
		if w.running && !w.token.IsZero() {
			stalled, streaming = min(stalled, now.Sub(w.token)), true
		}
	}
	if !streaming {
		// Without a running stream there is no evidence that the target is still slow.
		return 1
	}
	return a.pace.slowdown(stalled)
}

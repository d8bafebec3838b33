package admit

import (
	"math"
	"time"
)

const (
	// baselineTau and recentTau are the time constants of the two moving averages of
	// the time between tokens. The short one reveals a straggler within a few tokens.
	// The long one adapts slowly, so that a slow phase does not soon become the
	// baseline.
	baselineTau, recentTau = time.Minute, 300 * time.Millisecond
	// minSlowdown is the slowdown below which the pace counts as normal.
	minSlowdown = 1.5
	// maxSlowdown bounds the slowdown. Without a bound, a stall would make every
	// estimated wait exceed its deadline.
	maxSlowdown = 10
	// baselineTokens is the number of tokens needed to establish the baseline.
	baselineTokens = 50
)

// tokenPace compares the recent time between tokens with the baseline of this target.
// Queue lengths alone reveal a straggler only once requests have piled up.
type tokenPace struct {
	tokens int
	// baseline and recent are in seconds.
	baseline, recent float64
	// last is the time of the latest token of any request.
	last time.Time
}

// add records the time between two tokens of one request.
func (p *tokenPace) add(now time.Time, gap time.Duration) {
	x := gap.Seconds()
	since := now.Sub(p.last)
	p.last = now
	p.tokens++
	if p.tokens <= baselineTokens {
		p.baseline += (x - p.baseline) / float64(p.tokens)
		p.recent = p.baseline
		return
	}
	// Bound the effect of a single stream: its client may be slow to read.
	x = min(x, maxSlowdown*p.baseline)
	p.baseline += ewmaWeight(since, baselineTau) * (x - p.baseline)
	p.recent += ewmaWeight(since, recentTau) * (x - p.recent)
}

// ewmaWeight returns the weight of a sample in an exponentially weighted moving average
// with the given time constant; since is the time since the last sample.
func ewmaWeight(since, constant time.Duration) float64 {
	return 1 - math.Exp(-since.Seconds()/constant.Seconds())
}

// slowdown returns the time per token relative to the baseline, or 1 if it is not
// known or below minSlowdown. stalled is the time since the last token of any running request.
func (p *tokenPace) slowdown(stalled time.Duration) float64 {
	if p.tokens <= baselineTokens || p.baseline <= 0 {
		return 1
	}
	s := max(p.recent, stalled.Seconds()) / p.baseline
	if s < minSlowdown {
		return 1
	}
	return min(s, maxSlowdown)
}

// slowdown returns the current slowdown of the target.
func (a *Admission) slowdown(now time.Time) float64 {
	stalled, streaming := time.Duration(math.MaxInt64), false
	for _, w := range a.requests {
		if w.running && !w.lastToken.IsZero() {
			stalled, streaming = min(stalled, now.Sub(w.lastToken)), true
		}
	}
	if !streaming {
		// Without a running stream there is no evidence that the target is still slow.
		return 1
	}
	return a.pace.slowdown(stalled)
}

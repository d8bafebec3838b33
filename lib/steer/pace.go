package steer

import (
	"slices"
	"time"
)

const (
	// recentGaps is the number of latest gaps of which the shortest one determines the
	// slowdown: a single gap caused by the prefill of a prompt in one piece must not make
	// a target look slow.
	recentGaps = 3
	// maxGapAge is the maximum age of these gaps.
	maxGapAge = 250 * time.Millisecond
	// maxSlowdown limits the reported slowdown.
	maxSlowdown = 3.0
	// stallRatio is the multiple of the baseline above which a single gap marks the
	// target as slow, for stallWindow. The prefill of a concurrent prompt causes shorter
	// gaps.
	stallRatio  = 6
	stallWindow = 200 * time.Millisecond
	// baselineDownWeight and baselineUpWeight are the weights with which a shorter or a
	// longer gap moves the baseline. As the former is larger, the baseline settles below
	// most gaps, at the length of gaps without a concurrent prefill.
	baselineDownWeight = 0.04
	baselineUpWeight   = 0.01
)

// gapTracker detects within a few events that a target is currently slow, by comparing the
// gaps between the events of its streams with their usual length.
type gapTracker struct {
	// baseline is the usual gap; 0 until the first gap.
	baseline time.Duration
	// recent holds the latest gaps, recentAt the time of each, and next the index of the
	// oldest one.
	recent   [recentGaps]time.Duration
	recentAt [recentGaps]time.Time
	next     int
	// streams is the number of active streams, lastEvent the time of the latest event of
	// any stream, and lastStall the end of the latest gap longer than stallRatio times the
	// baseline.
	streams              int
	lastEvent, lastStall time.Time
}

// startStream records the first event of a stream.
func (p *gapTracker) startStream(now time.Time) {
	p.streams++
	p.lastEvent = now
}

// endStream records the end of a stream.
func (p *gapTracker) endStream() { p.streams-- }

// addGap records a gap between two events of one stream.
func (p *gapTracker) addGap(now time.Time, gap time.Duration) {
	p.lastEvent = now
	if p.baseline > 0 && gap > stallRatio*p.baseline {
		p.lastStall = now
	}
	p.recent[p.next], p.recentAt[p.next] = gap, now
	p.next = (p.next + 1) % recentGaps
	switch {
	case p.baseline == 0:
		p.baseline = gap
	case gap < p.baseline:
		p.baseline -= time.Duration(baselineDownWeight * float64(p.baseline-gap))
	default:
		p.baseline += time.Duration(baselineUpWeight * float64(min(gap, 2*p.baseline)-p.baseline))
	}
}

// slowdown returns the current slowdown: the ratio of the present gaps to the baseline,
// from 1 to maxSlowdown. It returns maxSlowdown after a stall and while all active
// streams stand still, otherwise 1 if there are too few recent gaps.
func (p *gapTracker) slowdown(now time.Time) float64 {
	if p.baseline <= 0 {
		return 1
	}
	if now.Sub(p.lastStall) < stallWindow || p.streams > 0 && now.Sub(p.lastEvent) > stallRatio*p.baseline {
		return maxSlowdown
	}
	for _, at := range p.recentAt {
		if now.Sub(at) > maxGapAge {
			return 1
		}
	}
	return min(max(float64(slices.Min(p.recent[:]))/float64(p.baseline), 1), maxSlowdown)
}

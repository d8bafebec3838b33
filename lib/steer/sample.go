package steer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sampleSize is the number of targets of a plain service among which a request chooses.
	sampleSize = 2
	// maxSampleErrorRate and maxSampleSlow are the error rate and the slowdown above which a
	// target is not in the sample while there are others.
	maxSampleErrorRate = 0.1
	maxSampleSlow      = 1.5
)

// sample returns skip, extended by all targets of a plain service but a random few. The requests
// there are far shorter than the reports of load are old: the target with the lowest reported
// load is the same for all entry instances until the next report, and would get the requests of
// all of them. Two at random, of which the less loaded one is taken, spread them almost evenly.
// Targets that are limited, failing or slow are left out as long as others remain.
func sample(now time.Time, r *Request, targets []*Target, skip func(*Target) bool) func(*Target) bool {
	if r.Model != "" {
		return skip
	}
	var chosen [sampleSize]*Target
	var ranks [sampleSize]uint64
	n := 0
	for _, t := range targets {
		if !t.serves("") || skip(t) || now.Before(t.backoffUntil) || t.Limit > 0 || !t.isSound(now) {
			continue
		}
		n++
		insertByRank(&chosen, &ranks, t, combineHash(xxhash.Sum64String(t.ID), uint64(now.UnixNano())))
	}
	if n <= sampleSize {
		return skip
	}
	return func(t *Target) bool { return t != chosen[0] && t != chosen[1] }
}

// insertByRank inserts t into the targets of the highest ranks.
func insertByRank(chosen *[sampleSize]*Target, ranks *[sampleSize]uint64, t *Target, rank uint64) {
	for i := range chosen {
		if chosen[i] == nil || rank > ranks[i] {
			chosen[i], t = t, chosen[i]
			ranks[i], rank = rank, ranks[i]
			if t == nil {
				return
			}
		}
	}
}

// isSound reports whether the target has neither failed nor been slow recently.
func (t *Target) isSound(now time.Time) bool {
	errorRate, slowdown := t.Health(now)
	return errorRate <= maxSampleErrorRate && slowdown <= maxSampleSlow
}

package entry

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

// metrics holds the metrics of an entry instance.
type metrics struct {
	// outcomes counts requests by the outcome reported to the caller.
	outcomes map[string]tally.Counter
	attempts tally.Counter
	retries  tally.Counter
	hedges   tally.Counter
	resumes  tally.Counter
	// violations counts streams that contained an invalid event.
	violations     tally.Counter
	aborted        tally.Counter
	crashes        tally.Counter
	judgeCalls     tally.Counter
	replayed       tally.Counter
	firstChunk     tally.Histogram
	activeRequests tally.Gauge
	configVersion  tally.Gauge
}

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		outcomes:   make(map[string]tally.Counter),
		attempts:   s.Counter("attempts"),
		retries:    s.Counter("retries"),
		hedges:     s.Counter("hedges"),
		resumes:    s.Counter("resumes"),
		violations: s.Counter("violations"),
		aborted:    s.Counter("aborted"),
		crashes:    s.Counter("crashes"),
		judgeCalls: s.Counter("judged"),
		replayed:   s.Counter("replayed"),
		firstChunk: s.Histogram("firstChunk",
			tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		activeRequests: s.Gauge("active"),
		configVersion:  s.Gauge("configVersion"),
	}
	for _, o := range []string{outcomeCompleted, outcomeNotRun, outcomeUnknown} {
		m.outcomes[o] = s.Tagged(map[string]string{"outcome": o}).Counter("requests")
	}
	return m
}

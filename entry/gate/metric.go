package gate

import (
	"time"

	tally "github.com/uber-go/tally/v4"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// metrics holds the counters, histograms and gauges of a Gate.
type metrics struct {
	requests  func(outcome string) tally.Counter
	attempts  func(outcome string) tally.Counter
	latency   tally.Histogram
	first     tally.Histogram
	syncsLost tally.Counter
	contact   tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	tagged := func(name string) func(outcome string) tally.Counter {
		return func(outcome string) tally.Counter {
			return scope.Tagged(map[string]string{"outcome": outcome}).Counter(name)
		}
	}
	return &metrics{
		requests: tagged("relayed"), attempts: tagged("relayAttempts"),
		latency: scope.Histogram("relayLatency", latencyBuckets),
		first:   scope.Histogram("relayFirstOutput", latencyBuckets), syncsLost: scope.Counter("reportsLost"),
		contact: scope.Gauge("controlContactAgeSeconds"),
	}
}

func (m *metrics) done(d *decision, took time.Duration) {
	m.requests(d.outcome).Inc(1)
	m.latency.RecordDuration(took)
}

func (m *metrics) attempt(res result)             { m.attempts(res.String()).Inc(1) }
func (m *metrics) firstOutput(took time.Duration) { m.first.RecordDuration(took) }

func (m *metrics) lost(contact time.Time) {
	m.syncsLost.Inc(1)
	m.contact.Update(time.Since(contact).Seconds())
}

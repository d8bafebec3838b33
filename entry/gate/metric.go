package gate

import (
	"time"

	tally "github.com/uber-go/tally/v4"

	"bulrushpath.example/lib/fair"
)

// latencyBuckets are the bucket bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 2, 14)

// metrics holds the counters, histograms and gauges of a Gateway.
type metrics struct {
	requests           func(outcome string) tally.Counter
	attempts           func(outcome string) tally.Counter
	admissions         func(outcome string) tally.Counter
	latency            tally.Histogram
	firstOutputLatency tally.Histogram
	reportsLost        tally.Counter
	// refusedKeys counts the requests with no key or an unknown one, unconfirmedKeys those that
	// were refused because the configuration was not confirmed.
	refusedKeys, unconfirmedKeys tally.Counter
	contactAge                   tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	tagged := func(name string) func(outcome string) tally.Counter {
		return func(outcome string) tally.Counter {
			return scope.Tagged(map[string]string{"outcome": outcome}).Counter(name)
		}
	}
	return &metrics{
		requests: tagged("relayed"), attempts: tagged("relayAttempts"), admissions: tagged("admissions"),
		latency:            scope.Histogram("relayLatency", latencyBuckets),
		firstOutputLatency: scope.Histogram("relayFirstOutput", latencyBuckets), reportsLost: scope.Counter("reportsLost"),
		contactAge:  scope.Gauge("controlContactAgeSeconds"),
		refusedKeys: scope.Counter("keysRefused"), unconfirmedKeys: scope.Counter("keysUnconfirmed"),
	}
}

func (m *metrics) recordRequest(d *requestRecord, took time.Duration) {
	m.requests(d.outcome).Inc(1)
	m.latency.RecordDuration(took)
}

func (m *metrics) recordFailedAttempt(res result)       { m.attempts(res.String()).Inc(1) }
func (m *metrics) recordFirstOutput(took time.Duration) { m.firstOutputLatency.RecordDuration(took) }

// recordAdmission counts a decision of lib/fair by its reason.
func (m *metrics) recordAdmission(r fair.Reason) { m.admissions(r.String()).Inc(1) }

func (m *metrics) recordLostReport(contactAge time.Duration) {
	m.reportsLost.Inc(1)
	m.contactAge.Update(contactAge.Seconds())
}

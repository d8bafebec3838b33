package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// demandHalfLife is the half-life of the last report of an entry instance without a
	// lease. Its clients meanwhile reconnect through other instances, which then report
	// their demand.
	demandHalfLife = 5 * time.Second
	// minReportWeight is the weight below which a report is discarded.
	minReportWeight = 0.01
)

// demandReport is the demand last reported by one entry instance.
type demandReport struct {
	at     time.Time
	models []*wire.Demand
}

// RecordDemand replaces the demand reported by the named entry instance.
func (t *Table) RecordDemand(now time.Time, name string, models []*wire.Demand) {
	t.reports[name] = demandReport{at: now, models: models}
}

// weight returns the weight of the report: 1 while the lease is valid, then decaying
// exponentially.
func (r demandReport) weight(now time.Time) float64 {
	expiredFor := now.Sub(r.at) - Lease
	if expiredFor <= 0 {
		return 1
	}
	return math.Exp2(-expiredFor.Seconds() / demandHalfLife.Seconds())
}

// Demand returns the demand of each model, summed over all entry instances and
// ordered by model.
func (t *Table) Demand(now time.Time) []*wire.Demand {
	names := make([]string, 0, len(t.reports))
	for name := range t.reports {
		names = append(names, name)
	}
	// A fixed order makes the floating-point sums deterministic.
	slices.Sort(names)
	sums := make(map[string]*wire.Demand)
	for _, name := range names {
		r := t.reports[name]
		w := r.weight(now)
		for _, d := range r.models {
			sum, ok := sums[d.GetModel()]
			if !ok {
				sum = &wire.Demand{Model: d.GetModel()}
				sums[d.GetModel()] = sum
			}
			sum.RequestsPerSecond += w * d.GetRequestsPerSecond()
			sum.UnservedPerSecond += w * d.GetUnservedPerSecond()
		}
	}
	out := make([]*wire.Demand, 0, len(sums))
	for _, d := range sums {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *wire.Demand) int { return cmp.Compare(a.GetModel(), b.GetModel()) })
	return out
}

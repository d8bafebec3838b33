package steer

import (
	"math"
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// demandHalfLife is the half-life of the reported rates.
	demandHalfLife = 1500 * time.Millisecond
	// outputTokenTime is the engine time that one output token takes from other requests.
	outputTokenTime = 150 * time.Microsecond
	// minReportedWork is the work, in engine seconds per second, below which a model is no
	// longer reported.
	minReportedWork = 0.0005
)

// Demand tracks the rate of arriving work per model, with exponential decay.
type Demand struct {
	models map[string]*arrivalRate
}

// arrivalRate is the demand for one model.
type arrivalRate struct {
	// work (engine seconds) and requests are rates per second as of at.
	work, requests float64
	at             time.Time
	// waiting is the number of requests that wait for the model to become resident.
	waiting int
}

// decayTo brings the rates up to date.
func (a *arrivalRate) decayTo(now time.Time) {
	d := decay(now.Sub(a.at), demandHalfLife)
	a.work, a.requests, a.at = a.work*d, a.requests*d, now
}

func (d *Demand) get(now time.Time, model string) *arrivalRate {
	if d.models == nil {
		d.models = make(map[string]*arrivalRate)
	}
	a := d.models[model]
	if a == nil {
		a = &arrivalRate{at: now}
		d.models[model] = a
	}
	a.decayTo(now)
	return a
}

// Add counts a request; miss is the number of prompt tokens to prefill.
func (d *Demand) Add(now time.Time, r *Request, miss int) {
	a := d.get(now, r.Model)
	rate := math.Ln2 / demandHalfLife.Seconds()
	a.work += rate * (float64(miss)/prefillTokensPerMilli/1000 + float64(r.OutputTokens)*outputTokenTime.Seconds())
	a.requests += rate
}

// AddWaiting adds n to the number of requests that wait for the model to become resident.
func (d *Demand) AddWaiting(now time.Time, model string, n int) { d.get(now, model).waiting += n }

// Report returns the current rates, sorted by model.
func (d *Demand) Report(now time.Time) []*wire.ModelDemand {
	var out []*wire.ModelDemand
	for name, a := range d.models {
		a.decayTo(now)
		if a.work < minReportedWork && a.waiting == 0 {
			delete(d.models, name)
			continue
		}
		out = append(out, &wire.ModelDemand{
			Model: name, WorkMicrosPerSecond: a.work * 1e6, RequestsPerSecond: a.requests,
			Waiting: uint32(max(a.waiting, 0)),
		})
	}
	slices.SortFunc(out, func(a, b *wire.ModelDemand) int { return strings.Compare(a.GetModel(), b.GetModel()) })
	return out
}

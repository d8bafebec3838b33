package steer

import (
	"math"
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// demandHalf is the half-life of the reported rates.
	demandHalf = 1500 * time.Millisecond
	// outputCost is the engine time that one output token takes from other requests.
	outputCost = 150 * time.Microsecond
	// demandForget is the work, in engine seconds per second, below which a model is no
	// longer reported.
	demandForget = 0.0005
)

// Demand tracks the rate of arriving work per model, with exponential decay.
type Demand struct {
	models map[string]*arrival
}

type arrival struct {
	// work (engine seconds) and requests are rates per second as of at.
	work, requests float64
	at             time.Time
	// waiting is the number of requests that wait for the model to become resident.
	waiting int
}

func (a *arrival) advance(now time.Time) {
	d := decay(now.Sub(a.at), demandHalf)
	a.work, a.requests, a.at = a.work*d, a.requests*d, now
}

func (d *Demand) get(now time.Time, model string) *arrival {
	if d.models == nil {
		d.models = make(map[string]*arrival)
	}
	a := d.models[model]
	if a == nil {
		a = &arrival{at: now}
		d.models[model] = a
	}
	a.advance(now)
	return a
}

// Add counts a request; miss is the number of prompt tokens to prefill.
func (d *Demand) Add(now time.Time, r *Request, miss int) {
	a := d.get(now, r.Model)
	rate := math.Ln2 / demandHalf.Seconds()
	a.work += rate * (float64(miss)/prefillPerMilli/1000 + float64(r.OutputTokens)*outputCost.Seconds())
	a.requests += rate
}

// Wait adds delta to the number of requests that wait for the model to become
// resident.
func (d *Demand) Wait(now time.Time, model string, delta int) { d.get(now, model).waiting += delta }

// Report returns the current rates, sorted by model.
func (d *Demand) Report(now time.Time) []*wire.ModelDemand {
	var out []*wire.ModelDemand
	for name, a := range d.models {
		a.advance(now)
		if a.work < demandForget && a.waiting == 0 {
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

package agent

import (
	"math"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// rateTimeConstant is the time constant of the exponentially decaying request rates.
	rateTimeConstant = 5 * time.Second
	// minDemandRate is the rate, in requests per second, below which a model is removed
	// from the table.
	minDemandRate = 0.01
	// maxDemandModels limits the size of the table, because callers can name any model.
	maxDemandModels = 512
)

// rate is an exponentially decaying rate per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) read(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTimeConstant.Seconds())
}

func (r *rate) add(now time.Time) {
	r.value = r.read(now) + 1/rateTimeConstant.Seconds()
	r.at = now
}

// demand tracks the request rates per model, which control uses for placement.
type demand struct {
	models map[string]*modelDemand
}

type modelDemand struct{ requested, unserved rate }

func newDemand() demand { return demand{models: make(map[string]*modelDemand)} }

func (d *demand) model(name string) *modelDemand {
	m, ok := d.models[name]
	if !ok && len(d.models) < maxDemandModels {
		m = new(modelDemand)
		d.models[name] = m
	}
	return m
}

func (d *demand) recordRequest(now time.Time, model string) {
	if m := d.model(model); m != nil && model != "" {
		m.requested.add(now)
	}
}

func (d *demand) recordUnserved(now time.Time, model string) {
	if m := d.model(model); m != nil && model != "" {
		m.unserved.add(now)
	}
}

func (d *demand) snapshot(now time.Time) []*wire.Demand {
	var out []*wire.Demand
	for name, m := range d.models {
		requested, unserved := m.requested.read(now), m.unserved.read(now)
		if requested < minDemandRate && unserved < minDemandRate {
			delete(d.models, name)
			continue
		}
		out = append(out, &wire.Demand{Model: name, RequestsPerSecond: requested, UnservedPerSecond: unserved})
	}
	return out
}

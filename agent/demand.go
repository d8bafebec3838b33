package agent

import (
	"math"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// demandWindow is the time constant of the exponentially decaying request rates.
	demandWindow = 5 * time.Second
	// demandFloor is the rate, in requests per second, below which a model is removed
	// from the table.
	demandFloor = 0.01
	// demandModels limits the size of the table, because callers can name any model.
	demandModels = 512
)

// rate is an exponentially decaying rate per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) read(now time.Time) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandWindow.Seconds())
}

func (r *rate) add(now time.Time) {
	r.value = r.read(now) + 1/demandWindow.Seconds()
	r.at = now
}

// demand tracks the request rates per model, which control uses for placement.
type demand struct {
	models map[string]*modelDemand
}

type modelDemand struct{ seen, lost rate }

func newDemand() demand { return demand{models: make(map[string]*modelDemand)} }

func (d *demand) model(name string) *modelDemand {
	m, ok := d.models[name]
	if !ok && len(d.models) < demandModels {
		m = new(modelDemand)
		d.models[name] = m
	}
	return m
}

func (d *demand) request(now time.Time, model string) {
	if m := d.model(model); m != nil && model != "" {
		m.seen.add(now)
	}
}

func (d *demand) unserved(now time.Time, model string) {
	if m := d.model(model); m != nil && model != "" {
		m.lost.add(now)
	}
}

func (d *demand) list(now time.Time) []*wire.Demand {
	var out []*wire.Demand
	for name, m := range d.models {
		seen, lost := m.seen.read(now), m.lost.read(now)
		if seen < demandFloor && lost < demandFloor {
			delete(d.models, name)
			continue
		}
		out = append(out, &wire.Demand{Model: name, RequestsPerSecond: seen, UnservedPerSecond: lost})
	}
	return out
}

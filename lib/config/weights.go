package config

import (
	"math"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/wire"
)

// WeightStore describes the throughput of the weight store.
type WeightStore struct {
	// LoadsPerSecond is the sustained load rate, such as 1.4.
	LoadsPerSecond float64 `ini:"loadsPerSecond"`
	// LoadsAtOnce is the number of concurrent loads that run at full speed.
	LoadsAtOnce uint32 `ini:"loadsAtOnce"`

	// declared holds the locations of all declarations; there must be exactly one.
	declared []Location
}

const maxLoadsPerSecond = 1000

func (w *WeightStore) parse(loc Location, out *check.List) {
	loc.sec.Decode(loc.path, w, out)
	w.declared = append(w.declared, loc)
}

func (w *WeightStore) validate(out *check.List) {
	if len(w.declared) == 0 {
		out.Add(check.Finding{
			Field:   "weightStore",
			Message: "no file declares it; want loadsPerSecond and loadsAtOnce in one file",
		})
		return
	}
	for _, loc := range w.declared[1:] {
		out.Add(loc.finding("", "already declared at %s", w.declared[0]))
	}
	loc := w.declared[0]
	if !(w.LoadsPerSecond >= 0.001 && w.LoadsPerSecond <= maxLoadsPerSecond) {
		out.Add(loc.finding("loadsPerSecond", "%v is not between 0.001 and %d", w.LoadsPerSecond, maxLoadsPerSecond))
	}
	if w.LoadsAtOnce == 0 {
		out.Add(loc.finding("loadsAtOnce", "want at least 1"))
	}
}

func (w *WeightStore) compile() *wire.WeightStore {
	return &wire.WeightStore{
		LoadsPerKilosecond: uint32(math.Round(w.LoadsPerSecond * 1000)),
		LoadsAtOnce:        w.LoadsAtOnce,
	}
}

package main

// weights models the weight store, in which concurrent loads share a limited throughput.
type weights struct {
	progress
	// active is the number of loads in progress; up to atOnce of them run at full speed.
	active, atOnce int
	// full is the duration in seconds of a load at full speed, for a model of typical
	// size, which is the mean size in bytes.
	full, typical float64
}

func newWeights(ev *events, s *site) *weights {
	w := &weights{atOnce: max(1, int(s.cfg.WeightStore.LoadsAtOnce))}
	rate := float64(s.cfg.WeightStore.LoadsPerKilosecond) / 1000
	w.full = float64(w.atOnce) / rate
	for _, m := range s.cfg.Models {
		w.typical += float64(m.Bytes) / float64(len(s.cfg.Models))
	}
	w.progress = progress{ev: ev, rate: func() float64 {
		return min(1, float64(w.atOnce)/float64(max(w.active, 1)))
	}}
	return w
}

// load starts a load of the given size and calls done when it completes.
func (w *weights) load(bytes uint64, done func()) {
	w.advance()
	w.active++
	w.add(w.full*float64(bytes)/w.typical, func() {
		w.active--
		done()
	})
	w.changed()
}

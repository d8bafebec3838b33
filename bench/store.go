package main

// weightStore models the weight store, in which concurrent loads share a limited throughput.
type weightStore struct {
	sharedResource
	// active is the number of loads in progress. They run at full speed while it is at most
	// concurrency, and at a proportionally lower one beyond that.
	active, concurrency int
	// loadSeconds is the duration of a load at full speed, for a model of meanBytes, the
	// mean size of the models.
	loadSeconds, meanBytes float64
}

func newWeightStore(ev *eventQueue, d *deployment) *weightStore {
	w := &weightStore{concurrency: max(1, int(d.cfg.WeightStore.LoadsAtOnce))}
	rate := float64(d.cfg.WeightStore.LoadsPerKilosecond) / 1000
	w.loadSeconds = float64(w.concurrency) / rate
	for _, m := range d.cfg.Models {
		w.meanBytes += float64(m.Bytes) / float64(len(d.cfg.Models))
	}
	w.sharedResource = sharedResource{ev: ev, rate: func() float64 {
		return min(1, float64(w.concurrency)/float64(max(w.active, 1)))
	}}
	return w
}

// load starts a load of the given size and calls done when it completes.
func (w *weightStore) load(bytes uint64, done func()) {
	w.advance()
	w.active++
	w.add(w.loadSeconds*float64(bytes)/w.meanBytes, func() {
		w.active--
		done()
	})
	w.reschedule()
}

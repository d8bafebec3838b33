package admit

import (
	"math"
	"slices"
	"time"
)

const (
	// ewmaMinWeight is the weight of a new sample in an average of many.
	ewmaMinWeight = 0.1
	// minSizeSamples is the number of samples from which the history of request sizes
	// takes precedence over the declared maximum.
	minSizeSamples = 8
	// bytesPerToken converts the length of a prompt to tokens; prefillPerToken is the
	// number of prompt tokens that cost as much as one generated token.
	bytesPerToken, prefillPerToken = 4, 16
	// minRemainingShare is the least remaining time expected of a running request, as a
	// share of the mean service time.
	minRemainingShare = 0.25
	// maxModels bounds the models in the history, since requests may name any model.
	// The history is cleared when it is full.
	maxModels = 1024
)

// ewma is an exponentially weighted moving average with its mean absolute deviation.
type ewma struct {
	n          int
	value, dev float64
}

func (m *ewma) add(x float64) {
	m.n++
	// The first samples have equal weights, so that the zero start value has no effect.
	w := max(ewmaMinWeight, 1/float64(m.n))
	m.dev += w * (math.Abs(x-m.value) - m.dev)
	m.value += w * (x - m.value)
	if m.n == 1 {
		m.dev = x / 2
	}
}

// modelHistory is the history of one model.
type modelHistory struct {
	// service holds the service times in seconds, by class.
	service [classes]ewma
	// tokens holds the numbers of generated tokens, by the class of the declared
	// maximum.
	tokens [classes]ewma
}

// history holds service times and sizes per model.
type history struct {
	models map[string]*modelHistory
	// allModels covers all models. It is the fallback for models without samples.
	allModels modelHistory
}

func newHistory() history { return history{models: make(map[string]*modelHistory)} }

// declaredClass returns the size class by the declared maximum and the prompt alone.
func declaredClass(r Request, shortMax uint32) Class {
	if uint64(r.MaxTokens)+uint64(prefillCost(r)) > uint64(shortMax) {
		return Long
	}
	return Short
}

// prefillCost returns the cost of the prompt in generated tokens.
func prefillCost(r Request) uint32 {
	return uint32(min(r.PromptBytes/bytesPerToken/prefillPerToken, math.MaxInt32))
}

// class estimates the size class of a request. Callers often declare a maximum far
// above what they use, so the sizes of earlier requests with the same declared
// class take precedence.
func (h *history) class(r Request, shortMax uint32) Class {
	d := declaredClass(r, shortMax)
	mh := h.models[r.Model]
	if mh == nil || mh.tokens[d].n < minSizeSamples {
		return d
	}
	size := mh.tokens[d].value + 2*mh.tokens[d].dev
	if r.MaxTokens > 0 {
		size = min(size, float64(r.MaxTokens))
	}
	if size+float64(prefillCost(r)) > float64(shortMax) {
		return Long
	}
	return Short
}

func (h *history) add(r Request, c Class, shortMax, tokens uint32, took time.Duration) {
	mh := h.models[r.Model]
	if mh == nil {
		if len(h.models) >= maxModels {
			clear(h.models)
		}
		mh = new(modelHistory)
		h.models[r.Model] = mh
	}
	mh.service[c].add(took.Seconds())
	h.allModels.service[c].add(took.Seconds())
	if tokens > 0 {
		mh.tokens[declaredClass(r, shortMax)].add(float64(tokens))
	}
}

// service returns the expected service time. Without samples it is 0, so that no
// request is refused by a guess.
func (h *history) service(model string, c Class) time.Duration {
	m := &h.allModels.service[c]
	if mh := h.models[model]; mh != nil && mh.service[c].n > 0 {
		m = &mh.service[c]
	}
	return time.Duration(m.value * float64(time.Second))
}

// estimateWait estimates how long w would wait. It simulates the running requests and
// the queue ahead of w, each with its expected service time.
func (a *Admission) estimateWait(now time.Time, w *work) time.Duration {
	slow := a.slowdown(now)
	slots := make([]time.Duration, a.cfg.Slots)
	long := make([]time.Duration, a.cfg.longLimit(false))
	borrowed := make([]time.Duration, a.cfg.borrowLimit())
	var drained time.Duration
	for _, r := range a.requests {
		if !r.running {
			continue
		}
		remaining := scale(a.remaining(now, r), slow)
		drained = max(drained, remaining)
		if a.exclusive == r {
			occupyAll(slots, remaining)
			continue
		}
		occupy(slots, 0, remaining)
		if r.class == Long {
			occupy(long, 0, remaining)
		}
		if r.borrowed {
			occupy(borrowed, 0, remaining)
		}
	}
	for _, queued := range a.queue {
		if queued == w || !a.ahead(now, queued, w) {
			continue
		}
		at := earliestStart(queued, slots, long, borrowed)
		end := at + scale(a.history.service(queued.Model, queued.class), slow)
		drained = max(drained, end)
		if queued.Exclusive {
			occupyAll(slots, drained)
			continue
		}
		occupy(slots, at, end)
		if queued.class == Long {
			occupy(long, at, end)
		}
		if queued.borrowed {
			occupy(borrowed, at, end)
		}
	}
	if w.Exclusive {
		return drained
	}
	return earliestStart(w, slots, long, borrowed)
}

// ahead reports whether q is before w in the order of the queue.
func (a *Admission) ahead(now time.Time, q, w *work) bool {
	rq, rw := a.agedPriority(now, q), a.agedPriority(now, w)
	return rq > rw || rq == rw && q.Deadline.Before(w.Deadline)
}

// remaining returns the expected remaining time of a running request.
func (a *Admission) remaining(now time.Time, w *work) time.Duration {
	service := a.history.service(w.Model, w.class)
	return max(service-now.Sub(w.started), scale(service, minRemainingShare))
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

// earliestStart returns the earliest time at which a slot is free for w under every
// limit that applies to it.
func earliestStart(w *work, slots, long, borrowed []time.Duration) time.Duration {
	at := slices.Min(slots)
	if w.class == Long {
		at = max(at, slices.Min(long))
	}
	if w.borrowed && len(borrowed) > 0 {
		at = max(at, slices.Min(borrowed))
	}
	return at
}

// occupy assigns a request that runs from at to end to a slot. It takes the slot that
// becomes free last before at: a request that waits for another limit would
// otherwise occupy a slot that others can use until then.
func occupy(slots []time.Duration, at, end time.Duration) {
	if len(slots) == 0 {
		return
	}
	best := -1
	for i, t := range slots {
		if t <= at && (best < 0 || t > slots[best]) {
			best = i
		}
	}
	if best < 0 {
		best = slices.Index(slots, slices.Min(slots))
	}
	slots[best] = max(slots[best], end)
}

func occupyAll(slots []time.Duration, end time.Duration) {
	for i := range slots {
		slots[i] = max(slots[i], end)
	}
}

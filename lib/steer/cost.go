package steer

import "time"

const (
	// prefillPerMilli is the assumed prefill rate of an engine, in prompt tokens per
	// millisecond. The observed slowdown of a target scales the resulting estimate.
	prefillPerMilli = 40.0
	// plainCost is the delay that each running request adds to a new one at a plain
	// service.
	plainCost = 10 * time.Millisecond
	// runningCost is the delay that each running request adds to a new one at an engine.
	runningCost = 500 * time.Microsecond
	// priorShare is the share of a prompt's shared prefix that the target preferred by
	// rendezvous hashing is assumed to have cached, because other entry instances send
	// such prompts there too.
	priorShare = 0.5
	// minCopy is the number of tokens below which copying a cached prompt does not pay
	// off, and copyMillis the setup time of a copy.
	minCopy    = 1000
	copyMillis = 5.0
	// adapterCost is the expected time to fetch an adapter that the target lacks.
	adapterCost = 30 * time.Millisecond
	// zoneCost is the penalty for a target in another zone.
	zoneCost = 2 * time.Millisecond
	// orderedCost is the penalty for a missing adapter while the target has a model
	// order in progress: it can't fetch adapters until the order ends.
	orderedCost = 3 * time.Second
	// connCost is the penalty for having to open a new connection.
	connCost = 10 * time.Millisecond
	// fullCost is the penalty for a target whose slots or memory are exhausted.
	fullCost = 2 * time.Second
	// errorCost is multiplied by the share of recent requests that failed.
	errorCost = 3 * time.Second
	// longPrompt is the number of tokens to prefill at which a prompt delays the
	// concurrent streams fully, and streamCost the penalty per running request.
	// Shorter prompts cost proportionally less.
	longPrompt = 3000.0
	streamCost = 25 * time.Millisecond
	// slowStreamCost is the additional penalty per running request at a target that is
	// currently slow: there a long prompt delays each stream by more than its client
	// accepts.
	slowStreamCost = 100 * time.Millisecond
	// busyCost is the penalty for a short prompt at a target that is prefilling other
	// prompts all the time: its stream would stall during each of them.
	busyCost = 1600 * time.Millisecond
)

// estimate returns the expected cost of the request at the target.
func (t *Target) estimate(now time.Time, s Site, r *Request, chain []uint64, src source) Choice {
	c := Choice{Target: t}
	running := t.Own.Running + t.Others.Running
	base, cost := 0.0, 0.0
	if r.Model == "" {
		base = float64(running) * float64(plainCost)
	} else {
		base, cost = t.engineTime(now, s, r, chain, src, &c)
	}
	failing, slow := t.trouble(now)
	wait := base * max(slow, t.pace.now(now))
	if t.Slots > 0 && running >= t.Slots {
		wait += float64(fullCost) * float64(running-t.Slots+1) / float64(t.Slots)
	}
	cost += failing * float64(errorCost)
	if s.Idle != nil && !s.Idle(t) {
		cost += float64(connCost)
	}
	if t.Zone != s.Zone {
		cost += float64(zoneCost)
	}
	c.Base, c.Wait = time.Duration(max(base, 0)), time.Duration(max(wait, 0))
	c.cost = max(wait, 0) + cost
	return c
}

// engineTime returns the expected time to the first output at an engine, without the
// observed slowdown, and the penalties in nanoseconds: for the delay of other requests,
// for adapters that can't be fetched and for exhausted memory.
func (t *Target) engineTime(now time.Time, s Site, r *Request, chain []uint64, src source, c *Choice) (base, cost float64) {
	running := float64(t.Own.Running + t.Others.Running)
	pending := float64(t.Own.PromptTokens + t.Others.PromptTokens)
	base = (t.plan(s, r, chain, src, c) + pending/prefillPerMilli) * float64(time.Millisecond)
	base += running * float64(runningCost)
	long := min(float64(c.MissTokens)/longPrompt, 1)
	slow := (t.pace.now(now) - 1) / (paceMax - 1)
	cost = long * running * (float64(streamCost) + slow*float64(slowStreamCost))
	busy := min((t.promptRate(now)+t.Others.PromptRate)/(prefillPerMilli*1000), 1)
	cost += (1 - long) * busy * float64(busyCost)
	if r.Adapter != "" && !t.Models[r.Model].Adapters[r.Adapter] {
		c.NeedsAdapter = true
		base += float64(adapterCost)
		if t.Ordered {
			cost += float64(orderedCost)
		}
	}
	used := t.Own.MemoryTokens + t.Others.MemoryTokens + c.MissTokens + r.OutputTokens
	if s.KVTokens > 0 && used > s.KVTokens*9/10 {
		cost += float64(fullCost)
	}
	return base, cost
}

// plan decides which part of the prompt the target prefills and which part it copies
// from another target, and returns the expected time of both in milliseconds.
func (t *Target) plan(s Site, r *Request, chain []uint64, src source, c *Choice) float64 {
	hit := t.cache.hit(r, chain)
	c.MissTokens = max(r.PromptTokens-hit, 0)
	from, tokens := src.holder, src.hit-hit
	if from == nil && src.first != t {
		from, tokens = src.first, int(priorShare*float64(sharedTokens(r)))
	}
	read := float64(c.MissTokens) / prefillPerMilli
	if t == src.first && hit == 0 {
		read -= priorShare * float64(sharedTokens(r)) / prefillPerMilli
	}
	if from == nil || from == t || tokens < minCopy || s.CopyRate <= 0 {
		return read
	}
	rate := s.CopyRate
	if from.Zone != t.Zone {
		rate /= 2
	}
	copied := float64(tokens)/rate + copyMillis
	if copied >= float64(tokens)/prefillPerMilli {
		return read
	}
	c.Source = from
	c.MissTokens -= tokens
	return read - float64(tokens)/prefillPerMilli + copied
}

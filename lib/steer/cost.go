package steer

import "time"

const (
	// prefillTokensPerMilli is the assumed prefill rate of an engine, in prompt tokens per
	// millisecond. The observed slowdown of a target scales the resulting estimate.
	prefillTokensPerMilli = 40.0
	// plainRequestDelay is the delay that each running request adds to a new one at a plain
	// service.
	plainRequestDelay = 10 * time.Millisecond
	// engineRequestDelay is the same for an engine.
	engineRequestDelay = 500 * time.Microsecond
	// assumedHitShare is the share of a prompt's shared prefix that the target preferred by
	// rendezvous hashing is assumed to have cached, because other entry instances send
	// such prompts there too.
	assumedHitShare = 0.5
	// minCopyTokens is the number of tokens below which copying a cached prompt doesn't pay
	// off, and copySetupMillis the setup time of a copy.
	minCopyTokens   = 1000
	copySetupMillis = 5.0
	// adapterFetchTime is the expected time to fetch an adapter that the target lacks.
	adapterFetchTime = 30 * time.Millisecond
	// crossZonePenalty is the penalty for a target in another zone.
	crossZonePenalty = 2 * time.Millisecond
	// adapterBlockedPenalty is the penalty for a missing adapter while the target has a model
	// order in progress: it can't fetch adapters until the order ends.
	adapterBlockedPenalty = 3 * time.Second
	// newConnPenalty is the penalty for having to open a new connection.
	newConnPenalty = 10 * time.Millisecond
	// saturationPenalty is the penalty for a target whose key-value memory would be more than
	// 90% full. If a request would exceed the slots of a target, its expected wait increases
	// by this penalty times the ratio of the excess requests to the slots.
	saturationPenalty = 2 * time.Second
	// errorPenalty is multiplied by the share of recent requests that failed.
	errorPenalty = 3 * time.Second
	// longPromptTokens is the number of tokens to prefill at which a prompt delays the
	// concurrent streams fully, and prefillDelayPenalty the penalty per running request.
	// Shorter prompts cost proportionally less.
	longPromptTokens    = 3000.0
	prefillDelayPenalty = 25 * time.Millisecond
	// slowPrefillPenalty is the additional penalty per running request at a target that is
	// currently slow: there a long prompt delays each stream by more than its client
	// accepts.
	slowPrefillPenalty = 100 * time.Millisecond
	// prefillWaitPenalty is the penalty for a short prompt at a target that is prefilling other
	// prompts all the time: its stream would stall during each of them.
	prefillWaitPenalty = 1600 * time.Millisecond
)

// estimate returns the choice of the target with its expected times and cost.
func (t *Target) estimate(now time.Time, s Selection, r *Request, keys []uint64, src cacheSource) Choice {
	c := Choice{Target: t}
	running := t.Own.Running + t.Others.Running
	base, cost := 0.0, 0.0
	if r.Model == "" {
		base = float64(running) * float64(plainRequestDelay)
	} else {
		base, cost = t.engineEstimate(now, s, r, keys, src, &c)
	}
	errorRate, _ := t.Health(now)
	wait := base*t.currentSlowdown(now) + t.slotWait(running)
	if t.Limit > 0 {
		wait += float64(max(t.FreeAt.Sub(now), 0))
	}
	cost += errorRate * float64(errorPenalty)
	if s.Idle != nil && !s.Idle(t) {
		cost += float64(newConnPenalty)
	}
	if t.Zone != s.Zone {
		cost += float64(crossZonePenalty)
	}
	c.Base, c.Wait = time.Duration(max(base, 0)), time.Duration(max(wait, 0))
	c.cost = max(wait, 0) + cost
	return c
}

// currentSlowdown returns the ratio of the time that the target needs now to its usual one.
func (t *Target) currentSlowdown(now time.Time) float64 {
	_, slowdown := t.Health(now)
	return max(slowdown, t.gaps.slowdown(now))
}

// slotWait returns the expected wait for a free slot, in nanoseconds.
func (t *Target) slotWait(running int) float64 {
	if t.Slots <= 0 || running < t.Slots {
		return 0
	}
	return float64(saturationPenalty) * float64(running-t.Slots+1) / float64(t.Slots)
}

// Backlog returns the part of the expected wait at an engine that is due to the requests in
// progress there.
func (t *Target) Backlog(now time.Time) time.Duration {
	running := t.Own.Running + t.Others.Running
	pending := float64(t.Own.PromptTokens+t.Others.PromptTokens) / prefillTokensPerMilli * float64(time.Millisecond)
	return time.Duration(max(pending*t.currentSlowdown(now)+t.slotWait(running), 0))
}

// WorkTime returns the time of an engine that a request needs; miss is the number of prompt
// tokens to prefill.
func WorkTime(r *Request, miss int) time.Duration {
	prefill := float64(miss) / prefillTokensPerMilli * float64(time.Millisecond)
	return time.Duration(prefill + float64(r.OutputTokens)*float64(outputTokenTime))
}

// engineEstimate returns the expected time to the first output at an engine, without the
// observed slowdown, and the penalties in nanoseconds: for the delays that prefills cause
// to concurrent streams, for adapters that can't be fetched and for exhausted memory.
func (t *Target) engineEstimate(now time.Time, s Selection, r *Request, keys []uint64, src cacheSource, c *Choice) (base, cost float64) {
	running := float64(t.Own.Running + t.Others.Running)
	pending := float64(t.Own.PromptTokens + t.Others.PromptTokens)
	base = (t.planPrefill(s, r, keys, src, c) + pending/prefillTokensPerMilli) * float64(time.Millisecond)
	base += running * float64(engineRequestDelay)
	long := min(float64(c.PrefillTokens)/longPromptTokens, 1)
	slow := (t.gaps.slowdown(now) - 1) / (maxSlowdown - 1)
	cost = long * running * (float64(prefillDelayPenalty) + slow*float64(slowPrefillPenalty))
	busy := min((t.promptRate(now)+t.Others.PromptRate)/(prefillTokensPerMilli*1000), 1)
	cost += (1 - long) * busy * float64(prefillWaitPenalty)
	if r.Adapter != "" && !t.Models[r.Model].Adapters[r.Adapter] {
		c.NeedsAdapter = true
		base += float64(adapterFetchTime)
		if t.OrderInProgress {
			cost += float64(adapterBlockedPenalty)
		}
	}
	used := t.Own.MemoryTokens + t.Others.MemoryTokens + c.PrefillTokens + r.OutputTokens
	if s.KVTokens > 0 && used > s.KVTokens*9/10 {
		cost += float64(saturationPenalty)
	}
	return base, cost
}

// planPrefill decides which part of the prompt the target prefills and which part it copies
// from another target, and returns the expected time of both in milliseconds. The target
// preferred by rendezvous hashing is assumed to have cached assumedHitShare of the shared
// prefix if no cached prefix is known there.
func (t *Target) planPrefill(s Selection, r *Request, keys []uint64, src cacheSource, c *Choice) float64 {
	hit := t.cache.hitTokens(r, keys)
	c.PrefillTokens = max(r.PromptTokens-hit, 0)
	from, tokens := src.holder, src.hitTokens-hit
	if from == nil && src.preferred != t {
		from, tokens = src.preferred, int(assumedHitShare*float64(sharedPrefixTokens(r)))
	}
	prefillTime := float64(c.PrefillTokens) / prefillTokensPerMilli
	if t == src.preferred && hit == 0 {
		prefillTime -= assumedHitShare * float64(sharedPrefixTokens(r)) / prefillTokensPerMilli
	}
	if from == nil || from == t || tokens < minCopyTokens || s.CopyRate <= 0 {
		return prefillTime
	}
	rate := s.CopyRate
	if from.Zone != t.Zone {
		rate /= 2
	}
	copyTime := float64(tokens)/rate + copySetupMillis
	if copyTime >= float64(tokens)/prefillTokensPerMilli {
		return prefillTime
	}
	c.CopyFrom = from
	c.PrefillTokens -= tokens
	return prefillTime - float64(tokens)/prefillTokensPerMilli + copyTime
}

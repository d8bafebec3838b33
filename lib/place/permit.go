package place

import "time"

const (
	// permitTTL is how long a load may take before it is abandoned.
	permitTTL = 60 * time.Second
	// retryBackoff is how long an abandoned load is not retried at the same target.
	retryBackoff = 5 * time.Minute
	// maxBurst is the capacity of the token bucket, in loads.
	maxBurst = 2
)

// permitLimiter limits the rate and the concurrency of loads from the weight store.
type permitLimiter struct {
	// tokens never exceeds maxBurst. It starts at 0, because a new leader does not know
	// how many loads its predecessor has just started.
	tokens     float64
	lastRefill time.Time
	// active maps each load in progress to the expiry time of its permit.
	active map[load]time.Time
	// backoff maps an abandoned load to the time until which it is not retried.
	backoff map[load]time.Time
}

// load identifies the load of one artifact at one target.
type load struct {
	target string
	key    Key
}

func newPermitLimiter() permitLimiter {
	return permitLimiter{active: make(map[load]time.Time), backoff: make(map[load]time.Time)}
}

// refill adds the tokens for the time since the last call and deletes backoffs that
// have ended.
func (p *permitLimiter) refill(now time.Time, perSecond float64) {
	if !p.lastRefill.IsZero() && now.After(p.lastRefill) {
		p.tokens = min(maxBurst, p.tokens+now.Sub(p.lastRefill).Seconds()*perSecond)
	}
	p.lastRefill = now
	for l, until := range p.backoff {
		if now.After(until) {
			delete(p.backoff, l)
		}
	}
}

// acquire takes a permit for l. It reports false if the rate limit or the limit on
// concurrent loads does not allow it.
func (p *permitLimiter) acquire(now time.Time, l load, maxConcurrent int) bool {
	if p.tokens < 1 || len(p.active) >= maxConcurrent {
		return false
	}
	p.tokens--
	p.active[l] = now.Add(permitTTL)
	return true
}

// available reports whether acquire would succeed.
func (p *permitLimiter) available(maxConcurrent int) bool {
	return p.tokens >= 1 && len(p.active) < maxConcurrent
}

// adopt adds a permit for a load in progress that an earlier leader started.
func (p *permitLimiter) adopt(now time.Time, l load) {
	if _, ok := p.active[l]; !ok {
		p.active[l] = now.Add(permitTTL)
	}
}

// release gives back the permit of a load that has finished or was abandoned.
func (p *permitLimiter) release(l load) { delete(p.active, l) }

// expire releases the permits that have expired and returns their loads, which are
// not retried until their backoff ends.
func (p *permitLimiter) expire(now time.Time) []load {
	var out []load
	for l, until := range p.active {
		if now.After(until) {
			out = append(out, l)
			delete(p.active, l)
			p.backoff[l] = now.Add(retryBackoff)
		}
	}
	return out
}

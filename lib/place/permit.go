package place

import "time"

const (
	// permitLife is how long a load may take before it is abandoned.
	permitLife = 60 * time.Second
	// retryAfter is how long an abandoned load is not retried at the same target.
	retryAfter = 5 * time.Minute
	// maxBurst is the capacity of the token bucket, in loads.
	maxBurst = 2
)

// permits limits the rate and the concurrency of loads from the weight store.
type permits struct {
	// tokens never exceeds maxBurst. It starts at 0, because a new leader does not know
	// how many loads its predecessor has just started.
	tokens float64
	last   time.Time
	// held maps each load in progress to the expiry time of its permit.
	held map[load]time.Time
	// banned maps an abandoned load to the time until which it is not retried.
	banned map[load]time.Time
}

// load identifies the load of one artifact at one target.
type load struct {
	target string
	key    Key
}

func newPermits() permits {
	return permits{held: make(map[load]time.Time), banned: make(map[load]time.Time)}
}

// refill adds the tokens for the time since the last call and removes expired bans.
func (p *permits) refill(now time.Time, perSecond float64) {
	if !p.last.IsZero() && now.After(p.last) {
		p.tokens = min(maxBurst, p.tokens+now.Sub(p.last).Seconds()*perSecond)
	}
	p.last = now
	for l, until := range p.banned {
		if now.After(until) {
			delete(p.banned, l)
		}
	}
}

// take acquires a permit for l. It reports false if the rate limit or the limit of
// atOnce concurrent loads does not allow it.
func (p *permits) take(now time.Time, l load, atOnce int) bool {
	if p.tokens < 1 || len(p.held) >= atOnce {
		return false
	}
	p.tokens--
	p.held[l] = now.Add(permitLife)
	return true
}

// available reports whether take would succeed.
func (p *permits) available(atOnce int) bool {
	return p.tokens >= 1 && len(p.held) < atOnce
}

// adopt adds a permit for a load in progress that an earlier leader started.
func (p *permits) adopt(now time.Time, l load) {
	if _, ok := p.held[l]; !ok {
		p.held[l] = now.Add(permitLife)
	}
}

// done releases the permit of a load that has finished or was abandoned.
func (p *permits) done(l load) { delete(p.held, l) }

// expired releases the permits that have expired, bans their loads, and returns them.
func (p *permits) expired(now time.Time) []load {
	var out []load
	for l, until := range p.held {
		if now.After(until) {
			out = append(out, l)
			delete(p.held, l)
			p.banned[l] = now.Add(retryAfter)
		}
	}
	return out
}

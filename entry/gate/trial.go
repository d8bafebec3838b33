package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"bulrushpath.example/lib/poison"
)

const (
	// trialWait is how long a request with a suspect part of its prompt waits for a trial.
	trialWait = 500 * time.Millisecond
	// trialRetryAfter is the Retry-After of a request that got no trial.
	trialRetryAfter = 2 * time.Second
)

// errSuspectPart is the cause of a cancelled attempt.
var errSuspectPart = errors.New("cancelled: targets were lost with a part of this prompt")

// cancelCause returns errSuspectPart if the attempt was cancelled for that, and err otherwise.
func cancelCause(attemptCtx context.Context, err error) error {
	if errors.Is(context.Cause(attemptCtx), errSuspectPart) {
		return errSuspectPart
	}
	return err
}

// awaitTrial waits until the request may be sent although a part of its prompt is a suspect:
// until the part is cleared, or control allows this instance one request with it. Without the
// permission of control, the requests with a part that crashes targets would take all copies of
// a model at once.
func (c *call) awaitTrial(ctx context.Context) *failure {
	g := c.gateway
	for end := time.Now().Add(trialWait); ; {
		g.mu.Lock()
		ready := c.takeTrial(time.Now())
		changed := g.tableChanged
		g.mu.Unlock()
		if ready {
			return nil
		}
		wait := time.Until(end)
		if wait <= 0 || ctx.Err() != nil {
			if c.incompleteAttempts > 0 || c.headerSent {
				return &failure{status: http.StatusBadGateway, reason: "answer incomplete, and targets were lost with a part of this prompt"}
			}
			return &failure{
				status: http.StatusServiceUnavailable, reason: "targets were lost with a part of this prompt, and another request tries it",
				retryAfter: trialRetryAfter + rand.N(trialRetryAfter),
			}
		}
		g.triggerReport()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// takeTrial reports whether no part of the prompt is a suspect, or this instance may try all of
// those that are; the trials are used up then. Otherwise the next report asks for them. The
// caller holds mu.
func (c *call) takeTrial(now time.Time) bool {
	s := &c.gateway.suspects
	if len(s.parts) == 0 || c.onTrial {
		return true
	}
	var suspect []poison.Fingerprint
	ready := true
	for fp := range c.parts.all() {
		v, found := s.parts[fp]
		if !found || v.blocked || now.After(v.until) {
			continue
		}
		suspect = append(suspect, fp)
		ready = ready && v.trial
	}
	for _, fp := range suspect {
		v := s.parts[fp]
		switch {
		case ready:
			v.trial = false
			s.parts[fp] = v
		case !v.trial:
			if s.wanted == nil {
				s.wanted = make(map[poison.Fingerprint]bool)
			}
			s.wanted[fp] = true
		}
	}
	c.onTrial = ready && len(suspect) > 0
	return ready
}

// startAttempt returns the context of an attempt, and a function that ends it. While a part of the
// prompt may crash the target, cancelRunning can cancel the attempt.
func (c *call) startAttempt(ctx context.Context) (attemptCtx context.Context, end func()) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	g := c.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.onTrial && c.hasUnclearedParts() {
		if g.suspects.running == nil {
			g.suspects.running = make(map[*call]context.CancelCauseFunc)
		}
		g.suspects.running[c] = cancel
	}
	return attemptCtx, func() {
		g.mu.Lock()
		delete(g.suspects.running, c)
		g.mu.Unlock()
		cancel(nil)
	}
}

// cancelRunning cancels the attempts with suspect parts that have no output yet, and returns
// their number. They were sent before the parts became suspects, wait at their targets, and
// would crash one after the other. The caller holds Gateway.mu.
func (s *suspects) cancelRunning() (n int) {
	for c, cancel := range s.running {
		for fp := range c.parts.all() {
			if _, suspect := s.parts[fp]; suspect && !s.cleared.Has(fp) {
				cancel(errSuspectPart)
				delete(s.running, c)
				n++
				break
			}
		}
	}
	return n
}

// takeWanted returns the suspect parts that a report asks trials for. The caller holds
// Gateway.mu.
func (s *suspects) takeWanted() (out [][]byte) {
	for fp := range s.wanted {
		if len(out) < maxLost {
			out = append(out, fp[:])
		}
	}
	clear(s.wanted)
	return out
}

package gate

import (
	"math/rand/v2"
	"net/http"
	"time"

	"bulrushpath.example/lib/relay"
)

// retryAfterHeader is how long a target wants no request after a refusal, in seconds.
const retryAfterHeader = "Retry-After"

// observeNotices records what the answer of a target says about the target itself.
func (g *Gateway) observeNotices(dest destination, answer *relay.Response) {
	leaving := g.headers.Leaving != "" && answer.Header.Get(g.headers.Leaving) == "1"
	pause := ""
	if answer.Status == http.StatusServiceUnavailable {
		pause = answer.Header.Get(retryAfterHeader)
	}
	if !leaving && pause == "" {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if leaving && g.notices.Leave(now, dest.ID, dest.startedAt) {
		g.log.Info().Str("event", "targetSaysLeaving").Str("target", dest.ID).Msg("")
	}
	if pause != "" {
		if err := g.notices.Pause(now, dest.ID, dest.startedAt, pause); err != nil {
			g.log.Warn().Str("event", "pauseUnusable").Str("target", dest.ID).Err(err).Msg("")
		}
	}
	if t := g.fleet.targets[dest.ID]; t != nil {
		g.notices.Apply(t)
	}
}

// applyNotices copies the notices to the targets of a new table. The caller holds mu.
func (g *Gateway) applyNotices(now time.Time) {
	g.notices.Retain(now, func(id string) bool { return g.fleet.targets[id] != nil })
	for _, t := range g.fleet.targets {
		g.notices.Apply(t)
	}
}

// pauseFailure refuses a request all of whose targets have asked for a pause. Retry-After names
// the end of the first pause, with a random part, so that refused clients do not return
// together.
func (c *call) pauseFailure(now time.Time) *failure {
	if c.incompleteAttempts > 0 || c.headerSent {
		return &failure{status: http.StatusBadGateway, reason: "answer incomplete and all other targets are paused"}
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: "all targets have asked for a pause",
		retryAfter: c.resumesAt.Sub(now) + rand.N(defaultRetryAfter),
	}
}

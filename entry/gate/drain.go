package gate

import (
	"context"
	"net/http"
	"time"

	"bulrushpath.example/lib/site"
)

// stopReason is the reason of requests that end because this instance stops.
const stopReason = "shutting down"

// Drain makes the instance unready. It still serves requests that arrive, except those that may
// last beyond end: streams, and requests with a later deadline. Requests that wait for a target
// are refused likewise. At end, the requests still in progress are answered: as not run where that
// is certain. Only streams that have begun are cut.
func (g *Gateway) Drain(end time.Time) {
	g.drainEnd.Store(&end)
	time.AfterFunc(time.Until(end), g.stopRequests)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyTableChange()
}

// requestContext returns the context of a request with the given deadline, which also ends when
// Drain ends the requests in progress.
func (g *Gateway) requestContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	stop := context.AfterFunc(g.stopped, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// checkDraining returns a failure if the instance is draining, the request has not been sent to a
// target, and it may last too long.
func (c *call) checkDraining() *failure {
	end := c.gateway.drainEnd.Load()
	if end == nil || c.attempts > 0 || c.headerSent {
		return nil
	}
	if c.route.Kind != site.Stream && c.deadline.Before(*end) {
		return nil
	}
	return c.stopFailure()
}

// stopFailure is the failure of a request that ends because this instance stops.
func (c *call) stopFailure() *failure {
	if c.incompleteAttempts > 0 || c.headerSent || c.attempts > 0 {
		return &failure{status: http.StatusBadGateway, reason: stopReason + ", answer incomplete"}
	}
	return &failure{status: http.StatusServiceUnavailable, reason: stopReason, retryAfter: drainRetryAfter}
}

// readBody reads the body of the request, until Drain ends the requests in progress. It returns
// false if there is no room for the body.
func (c *call) readBody(limit int) (whole bool, err error) {
	control := http.NewResponseController(c.w)
	stop := context.AfterFunc(c.gateway.stopped, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	// The buffer has room for one byte more than the limit, to read the end.
	return c.body.fill(http.MaxBytesReader(c.w, c.r.Body, int64(limit)), c.r.ContentLength, limit+1)
}

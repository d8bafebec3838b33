package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bulrushpath.example/lib/site"
)

// requestRecord holds the fields of a request's log line.
type requestRecord struct {
	target        string
	expectedWait  time.Duration
	prefillTokens int
	candidates    int
	queueTime     time.Duration
	// firstOutput is the time to the first output and maxGap the longest time between two
	// consecutive reads from a stream, both measured at this instance.
	firstOutput, maxGap time.Duration
	// maxGapEnd is the time from the request's arrival to the end of that gap.
	maxGapEnd time.Duration
	// promptTokensAhead is the number of prompt tokens still to prefill at the target when
	// it was chosen, and runningAhead the number of requests in progress there.
	promptTokensAhead int
	runningAhead      int
	status            int
	outcome           string
	reason            string
}

// failure describes the response to a request that ends without a target's response.
type failure struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header; 0 omits it.
	retryAfter time.Duration
}

// finish logs the request and, if it failed, responds with the failure.
func (c *call) finish(f *failure) {
	d := &c.record
	if f != nil {
		c.checkPromise(f)
		d.status, d.reason = f.status, f.reason
	}
	if f == nil && d.outcome == "" {
		d.outcome = "answered"
	}
	if f != nil && d.outcome == "" {
		d.outcome = "failed"
	}
	if !c.quota.refused || c.gateway.quotas.allowLog(time.Now()) {
		c.logRequest()
	}
	c.gateway.metrics.recordRequest(d, time.Since(c.arrivedAt))
	switch {
	case f == nil:
	case c.headerSent:
		// Aborts the connection, so that the client does not take the partial response
		// for a complete one.
		panic(http.ErrAbortHandler)
	default:
		c.writeFailure(f)
	}
}

// refuseForMemory refuses a request that has not run because connections and headers take too much
// memory.
func (g *Gateway) refuseForMemory(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: g, w: w, r: r, id: r.Header.Get(g.headers.RequestID)}
	c.writeFailure(&failure{status: http.StatusServiceUnavailable, reason: "too many connections at the same time", retryAfter: defaultRetryAfter})
}

func (c *call) writeFailure(f *failure) {
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		h.Set(c.gateway.headers.RequestID, c.id)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	body := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(f.status)
	_, _ = io.WriteString(c.w, body)
}

func (c *call) logRequest() {
	d := &c.record
	e := c.gateway.log.Info()
	if d.status >= http.StatusInternalServerError {
		e = c.gateway.log.Warn()
	}
	e = e.Str("event", "request").Str("id", c.id).Str("outcome", d.outcome).Int("status", d.status)
	if c.index != nil {
		e = e.Uint64("config", c.index.Config.Version)
	}
	if c.route != nil {
		e = e.Str("route", c.route.Name)
	} else {
		e = e.Dur("sinceControl", c.gateway.contact.Age())
	}
	if c.customer != nil {
		e = e.Str("customer", c.customer.Name)
	}
	if c.prompt.Model != "" {
		e = e.Str("model", c.prompt.Model).Str("adapter", c.prompt.Adapter).Int("miss", d.prefillTokens)
	}
	if d.target != "" {
		e = e.Str("target", d.target).Dur("expected", d.expectedWait).Int("choices", d.candidates)
	}
	if c.route != nil && c.route.Kind == site.Stream {
		e = e.Dur("gap", d.maxGap).Dur("gapAt", d.maxGapEnd).Int("promptAhead", d.promptTokensAhead).Int("runningAhead", d.runningAhead)
	}
	e.Int("attempts", c.attempts).Dur("held", d.queueTime).Dur("first", d.firstOutput).Dur("took", time.Since(c.arrivedAt)).Str("reason", d.reason).Msg("")
}

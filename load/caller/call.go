package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"bulrushpath.example/standin/answer"
)

// Call is one non-idempotent call to a plain service.
type Call struct {
	Service string
	Method  string
	// Path is the request path within the service, with a leading slash.
	Path string
	// Ref identifies the call: the service counts executions per ref, and it is
	// also sent as the idempotency key.
	Ref      string
	Issued   time.Time
	Deadline time.Duration
}

// Call sends a call and retries it until its outcome is known, its deadline has passed
// or maxAttempts is reached. Retries carry the same idempotency key and issue time, and
// use another entry instance if there is one.
func (cl *Client) Call(ctx context.Context, c Call) Result {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+responseGrace)
	defer cancel()
	body, err := json.Marshal(map[string]string{"ref": c.Ref})
	if err != nil {
		return Result{Reason: err.Error()}
	}
	build := func(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
		remaining := max(1, (c.Deadline - time.Since(start)).Milliseconds())
		return newRequest(ctx, c.Method, addr, "/v1/call/"+c.Service+c.Path, body, map[string]string{
			"Content-Type": "application/json", "Idempotency-Key": c.Ref,
			"Bulrush-Issued":         c.Issued.UTC().Format(time.RFC3339Nano),
			"Bulrush-Non-Idempotent": "true",
			"Bulrush-Deadline":       strconv.FormatInt(remaining, 10),
		})
	}
	var avoid netip.AddrPort
	// Once an earlier attempt may have run, the refusal of a later one does not prove
	// that the call has not run.
	mayHaveRun := false
	lastReason := "no attempt made"
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		delay := defaultRetryDelay
		resp, addr, err := cl.roundTrip(ctx, avoid, build)
		switch {
		case err != nil:
			lastReason = err.Error()
			mayHaveRun = mayHaveRun || errors.Is(err, errConnectionBroken)
		default:
			r, final := c.classify(resp)
			lastReason = r.Reason
			if final && (!mayHaveRun || r.Outcome != Refused) {
				r.Attempts, r.Latency = attempt, time.Since(start)
				return r
			}
			mayHaveRun = mayHaveRun || !final
			delay = resp.retryAfter()
		}
		avoid = addr
		if time.Since(start) > c.Deadline || !sleep(ctx, delay) {
			break
		}
	}
	r := Result{Outcome: Unknown, Reason: "gave up retrying: " + lastReason, Latency: time.Since(start)}
	if !mayHaveRun {
		r.Outcome = Lost
	}
	return r
}

// classify returns the result that one response implies; final is false while an
// earlier attempt is still running.
func (c Call) classify(resp *response) (r Result, final bool) {
	var body errorBody
	if resp.status == http.StatusConflict && json.Unmarshal(resp.body, &body) == nil && body.Error.Code != "" {
		switch resp.outcome() {
		case "completed":
			// The call has completed, but its response was too large to be stored.
			return Result{Outcome: Completed, Replayed: true}, true
		case "unknown":
			// Retry-After is set while an earlier attempt is running.
			return Result{Outcome: Unknown, Reason: resp.reason()}, resp.header.Get("Retry-After") == ""
		}
	}
	if resp.outcome() != "completed" {
		return resp.errorResult(), true
	}
	want := answer.PlainBody(c.Method, c.Path, c.Ref)
	if resp.status != http.StatusOK || string(resp.body) != want {
		return Result{Reason: fmt.Sprintf("status %d with unexpected body %.80q", resp.status, resp.body)}, true
	}
	return Result{Outcome: Completed, Replayed: resp.header.Get("Bulrush-Replayed") == "true"}, true
}

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

	texts "bulrushpath.example/standin/answer"
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

// Call retries a call until its outcome is known. Retries carry the same
// idempotency key and issue time, and use another entry instance if there is one.
func (f *Front) Call(ctx context.Context, c Call) Result {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+grace)
	defer cancel()
	body, err := json.Marshal(map[string]string{"ref": c.Ref})
	if err != nil {
		return Result{Reason: err.Error()}
	}
	build := func(ctx context.Context, addr netip.AddrPort) (*http.Request, error) {
		left := max(1, (c.Deadline - time.Since(begin)).Milliseconds())
		return newRequest(ctx, c.Method, addr, "/v1/call/"+c.Service+c.Path, body, map[string]string{
			"Content-Type": "application/json", "Idempotency-Key": c.Ref,
			"Bulrush-Issued":         c.Issued.UTC().Format(time.RFC3339Nano),
			"Bulrush-Non-Idempotent": "true",
			"Bulrush-Deadline":       strconv.FormatInt(left, 10),
		})
	}
	var not netip.AddrPort
	// sent is true once an earlier attempt may have run; a later refusal does not
	// prove then that the call has not run.
	sent := false
	last := "no attempt made"
	for try := 1; try <= maxTries; try++ {
		wait := retryPause
		a, addr, err := f.exchange(ctx, not, build)
		switch {
		case err != nil:
			last = err.Error()
			sent = sent || errors.Is(err, errBroken)
		default:
			r, final := c.judge(a)
			last = r.Reason
			if final && (!sent || r.Outcome != Refused) {
				r.Tries, r.Latency = try, time.Since(begin)
				return r
			}
			sent = sent || !final
			wait = a.retryAfter()
		}
		not = addr
		if time.Since(begin) > c.Deadline || !pause(ctx, wait) {
			break
		}
	}
	r := Result{Outcome: Unknown, Reason: "gave up retrying: " + last, Latency: time.Since(begin)}
	if !sent {
		r.Outcome = Lost
	}
	return r
}

// judge classifies one response; final is false while an earlier attempt is still
// running.
func (c Call) judge(a *answer) (r Result, final bool) {
	var fail failure
	if a.status == http.StatusConflict && json.Unmarshal(a.body, &fail) == nil && fail.Error.Code != "" {
		switch a.outcome() {
		case "completed":
			// The call has completed, but its response was too large to be stored.
			return Result{Outcome: Completed, Replayed: true}, true
		case "unknown":
			// Retry-After is set while an earlier attempt is running.
			return Result{Outcome: Unknown, Reason: a.reason()}, a.header.Get("Retry-After") == ""
		}
	}
	if a.outcome() != "completed" {
		return a.failed(), true
	}
	want := texts.Plain(c.Method, c.Path, c.Ref)
	if a.status != http.StatusOK || string(a.body) != want {
		return Result{Reason: fmt.Sprintf("status %d with unexpected body %.80q", a.status, a.body)}, true
	}
	return Result{Outcome: Completed, Replayed: a.header.Get("Bulrush-Replayed") == "true"}, true
}

package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

//go:generate stringer -type=Outcome

// Outcome classifies the result of a request as its caller sees it.
type Outcome int

// Outcomes of a request.
const (
	// Lost means that a cleanly ended response was incomplete or wrong, or that no
	// response arrived in time.
	Lost Outcome = iota
	// Completed is a complete response with the expected bytes.
	Completed
	// Refused is a response stating that the request did not run.
	Refused
	// Unknown is a response stating that the request may have run.
	Unknown
)

const (
	// maxAttempts limits the attempts per request.
	maxAttempts = 50
	// defaultRetryDelay is the retry delay for a response without Retry-After.
	defaultRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
	// responseGrace is how long to wait for a response after the deadline of the request.
	responseGrace = 5 * time.Second
)

// Result is the result of one request over all its attempts.
type Result struct {
	Outcome Outcome
	// Reason explains the outcome; it is empty for Completed.
	Reason  string
	Latency time.Duration
	// FirstToken is the time to the first token of a stream; 0 if the response is not streamed.
	FirstToken time.Duration
	// Attempts counts how often the request was sent.
	Attempts int
	// Version is the model version whose expected text matched the response.
	Version string
	// Replayed is true if the response is the stored response of an earlier attempt.
	Replayed bool
}

// errConnectionBroken means that the connection failed before the response was complete.
var errConnectionBroken = errors.New("connection broken")

// errorBody is the JSON error body of the entry instances.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		Trace   string `json:"trace"`
	} `json:"error"`
}

// response is one HTTP response whose body was read to the end without an error.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r *response) outcome() string {
	if o := r.header.Get("Bulrush-Outcome"); o != "" {
		return o
	}
	var body errorBody
	if json.Unmarshal(r.body, &body) == nil {
		return body.Error.Outcome
	}
	return ""
}

func (r *response) reason() string {
	var body errorBody
	if json.Unmarshal(r.body, &body) == nil && body.Error.Code != "" {
		return fmt.Sprintf("%d %s: %s", r.status, body.Error.Code, body.Error.Message)
	}
	return fmt.Sprintf("status %d", r.status)
}

// errorResult classifies an error response by its outcome.
func (r *response) errorResult() Result {
	switch r.outcome() {
	case "not-run":
		return Result{Outcome: Refused, Reason: r.reason()}
	case "unknown":
		return Result{Outcome: Unknown, Reason: r.reason()}
	}
	return Result{Outcome: Lost, Reason: "error response without an outcome: " + r.reason()}
}

// retryAfter returns the delay given by Retry-After, at most maxRetryDelay.
func (r *response) retryAfter() time.Duration {
	s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return defaultRetryDelay
	}
	return min(maxRetryDelay, time.Duration(s*float64(time.Second)))
}

// requestBuilder returns the request for one attempt, to be sent to addr.
type requestBuilder func(ctx context.Context, addr netip.AddrPort) (*http.Request, error)

// sendAttempt sends the request and returns once response headers arrive. If the dial
// fails, it continues with the next instance; that is always safe, because a
// failed dial has sent nothing.
func (cl *Client) sendAttempt(ctx context.Context, avoid netip.AddrPort, build requestBuilder) (*http.Response, netip.AddrPort, error) {
	for {
		addr := cl.pick(avoid)
		req, err := build(ctx, addr)
		if err != nil {
			return nil, addr, fmt.Errorf("build request: %w", err)
		}
		resp, err := cl.httpClient.Do(req)
		if err == nil {
			return resp, addr, nil
		}
		cl.markNotReady(addr)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return nil, addr, fmt.Errorf("%w: %w", errConnectionBroken, err)
		}
		if !sleep(ctx, defaultRetryDelay/10) {
			return nil, addr, fmt.Errorf("no entry instance reachable: %w", err)
		}
	}
}

// roundTrip sends the request and reads the whole response.
func (cl *Client) roundTrip(ctx context.Context, avoid netip.AddrPort, build requestBuilder) (*response, netip.AddrPort, error) {
	httpResp, addr, err := cl.sendAttempt(ctx, avoid, build)
	if err != nil {
		return nil, addr, err
	}
	defer func() { _ = httpResp.Body.Close() }()
	resp, err := readResponse(httpResp)
	if err != nil {
		cl.markNotReady(addr)
	}
	return resp, addr, err
}

func readResponse(httpResp *http.Response) (*response, error) {
	body, err := io.ReadAll(httpResp.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConnectionBroken, err)
	}
	resp := &response{status: httpResp.StatusCode, header: httpResp.Header.Clone(), body: body}
	for name, values := range httpResp.Trailer {
		resp.header[name] = values
	}
	return resp, nil
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func newRequest(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte,
	header map[string]string,
) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, value := range header {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req, nil
}

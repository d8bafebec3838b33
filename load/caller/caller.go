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
	// maxTries limits the attempts per request.
	maxTries = 50
	// retryPause is the retry delay for a response without Retry-After.
	retryPause = 100 * time.Millisecond
	maxPause   = time.Second
	// grace is how long to wait for a response after the deadline of the request.
	grace = 5 * time.Second
)

// Result is the result of one request over all its attempts.
type Result struct {
	Outcome Outcome
	// Reason explains the outcome; it is empty for Completed.
	Reason  string
	Latency time.Duration
	// First is the time to the first token of a stream; 0 if the response is not streamed.
	First time.Duration
	// Tries is the number of attempts.
	Tries int
	// Version is the model version whose expected text matched the response.
	Version string
	// Replayed is true if the response is the stored response of an earlier attempt.
	Replayed bool
}

// errBroken means that the connection failed before the response was complete.
var errBroken = errors.New("connection broken")

// failure is the JSON error body of the entry instances.
type failure struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		Trace   string `json:"trace"`
	} `json:"error"`
}

// answer is one HTTP response whose body was read to the end without an error.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) outcome() string {
	if o := a.header.Get("Bulrush-Outcome"); o != "" {
		return o
	}
	var f failure
	if json.Unmarshal(a.body, &f) == nil {
		return f.Error.Outcome
	}
	return ""
}

func (a *answer) reason() string {
	var f failure
	if json.Unmarshal(a.body, &f) == nil && f.Error.Code != "" {
		return fmt.Sprintf("%d %s: %s", a.status, f.Error.Code, f.Error.Message)
	}
	return fmt.Sprintf("status %d", a.status)
}

// failed classifies an error response by its outcome.
func (a *answer) failed() Result {
	switch a.outcome() {
	case "not-run":
		return Result{Outcome: Refused, Reason: a.reason()}
	case "unknown":
		return Result{Outcome: Unknown, Reason: a.reason()}
	}
	return Result{Outcome: Lost, Reason: "error response without an outcome: " + a.reason()}
}

// retryAfter returns the delay given by Retry-After, at most maxPause.
func (a *answer) retryAfter() time.Duration {
	s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || s <= 0 {
		return retryPause
	}
	return min(maxPause, time.Duration(s*float64(time.Second)))
}

// build creates the request for one attempt at addr.
type build func(ctx context.Context, addr netip.AddrPort) (*http.Request, error)

// open sends one attempt and returns once response headers arrive. If the dial
// fails, it continues with the next instance; that is always safe, because a
// failed dial has sent nothing.
func (f *Front) open(ctx context.Context, not netip.AddrPort, b build) (*http.Response, netip.AddrPort, error) {
	for {
		addr := f.Pick(not)
		req, err := b(ctx, addr)
		if err != nil {
			return nil, addr, fmt.Errorf("build request: %w", err)
		}
		resp, err := f.client.Do(req)
		if err == nil {
			return resp, addr, nil
		}
		f.Failed(addr)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return nil, addr, fmt.Errorf("%w: %w", errBroken, err)
		}
		if !pause(ctx, retryPause/10) {
			return nil, addr, fmt.Errorf("no entry instance reachable: %w", err)
		}
	}
}

// exchange sends one attempt and reads the whole response.
func (f *Front) exchange(ctx context.Context, not netip.AddrPort, b build) (*answer, netip.AddrPort, error) {
	resp, addr, err := f.open(ctx, not, b)
	if err != nil {
		return nil, addr, err
	}
	defer func() { _ = resp.Body.Close() }()
	a, err := readAnswer(resp)
	if err != nil {
		f.Failed(addr)
	}
	return a, addr, err
}

func readAnswer(resp *http.Response) (*answer, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBroken, err)
	}
	a := &answer{status: resp.StatusCode, header: resp.Header.Clone(), body: body}
	for name, values := range resp.Trailer {
		a.header[name] = values
	}
	return a, nil
}

// pause sleeps for d and reports whether ctx is still active.
func pause(ctx context.Context, d time.Duration) bool {
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

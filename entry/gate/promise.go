package gate

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"bulrushpath.example/lib/relay"
)

// Some statuses promise that a request has not run and never will: clients then send also a request
// that may run only once to another instance. A target makes that promise by a header, and its status
// alone promises nothing.

var errUnmarkedRefusal = errors.New("the target refused the request and does not say that it has not run")

// promisesNotRun reports whether a client takes the status as the promise that its request has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// saysNotRun reports whether a target states that it has not run the request: by the header for it, or
// because the request is meant for another target.
func (g *Gateway) saysNotRun(answer *relay.Response) bool {
	return g.marksNotRun(answer) || answer.Status == http.StatusMisdirectedRequest
}

// marksNotRun reports whether the answer has the header that marks a request as not run, with any value
// or none.
func (g *Gateway) marksNotRun(answer *relay.Response) bool {
	return len(answer.Header.Values(g.headers.NotRun)) > 0
}

// checkPromise changes a failure of this instance to one that promises nothing if a target may have run the
// request. It applies to all of them, whichever step has refused the request.
func (c *call) checkPromise(f *failure) {
	if promisesNotRun(f.status) && c.attempts > 0 {
		f.status, f.reason, f.retryAfter = http.StatusBadGateway, "answer incomplete: "+f.reason, 0
	}
}

// withhold reads what is left of an answer that must not reach the client. It returns errUnmarkedRefusal
// if the answer is complete.
func withhold(answer *relay.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("read answer: %w", err)
	case n > maxResponseBytes:
		return errTooLong
	}
	return fmt.Errorf("%w: status %d", errUnmarkedRefusal, answer.Status)
}

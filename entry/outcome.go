package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcomes of a request, the values of Bulrush-Outcome.
const (
	outcomeCompleted = "completed"
	// outcomeNotRun guarantees that the request has reached no engine or service.
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// Response headers of the caller API.
const (
	headerOutcome  = "Bulrush-Outcome"
	headerTrace    = "Bulrush-Trace"
	headerReplayed = "Bulrush-Replayed"
)

// failure is an error as it is reported to the caller.
type failure struct {
	status  int
	code    string
	message string
	outcome string
	// retryAfter is sent as Retry-After, rounded up to seconds. Zero omits the header.
	retryAfter time.Duration
	// cause is logged and not sent to the caller.
	cause error
}

// Error implements error.
func (f *failure) Error() string {
	if f.cause != nil {
		return fmt.Sprintf("%s: %s: %v", f.code, f.message, f.cause)
	}
	return f.code + ": " + f.message
}

// reject returns an error for a request that was not run.
func reject(status int, code, format string, args ...any) *failure {
	return &failure{status: status, code: code, message: fmt.Sprintf(format, args...), outcome: outcomeNotRun}
}

// withRetryAfter sets the value of Retry-After.
func (f *failure) withRetryAfter(d time.Duration) *failure {
	f.retryAfter = d
	return f
}

// withCause sets the underlying error for the log.
func (f *failure) withCause(err error) *failure {
	f.cause = err
	return f
}

// encodeBody returns the JSON error body.
func (f *failure) encodeBody(traceID string) []byte {
	type detail struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
		Trace   string `json:"trace"`
	}
	b, err := json.Marshal(struct {
		Error detail `json:"error"`
	}{detail{f.code, f.message, f.outcome, traceID}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return b
}

// write sends f as a complete HTTP response.
func (f *failure) write(w http.ResponseWriter, traceID string) {
	b := f.encodeBody(traceID)
	h := w.Header()
	h.Del("Trailer")
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(headerOutcome, f.outcome)
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((f.retryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(b)
}

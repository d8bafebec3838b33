package gate

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a slow but sound stream that is cut: the pauses between its events are longer
// than the time after which a silent target is probed.
func TestSlowStreamIsWhole(t *testing.T) {
	const events = 4
	fx := newFixture(t, "engines", func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= events; i++ {
			writeEvents(w, i, i)
			time.Sleep(600 * time.Millisecond)
		}
	})
	res, text, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", func(r *http.Request) { r.Header.Set("T-Deadline", "3000") })
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, eventText(1, events))
}

// Guards against a stalled stream that never ends because its target sends a byte now and then:
// it ends with the route's timeout, not as complete, and the target's work ends too.
func TestStalledStreamEnds(t *testing.T) {
	var cut atomic.Bool
	fx := newFixture(t, "engines", func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 1)
		for r.Context().Err() == nil {
			_, _ = fmt.Fprint(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
		cut.Store(true)
	})
	begun := time.Now()
	_, text, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", func(r *http.Request) { r.Header.Set("T-Deadline", "60000") })
	assert.Assert(t, err != nil, "the stream ended as complete")
	assert.Equal(t, text, eventText(1, 1))
	timeout := routes()[3].Timeout
	assert.Assert(t, time.Since(begun) < timeout+time.Second, "ended after %v", time.Since(begun))
	for end := time.Now().Add(conditionTimeout); !cut.Load(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the target still works")
	}
}

// breakOff aborts the connection after the first two events of a stream.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	writeEvents(w, 1, 2)
	panic(http.ErrAbortHandler)
}

// rawAnswer sends text as the rest of an answer, and then closes the connection.
func rawAnswer(head, text string) http.HandlerFunc {
	return rawBytes("200 OK", head, text, func(*net.TCPConn) {})
}

const (
	eventStream  = "Content-Type: text/event-stream\r\n"
	errorAnswer  = "HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\noverload\n"
	errorMessage = "error: overloaded, try again\n\n"
)

// Guards against text that is no event of the run in the middle of a stream, against a stream that
// ends as complete where its run broke off (ORDER, MIXED), and against an error that keeps the
// request from a target that could go on. The first target breaks off after two events; the second
// one answers as given; if there is a third one, it resumes the stream.
func TestResumedStreamTakesOnlyEventsOfTheRun(t *testing.T) {
	sealed := func(contentType, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("T-Seal", "s")
			w.Header().Set("Content-Type", contentType)
			_, _ = fmt.Fprint(w, body)
		}
	}
	for _, c := range []struct {
		name   string
		second http.HandlerFunc
	}{
		{"failure", respondSealed(http.StatusInternalServerError, errorMessage)},
		{"failure without a seal", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x\n\n", http.StatusBadGateway) }},
		{"refusal", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "x\n\n", http.StatusTooManyRequests) }},
		{"refusal that is not run", respondNotRun(http.StatusServiceUnavailable)},
		{"no content", respondSealed(http.StatusNoContent, "")},
		{"success without a seal", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, eventText(3, 4)) }},
		{"text", sealed("text/plain", errorMessage)},
		{"text as events", sealed("text/event-stream", errorMessage)},
		{"object", sealed("application/json", "{\"error\":\"overloaded\"}\n\n")},
		{"object as events", sealed("text/event-stream", "{\"error\":\"overloaded\"}\n\n")},
		{"event without an id", sealed("text/event-stream", "event: error\ndata: overloaded\n\n")},
		{"data without an id", sealed("text/event-stream", "data: overloaded\n\n")},
		{"text behind an id", sealed("text/event-stream", "id: 3\nerror: overloaded\n\n")},
		{"text before an id", sealed("text/event-stream", "overloaded\nid: 3\ndata: x3\n\n")},
		{"gap", sealed("text/event-stream", eventText(4, 5))},
		{"part of an event", sealed("text/event-stream", "id: 3\ndata: x")},
		{"no length, nothing", rawAnswer(eventStream, "")},
		{"no length, a whole answer", rawAnswer(eventStream, errorAnswer)},
		{"no length, a whole answer in an event", rawAnswer(eventStream, "id: 3\ndata: x"+errorAnswer+"\n\n")},
		{"no length, text", rawAnswer(eventStream, errorMessage)},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, third := range []bool{false, true} {
				var calls atomic.Int64
				answer := func(w http.ResponseWriter, r *http.Request) {
					switch calls.Add(1) {
					case 1:
						breakOff(w, r)
					case 2:
						c.second(w, r)
					default:
						if third {
							writeEvents(w, 3, 5)
							return
						}
						respondSealed(http.StatusInternalServerError, errorMessage)(w, r)
					}
				}
				fx := newFixture(t, "engines", answer, answer, answer)
				fx.setMaxAttempts(3)
				_, text, err := fx.do(t.Context(), http.MethodPost, "/resumed/x", "", nil)
				if third {
					assert.NilError(t, err)
					assert.Equal(t, text, eventText(1, 5))
					continue
				}
				assert.Assert(t, err != nil, "the stream ended as complete")
				assert.Equal(t, text, eventText(1, 2))
			}
		})
	}
}

// Guards against a stream that is resumed although it was whole, and against comments and the like
// that count as foreign text.
func TestResumedStreamMayEndAtOnce(t *testing.T) {
	var calls atomic.Int64
	answer := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			breakOff(w, r)
			return
		}
		w.Header().Set("T-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_, _ = fmt.Fprint(w, ": still here\nretry: 100\n\nt-version: 2\nid: 3\nevent: token\ndata\n\n")
	}
	fx := newFixture(t, "engines", answer, answer)
	_, text, err := fx.do(t.Context(), http.MethodPost, "/resumed/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, text, eventText(1, 2)+": still here\nretry: 100\n\nt-version: 2\nid: 3\nevent: token\ndata\n\n")

	calls.Store(0)
	last := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			breakOff(w, r)
			return
		}
		writeEvents(w, 1, 0)
		w.WriteHeader(http.StatusOK)
	}
	fx = newFixture(t, "engines", last, last)
	_, text, err = fx.do(t.Context(), http.MethodPost, "/resumed/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, text, eventText(1, 2))
}

// Guards against the text of an error in a stream that no target resumes: the target itself sends
// it after its first events, or in their place.
func TestStreamTakesOnlyEvents(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"error after events", eventText(1, 2) + errorMessage, eventText(1, 2)},
		{"whole answer after events", eventText(1, 2) + errorAnswer, eventText(1, 2)},
		{"whole answer in an event", eventText(1, 2) + "id: 3\ndata: x" + errorAnswer + "\n\n", eventText(1, 2)},
		{"error at first", errorMessage, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := rawAnswer(eventStream, c.text)
			fx := newFixture(t, "engines", answer, answer)
			res, text, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", nil)
			if c.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, res.StatusCode, http.StatusBadGateway)
				return
			}
			assert.Assert(t, err != nil, "the stream ended as complete")
			assert.Equal(t, text, c.want)
		})
	}
}

// Guards against an answer that is no stream and is taken for one: its bytes are passed on whole.
func TestAnswerThatIsNoStream(t *testing.T) {
	fx := newFixture(t, "engines", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Seal", "s")
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprint(w, "{\"text\":\n\n\"x\"}")
	})
	res, text, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, "{\"text\":\n\n\"x\"}")
}

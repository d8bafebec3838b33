package gate

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// crash ends the target like a process that dies: the connection breaks, and its port refuses
// others.
func crash(f *fakeTarget) {
	_ = f.srv.Listener.Close()
	panic(http.ErrAbortHandler)
}

// Guards against a resend of the request that has crashed its target, which crashes the next
// one; and against lost requests that are not resent although they cannot be to blame, since
// an answer has cleared their parts or the target still runs. A prompt with X crashes each
// target, one with C its first target, and the first connection of one with L breaks.
func TestRequestThatMayHaveCrashedItsTargetIsNotResent(t *testing.T) {
	var fx *fixture
	started := make(chan struct{})
	var broken sync.Map
	firstTime := func(parts string) bool {
		_, again := broken.LoadOrStore(parts, true)
		return !again
	}
	handler := func(i int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			<-started
			parts := r.Header.Get("T-Parts")
			switch {
			case r.URL.Path == "/health":
				w.Header().Set("T-Instance", fx.targets[i].id)
				return
			case strings.Contains(parts, "X"):
				crash(fx.targets[i])
			case strings.Contains(parts, "L") && firstTime(parts):
				panic(http.ErrAbortHandler)
			case strings.Contains(parts, "C") && firstTime(parts):
				crash(fx.targets[i])
			}
			writeEvents(w, 1, 1)
		}
	}
	fx = newFixture(t, "engines", handler(0), handler(1), handler(2), handler(3))
	close(started)
	send := func(parts string) int {
		res, _, err := fx.do(t.Context(), http.MethodPost, "/resumed/1", "body "+parts, func(r *http.Request) {
			r.Header.Set("T-Id", "r"+parts)
			r.Header.Set("T-Parts", parts)
		})
		assert.NilError(t, err)
		return res.StatusCode
	}
	sends := func(parts string) (n int) {
		for _, f := range fx.targets {
			for _, r := range f.requests() {
				if r.header.Get("T-Parts") == parts {
					n++
				}
			}
		}
		return n
	}
	assert.Equal(t, send("aX1"), http.StatusBadGateway)
	assert.Equal(t, sends("aX1"), 1, "the request that crashed its target")
	assert.Equal(t, send("aL1"), http.StatusOK, "the target runs on")
	assert.Equal(t, send("C"), http.StatusOK, "no part but the last, which crashes nothing")
	assert.Equal(t, send("a2"), http.StatusOK)
	assert.Equal(t, send("aC"), http.StatusOK, "an answer has cleared the part")
}

// Guards against a part of prompts that crashes one target after the other, in requests of
// which no two are alike; against sound requests that are refused with it, because they
// share its other parts; and against a refusal that is not told apart in the reason.
func TestPartThatCrashesTargetsIsBlocked(t *testing.T) {
	crashOrAnswer := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Seal", "s")
		if strings.Contains(r.Header.Get("T-Parts"), "X") {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		writeEvents(w, 1, 1)
	}
	handlers := make([]http.HandlerFunc, 8)
	for i := range handlers {
		handlers[i] = crashOrAnswer
	}
	fx := newFixture(t, "engines", handlers...)
	send := func(n int, parts string) (int, string) {
		res, text, err := fx.do(t.Context(), http.MethodPost, "/stream/1", fmt.Sprint("body", n), func(r *http.Request) {
			r.Header.Set("T-Id", fmt.Sprint("r", n))
			r.Header.Set("T-Parts", parts)
		})
		assert.NilError(t, err)
		assert.NilError(t, fx.gateway.report(t.Context()))
		return res.StatusCode, text
	}
	reached := func() (n int) {
		for _, f := range fx.targets {
			for _, r := range f.requests() {
				if strings.Contains(r.header.Get("T-Parts"), "X") {
					n++
				}
			}
		}
		return n
	}
	for n := range 12 {
		status, text := send(n, "aX"+string(rune('0'+n)))
		if n >= 5 {
			assert.Equal(t, status, http.StatusServiceUnavailable, "request %d", n)
			assert.Assert(t, strings.Contains(text, "part of this prompt"), text)
		}
		status, _ = send(100+n, "ab"+string(rune('0'+n)))
		assert.Equal(t, status, http.StatusOK, "sound request %d", n)
	}
	assert.Assert(t, reached() <= 5, "%d requests reached targets", reached())
	// The last part of a prompt crashes nothing.
	status, _ := send(200, "abX")
	assert.Assert(t, status != http.StatusServiceUnavailable)
}

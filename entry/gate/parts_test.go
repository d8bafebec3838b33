package gate

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

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

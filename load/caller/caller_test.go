package caller

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/standin/answer"
)

// newClient starts one entry instance per handler and returns a client for them.
func newClient(t *testing.T, handlers ...http.HandlerFunc) *Client {
	t.Helper()
	var addrs []netip.AddrPort
	for _, h := range handlers {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
		mux.HandleFunc("POST /", h)
		srv := httptest.NewServer(mux)
		t.Cleanup(srv.Close)
		addrs = append(addrs, netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
	}
	client := NewClient(addrs)
	t.Cleanup(client.Close)
	return client
}

var twoTokens = Generation{
	Model: "patterns", Versions: []string{"1", "2"}, Prompt: "p", MaxTokens: 2, Deadline: 2 * time.Second,
}

func token(version string, index int) string {
	return answer.For("patterns", version, "", "p").Token(index)
}

func tokenEvent(version string, index int) string {
	return fmt.Sprintf("event: token\ndata: {\"index\":%d,\"text\":%q}\n\n", index, token(version, index))
}

const endEvent = "event: end\ndata: {\"outcome\":\"completed\",\"tokens\":2}\n\n"

// Guards against accepting responses that are incomplete, wrong or mixed from two
// versions, and against reporting a failure with a stated outcome as lost.
func TestGenerateClassifies(t *testing.T) {
	fail := func(outcome string) string {
		return fmt.Sprintf(`{"error":{"code":"c","message":"m","outcome":%q}}`, outcome)
	}
	json := func(version, text string) string {
		return fmt.Sprintf(`{"text":%q,"tokens":2,"model":"patterns","version":%q,"outcome":"completed"}`, text, version)
	}
	cases := []struct {
		name   string
		stream bool
		status int
		body   string
		want   Outcome
	}{
		{"whole stream", true, 200, tokenEvent("2", 0) + tokenEvent("2", 1) + endEvent, Completed},
		{"no end", true, 200, tokenEvent("2", 0) + tokenEvent("2", 1), Lost},
		{"token missing", true, 200, tokenEvent("2", 0) + endEvent, Lost},
		{"index repeated", true, 200, tokenEvent("2", 0) + tokenEvent("2", 0) + endEvent, Lost},
		{"versions mixed", true, 200, tokenEvent("1", 0) + tokenEvent("2", 1) + endEvent, Lost},
		{"more after the end", true, 200, tokenEvent("2", 0) + tokenEvent("2", 1) + endEvent + endEvent, Lost},
		{"error event", true, 200, tokenEvent("2", 0) + "event: error\ndata: " + fail("unknown") + "\n\n", Unknown},
		{"refused stream", true, 503, fail("not-run"), Refused},
		{"whole answer", false, 200, json("1", token("1", 0)+token("1", 1)), Completed},
		{"other version named", false, 200, json("2", token("1", 0)+token("1", 1)), Lost},
		{"text of another prompt", false, 200, json("1", "x"+token("1", 1)), Lost},
		{"refused", false, 429, fail("not-run"), Refused},
		{"failure without outcome", false, 500, "oops", Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			g := twoTokens
			g.Stream = c.stream
			r := client.Generate(t.Context(), g)
			assert.Equal(t, r.Outcome, c.want, r.Reason)
		})
	}
}

// Guards against accepting a stream whose connection broke, and against not
// retrying it at another instance.
func TestBrokenStreamIsRetriedElsewhere(t *testing.T) {
	client := newClient(t,
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, tokenEvent("1", 0))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, tokenEvent("1", 0)+tokenEvent("1", 1)+endEvent)
		})
	g := twoTokens
	g.Stream = true
	for range 2 {
		r := client.Generate(t.Context(), g)
		assert.Equal(t, r.Outcome, Completed, r.Reason)
	}
}

// Guards against a retry without the original idempotency key or issue time, and
// against reporting a call as refused because a retry was refused, although an
// earlier attempt may have run.
func TestRetriedCallKeepsKey(t *testing.T) {
	var attempts atomic.Int32
	var first atomic.Value
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"error":{"code":"noQuorum","outcome":"not-run"}}`)
	}
	h := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Idempotency-Key") + " " + r.Header.Get("Bulrush-Issued")
		switch attempts.Add(1) {
		case 1:
			first.Store(id)
			panic(http.ErrAbortHandler)
		case 2:
			refuse(w, r)
		default:
			if id != first.Load() {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			w.Header().Set("Bulrush-Outcome", "completed")
			_, _ = io.WriteString(w, answer.PlainBody("POST", "/reserve", "r1"))
		}
	}
	client := newClient(t, h, h)
	call := Call{Service: "ledger", Method: "POST", Path: "/reserve", Ref: "r1", Issued: time.Now(), Deadline: 5 * time.Second}
	r := client.Call(t.Context(), call)
	assert.Equal(t, r.Outcome, Completed, r.Reason)
	assert.Equal(t, r.Attempts, 3)

	client = newClient(t, refuse)
	r = client.Call(t.Context(), call)
	assert.Equal(t, r.Outcome, Refused, r.Reason)
}

// Guards against requests that fail because one instance refuses connections.
func TestUnreachableInstanceIsSkipped(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, tokenEvent("1", 0)+tokenEvent("1", 1)+endEvent)
	})
	client.mu.Lock()
	// Nothing listens at the discard port of the loopback address, so dials are refused.
	client.addrs = append(client.addrs, netip.MustParseAddrPort("127.0.0.1:9"))
	client.ready = append(client.ready, true)
	client.mu.Unlock()
	g := twoTokens
	g.Stream = true
	for range 4 {
		r := client.Generate(t.Context(), g)
		assert.Equal(t, r.Outcome, Completed, r.Reason)
	}
}

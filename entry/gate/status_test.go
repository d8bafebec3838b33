package gate

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// rawBytes sends an answer with the given status line, header and body, and then lets end end the
// connection.
func rawBytes(status, head, body string, end func(c *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nT-Id: %s\r\nT-Seal: s\r\n%s\r\n%s", status, r.Header.Get("T-Id"), head, body)
		end(c.(*net.TCPConn))
		_ = c.Close()
	}
}

// checkNoAnswer checks that clients get nothing of a broken answer: a request that may run once gets a
// failure of this instance, and one that may be repeated the answer of another target.
func checkNoAnswer(t *testing.T, broken http.HandlerFunc) {
	t.Helper()
	fx := newFixture(t, "plain", broken)
	res, text, err := fx.do(t.Context(), http.MethodPost, "/once/x", strings.Repeat("u", 900), nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusBadGateway)
	assert.Assert(t, res.Header.Get("T-Seal") == "" && !strings.Contains(text, "part"), "%q", text)

	fx = newFixture(t, "plain", broken, broken, respondSealed(http.StatusOK, "whole"))
	fx.setMaxAttempts(3)
	res, text, err = fx.do(t.Context(), http.MethodGet, "/safe/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, text, "whole")
}

// Guards against an answer that reaches a client although its status is none of the protocol, or whose body
// does, as the answer behind an interim one.
func TestOddStatusReachesNoClient(t *testing.T) {
	nothing := func(*net.TCPConn) {}
	inside := "HTTP/1.1 200 OK\r\nT-Id: r1\r\nT-Seal: s\r\nContent-Length: 4\r\n\r\npart"
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		for _, body := range []string{"part", inside} {
			t.Run(fmt.Sprintf("%s/%d bytes", status, len(body)), func(t *testing.T) {
				checkNoAnswer(t, rawBytes(status+" Trouble", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body, nothing))
			})
		}
	}
}

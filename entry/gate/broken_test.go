package gate

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endAndReset ends the connection and resets it a moment later.
func endAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(time.Millisecond)
	_ = c.SetLinger(0)
}

// Guards against what is no whole answer of a target and reaches a client as one: a part whose connection
// ended just before it was reset, and a head that stops. A request that may be repeated gets the answer of
// another target.
func TestBrokenAnswersReachNoClient(t *testing.T) {
	nothing := func(*net.TCPConn) {}
	for _, c := range []struct {
		name   string
		broken http.HandlerFunc
	}{
		{"part, end and reset", rawBytes("200 OK", "", "part", endAndReset)},
		{"failure, end and reset", rawBytes("500 Trouble", "", "part", endAndReset)},
		{"half a head", rawBytes("200 OK", "Content-Le", "", nothing)},
		{"half a length", rawBytes("200 OK", "Content-Length: 1", "", nothing)},
		{"half a head, reset", rawBytes("200 OK", "Content-Type: te", "", endAndReset)},
	} {
		t.Run(c.name, func(t *testing.T) { checkNoAnswer(t, c.broken) })
	}
}

// Guards against a stream that ends as complete although its connection was reset just after it ended.
func TestResetStreamIsNotComplete(t *testing.T) {
	broken := rawBytes("200 OK", eventStream, eventText(1, 2), endAndReset)
	fx := newFixture(t, "engines", broken)
	_, text, err := fx.do(t.Context(), http.MethodPost, "/stream/x", "", nil)
	assert.Assert(t, err != nil, "the stream ended as complete")
	assert.Equal(t, text, eventText(1, 2))
}

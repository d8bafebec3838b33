package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer whose status is none of the protocol and that passes for one, as those of
// targets in trouble do (000), or whose body passes for the answer behind an interim one.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	inside := response("1", "inside")
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "666", "999"} {
		for _, body := range []string{"", inside} {
			t.Run(fmt.Sprintf("%s/%d bytes", status, len(body)), func(t *testing.T) {
				s := newTestServer(t, func(int, string) string {
					return fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", status, idHeader, len(body), body)
				})
				p := NewPool()
				defer func() { _ = p.Close() }()
				text, err := exchange(t, p, s, "1")
				var failed *Error
				assert.Assert(t, errors.As(err, &failed) && failed.Sent, "answer %q, %v", text, err)
				assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the answer was awaited until the deadline")
			})
		}
	}
	for _, status := range []int{200, 299, 418, 499, 599} {
		s := newTestServer(t, func(int, string) string {
			return strings.Replace(response("1", "own"), "200 OK", fmt.Sprintf("%d Known", status), 1)
		})
		p := NewPool()
		text, err := exchange(t, p, s, "1")
		assert.NilError(t, err)
		assert.Equal(t, text, "own")
		assert.NilError(t, p.Close())
	}
}

package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endlessServer answers each request with prefix and then repeats text until the caller closes
// the connection. closed receives once for each request.
func endlessServer(t *testing.T, prefix, text string) (target Target, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{}, 8)
	block := []byte(strings.Repeat(text, 1+16<<10/len(text)))
	return rawServer(t, func(c *net.TCPConn, _ *bufio.Reader) {
		defer func() { closed <- struct{}{} }()
		_, err := io.WriteString(c, prefix)
		for err == nil {
			_, err = c.Write(block)
		}
	}), closed
}

// Guards against an entry instance that reads without bound, until the deadline of the
// request, from a target in trouble whose answer does not end: it is killed for its memory.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, prefix, text string }{
		{"status line", "", "x"},
		{"header line", head + "X-A: ", "a"},
		{"header lines", head, "X-A: a\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"late answer", head + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			target, closed := endlessServer(t, c.prefix, c.text)
			p := NewPool()
			defer func() { _ = p.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := p.Do(ctx, target, 0, &Request{Method: "GET", URI: "/", Host: "h", IDHeader: idHeader, ID: "r1"})
			var failed *Error
			assert.Assert(t, errors.As(err, &failed) && failed.Sent, "%v", err)
			assert.NilError(t, ctx.Err(), "the answer was read until the deadline")
			<-closed
		})
	}
}

// Guards against a stream reader that keeps bytes without bound, if an event does not end or
// only empty lines come.
func TestEndlessEventIsCutOff(t *testing.T) {
	for _, text := range []string{"\n", "\r\n", "data: x\n", ": comment\n", "x"} {
		r := &countingReader{text: strings.Repeat(text, 4<<10)}
		_, err := NewEventReader(r).Next()
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%q", text)
		assert.Assert(t, r.n <= 2*maxEventSize, "%q: %d bytes were read", text, r.n)
	}
}

// countingReader returns text without end, up to a limit far above what may be read.
type countingReader struct {
	text string
	n    int
}

func (r *countingReader) Read(dst []byte) (int, error) {
	if r.n > 20*maxEventSize {
		return 0, io.EOF
	}
	n := copy(dst, r.text)
	r.n += n
	return n, nil
}

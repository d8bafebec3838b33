package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxStale bounds the answers to earlier requests that are skipped on one connection.
const maxStale = 4

// Request is a foreign request as it goes to a target.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI  string
	Host string
	// Header holds the end-to-end headers, those that the system sets included.
	Header http.Header
	Body   []byte
	// HasBody says that the client sent a body, even if it is empty.
	HasBody bool
	// IDHeader names the header that identifies a request and is echoed in its
	// answer, and ID is its value.
	IDHeader, ID string
}

// Answer is the head of a target's answer; Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if the target did not give it.
	Length int64
	// Framed says that the end of the body is marked, so that an early end shows.
	Framed bool
	Body   io.ReadCloser
	// Reused says that the connection had carried earlier exchanges.
	Reused bool
}

// Error is a failed exchange.
type Error struct {
	// Sent says that bytes of the request may have reached the target, which may
	// have run it.
	Sent bool
	// Reused says that the connection had carried earlier exchanges, which the
	// target may have closed at that moment.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends the request and returns the head of its answer. The end of ctx closes
// the connection, which ends the work of the target. limit bounds the
// connections to the target. Failures are *Error.
func (p *Pool) Do(ctx context.Context, t Target, limit int, r *Request) (*Answer, error) {
	c, err := p.get(ctx, t, limit)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	p.hear(t)
	w := p.watchConn(ctx, c)
	fail := func(sent bool, err error) (*Answer, error) {
		stop()
		silent := w.stop()
		p.drop(c)
		switch {
		case ctx.Err() != nil:
			err = ctx.Err()
		case silent:
			err = ErrSilent
		}
		return nil, &Error{Sent: sent, Reused: c.reused, Err: err}
	}
	if n, err := c.Write(r.encode()); err != nil {
		return fail(n > 0, fmt.Errorf("send request: %w", err))
	}
	res, err := c.readHead(r) //nolint:bodyclose // Answer.Body closes it.
	if err != nil {
		return fail(true, err)
	}
	p.hear(t)
	b := &body{pool: p, conn: c, stop: stop, watch: w, res: res, ctx: ctx}
	b.keep = !res.Close && (res.ContentLength >= 0 || chunked(res))
	c.keep = keepAlive(res.Header)
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		Framed: res.ContentLength >= 0 || chunked(res), Body: b, Reused: c.reused,
	}, nil
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// readHead reads the head of the answer to r; complete answers to earlier
// requests, which may arrive late, are skipped.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	method := &http.Request{Method: r.Method}
	for range maxStale {
		res, err := http.ReadResponse(c.r, method)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		got := res.Header.Get(r.IDHeader)
		if got == r.ID {
			return res, nil
		}
		if got == "" {
			return nil, fmt.Errorf("answer with status %d carries no request id", res.StatusCode)
		}
		if res.ContentLength < 0 && !chunked(res) {
			return nil, fmt.Errorf("answer of unknown length belongs to request %q", got)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, fmt.Errorf("skip answer of request %q: %w", got, err)
		}
	}
	return nil, errors.New("too many answers of other requests")
}

func chunked(res *http.Response) bool {
	return len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

// keepAlive returns how long a connection may be reused after this answer.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return idleDefault
}

// body returns its connection to the pool once it was read to its end.
type body struct {
	pool *Pool
	conn *conn
	stop func() bool
	// watch is stopped before the connection is given back.
	watch *watch
	res   *http.Response
	ctx   context.Context
	// keep says that the connection may be reused after the end of the body.
	keep  bool
	ended bool
	done  bool
}

// Read implements io.Reader. io.EOF means that the body is complete; a reset or
// an end before the announced length is another error.
func (b *body) Read(dst []byte) (int, error) {
	n, err := b.res.Body.Read(dst)
	if n > 0 {
		b.pool.hear(b.conn.target)
	}
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.ended = true
	case err != nil && b.ctx.Err() != nil:
		err = b.ctx.Err()
	case err != nil && b.watch.ended():
		err = ErrSilent
	}
	return n, err
}

// Close gives the connection back, or closes it if the body has not ended.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	live := b.stop()
	silent := b.watch.stop()
	if b.ended && b.keep && live && !silent && b.ctx.Err() == nil {
		_ = b.conn.SetDeadline(time.Time{})
		b.pool.put(b.conn)
		return nil
	}
	b.pool.drop(b.conn)
	return nil
}

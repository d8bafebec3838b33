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

// maxResponses limits the responses read per exchange: interim ones and late ones to
// earlier requests are skipped.
const maxResponses = 4

// minStatus and maxStatus are the least and the highest status of an answer, interim ones included.
const minStatus, maxStatus = 100, 599

// maxHeaderBytes bounds the header of a response, and maxSkippedBytes a late response to an
// earlier request. A target in trouble may send bytes without end.
const (
	maxHeaderBytes  = 32 << 10
	maxSkippedBytes = 16 << 20
)

// maxJoinedBody is the size up to which a body is copied behind the header of its request, so that
// both leave in one write.
const maxJoinedBody = 16 << 10

// Request is a request as it is sent to a target.
type Request struct {
	Method string
	// URI is the request target in the form in which the client sent it.
	URI  string
	Host string
	// Header holds the end-to-end headers, including those that the system adds.
	Header http.Header
	Body   []byte
	// HasBody reports whether the client sent a body, even an empty one.
	HasBody bool
	// IDHeader is the name of the header that identifies a request, and ID its value.
	// Targets echo the header in their responses. A request without an id gets a
	// connection of its own.
	IDHeader, ID string
	// BeforeSend, if set, is called once there is a connection, right before the request is
	// written. Its error cancels the exchange: nothing is sent.
	BeforeSend func() error
}

// Response is the response of a target. Its Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if it is unknown.
	Length int64
	// Framed reports whether the end of the body is marked by a length or a last chunk,
	// so that a truncated body is detected.
	Framed bool
	Body   io.ReadCloser
	// Reused reports whether the connection had carried an earlier exchange.
	Reused bool
}

// Error describes a failed exchange.
type Error struct {
	// Sent reports whether bytes of the request may have reached the target, so that the
	// target may have run it.
	Sent bool
	// Reused reports whether the connection had carried an earlier exchange. The target
	// may then have closed it while the request was being sent.
	Reused bool
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends the request and returns the response once its header has been read. The end
// of ctx closes the connection, which makes the target stop its work. limit is the
// maximum number of connections to the target; 0 means no limit. Errors are of type
// *Error.
func (p *Pool) Do(ctx context.Context, t Target, limit int, r *Request) (*Response, error) {
	c, err := p.get(ctx, t, limit, r.ID)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.discard(c)
			return nil, &Error{Err: err}
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	p.recordActivity(t)
	w := p.startWatchdog(ctx, c)
	fail := func(sent bool, err error) (*Response, error) {
		stop()
		silent := w.stop()
		p.discard(c)
		switch {
		case ctx.Err() != nil:
			err = ctx.Err()
		case silent:
			err = ErrSilent
		}
		return nil, &Error{Sent: sent, Reused: c.reused, Err: err}
	}
	if sent, err := r.write(c); err != nil {
		return fail(sent, fmt.Errorf("send request: %w", err))
	}
	res, err := c.readHeader(r) //nolint:bodyclose // Response.Body closes it.
	if err != nil {
		return fail(true, err)
	}
	p.recordActivity(t)
	c.recordAnswer(r.ID, res.StatusCode)
	b := &body{pool: p, conn: c, stop: stop, watchdog: w, res: res, ctx: ctx}
	framed := res.ContentLength >= 0 || chunked(res)
	b.reusable = r.ID != "" && !res.Close && framed
	c.end.marksEnd = !framed
	c.idleTimeout = idleTimeout(res.Header)
	return &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		Framed: framed, Body: b, Reused: c.reused,
	}, nil
}

// write writes the request in the HTTP/1.1 wire format and reports whether any byte was written.
func (r *Request) write(w io.Writer) (sent bool, err error) {
	joined := len(r.Body) <= maxJoinedBody
	head := r.encodeHeader()
	if joined {
		head = append(head, r.Body...)
	}
	n, err := w.Write(head)
	if err == nil && !joined {
		_, err = w.Write(r.Body)
	}
	return n > 0, err
}

// encodeHeader returns the header with room for a short body.
func (r *Request) encodeHeader() []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxJoinedBody))
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if r.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHeader reads the status line and header of the response to r. It skips late
// complete responses to earlier requests, which it detects by IDHeader.
func (c *conn) readHeader(r *Request) (*http.Response, error) {
	method := &http.Request{Method: r.Method}
	defer c.limit.lift()
	for range maxResponses {
		c.limit.set(maxHeaderBytes)
		res, err := http.ReadResponse(c.r, method)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if err := CheckStatus(res.StatusCode); err != nil {
			return nil, err
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
		c.limit.set(maxSkippedBytes)
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, fmt.Errorf("skip answer of request %q: %w", got, err)
		}
	}
	return nil, errors.New("too many answers of other requests")
}

// CheckStatus returns an error if the status is none that a target may answer with (RFC 9110, section 15).
// What follows such a header can't be told apart from an answer either. No request asks for another
// protocol.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("answer with status %03d", status)
	}
	return nil
}

func chunked(res *http.Response) bool {
	return len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

// idleTimeout returns how long the connection may be reused after the response.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return time.Duration(n)*time.Second - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}

// body is the body of a response. Closing it returns the connection to the pool if the
// body was read to its end.
type body struct {
	pool *Pool
	conn *conn
	stop func() bool
	// watchdog is stopped before the connection is returned to the pool.
	watchdog *watchdog
	res      *http.Response
	ctx      context.Context
	// reusable reports whether the connection may be reused after the end of the body.
	reusable bool
	// atEOF reports whether the body was read to its end.
	atEOF bool
	// closed reports whether the body was closed.
	closed bool
}

// Read implements io.Reader. If the body is framed, it returns io.EOF only after the whole
// body: a connection that ends earlier yields another error. An unframed body ends with the
// connection, unless that is reset; see CheckEnd.
func (b *body) Read(dst []byte) (int, error) {
	n, err := b.res.Body.Read(dst)
	if n > 0 {
		b.pool.recordActivity(b.conn.target)
	}
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.atEOF = true
	case err != nil && b.ctx.Err() != nil:
		err = b.ctx.Err()
	case err != nil && b.watchdog.aborted():
		err = ErrSilent
	}
	return n, err
}

// Close returns the connection to the pool, or closes it if it can't be reused, for
// example because the body was not read to its end.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	live := b.stop()
	silent := b.watchdog.stop()
	if b.atEOF && b.reusable && live && !silent && b.ctx.Err() == nil {
		_ = b.conn.SetDeadline(time.Time{})
		b.pool.put(b.conn)
		return nil
	}
	b.pool.discard(b.conn)
	return nil
}

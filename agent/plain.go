package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/dghubble/sling"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/wire"
)

// plainClient is a client for a plain HTTP service.
type plainClient struct {
	base      *url.URL
	transport http.RoundTripper
}

func newPlainClient(base *url.URL) *plainClient {
	return &plainClient{base: base, transport: newTransport()}
}

// hopByHopHeaders are the headers that concern a single connection or the framing of a
// message, and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// idempotencyHeaders are the headers that make net/http resend a request after its
// connection breaks.
var idempotencyHeaders = map[string]bool{"Idempotency-Key": true, "X-Idempotency-Key": true}

// checkHealth checks the service's health endpoint. It returns an error if the service is
// down, and reports whether it is leaving.
func (p *plainClient) checkHealth(ctx context.Context) (leaving bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := sling.New().Base(p.base.String()).Get("/healthz").Request()
	if err != nil {
		return false, fmt.Errorf("build health request: %w", err)
	}
	resp, err := p.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return false, fmt.Errorf("read service health: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return false, fmt.Errorf("read service health: %w", err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return false, nil
	case resp.StatusCode == http.StatusServiceUnavailable && bytes.Contains(body, []byte("leaving")):
		return true, nil
	}
	return false, fmt.Errorf("read service health: status %d", resp.StatusCode)
}

// buildRequest builds the HTTP request for r.
func (p *plainClient) buildRequest(ctx context.Context, r *wire.RunRequest, claimed bool) (*http.Request, error) {
	path, err := url.ParseRequestURI(r.GetPath())
	if err != nil || path.Host != "" || !strings.HasPrefix(r.GetPath(), "/") {
		return nil, fmt.Errorf("%q is not a path", r.GetPath())
	}
	u := *p.base
	u.Path, u.RawPath, u.RawQuery = path.Path, path.RawPath, path.RawQuery
	var body io.Reader
	if len(r.GetBody()) > 0 {
		body = bodyReader(r.GetBody(), claimed)
	}
	req, err := http.NewRequestWithContext(ctx, r.GetMethod(), u.String(), body)
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	req.ContentLength = int64(len(r.GetBody()))
	for _, h := range r.GetHeaders() {
		name := textproto.CanonicalMIMEHeaderKey(h.GetName())
		if hopByHopHeaders[name] || claimed && idempotencyHeaders[name] {
			continue
		}
		req.Header.Add(name, h.GetValue())
	}
	if r.GetContentType() != "" {
		req.Header.Set("Content-Type", r.GetContentType())
	}
	if tp := daemon.TraceParent(ctx); tp != "" {
		req.Header.Set("Traceparent", tp)
	}
	return req, nil
}

// call sends a request and returns the response, whose body the caller must close.
func (p *plainClient) call(ctx context.Context, r *wire.RunRequest, claimed bool) (*http.Response, error) {
	req, err := p.buildRequest(ctx, r, claimed)
	if err != nil {
		return nil, &refusedError{reason: wire.Reason_REASON_BAD_REQUEST, message: err.Error()}
	}
	var conn atomic.Pointer[endingConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(endingConnOf(info.Conn)) }}
	resp, err := sendOnce(p.transport, req.WithContext(httptrace.WithClientTrace(ctx, trace)), claimed)
	if err != nil {
		return nil, err
	}
	checkEnd(resp, conn.Load())
	if err := relay.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkEnd makes the end of an answer without a length, which is that of its connection, count only if the
// connection is not reset. conn is the connection of the answer; nil if it is not known.
func checkEnd(resp *http.Response, conn *endingConn) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && conn != nil {
		conn.marksEnd.Store(true)
	}
}

// sendOnce sends req without following redirects. A claimed request uses a connection
// of its own, on which net/http cannot resend it. If it is certain that nothing was
// sent, the error is a *notSentError.
func sendOnce(shared http.RoundTripper, req *http.Request, claimed bool) (*http.Response, error) {
	if !claimed {
		resp, err := shared.RoundTrip(req)
		if err != nil && isDialError(err) {
			err = &notSentError{err}
		}
		return resp, err
	}
	// The request does not set "Connection: close": a Go server would then not read the
	// rest of the request body, and the resulting TCP reset would discard the response.
	tr := newSingleConnTransport()
	tr.trackWrites.Store(true)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		if !tr.written.Load() {
			err = &notSentError{err}
		}
		return nil, err
	}
	resp.Body = &connClosingBody{ReadCloser: resp.Body, transport: tr}
	return resp, nil
}

// connClosingBody is a response body that closes the connection of its single-connection
// transport.
type connClosingBody struct {
	io.ReadCloser
	transport *singleConnTransport
}

// Close implements io.Closer.
func (b *connClosingBody) Close() error {
	err := b.ReadCloser.Close()
	b.transport.CloseIdleConnections()
	return err
}

// responseHeaders returns the headers of resp that are forwarded.
func responseHeaders(resp *http.Response) []*wire.Header {
	var out []*wire.Header
	for name, values := range resp.Header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

// bodyReader returns a reader of body. For a claimed request it hides the concrete type,
// because http.NewRequest sets GetBody for the types it knows, and GetBody allows
// net/http to resend the request.
func bodyReader(body []byte, claimed bool) io.Reader {
	if claimed {
		return struct{ io.Reader }{bytes.NewReader(body)}
	}
	return bytes.NewReader(body)
}

// isNotSent reports whether err guarantees that nothing was sent.
func isNotSent(err error) bool {
	var ns *notSentError
	return errors.As(err, &ns)
}

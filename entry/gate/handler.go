package gate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
	// drainRetry is the Retry-After of requests that are refused because this instance
	// is shutting down. It is short, since another instance can serve them at once.
	drainRetry = 10 * time.Millisecond
	// configWait is how long a request waits for the first configuration after startup.
	configWait = 1500 * time.Millisecond
	// defaultBody is the request body limit if the configuration sets none, in bytes.
	defaultBody = 4 << 20
)

// call is the state of one client request.
type call struct {
	g       *Gate
	w       http.ResponseWriter
	r       *http.Request
	id      string
	index   *site.Index
	route   *site.Route
	service *site.Service
	prompt  steer.Request
	out     *relay.Request

	arrived time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	// attempts counts the sends after which a target may have run the request.
	attempts int
	// ran counts the attempts that ended without a complete response.
	ran int
	// to is the destination of the current send. It is copied when the target is
	// chosen, because the target's record may change at any time.
	to place
	// tried holds the ids of targets that are excluded from selection.
	tried map[string]bool
	// kept is the server error of a target, to be sent if no other target gives a
	// better response.
	kept *keptAnswer
	// counted is true once the request was counted as demand for its model.
	counted bool
	// sent is true once the response header was written to the client.
	sent bool
	// lastEvent is the id of the last event forwarded; it is valid if hasEvent is true.
	lastEvent uint64
	hasEvent  bool
	// decision collects the fields of the request's log line.
	decision decision
}

// place identifies the target process to which a request is sent.
type place struct {
	relay.Target
	born time.Time
	// copyFrom is the target from which the cached prompt is copied; invalid if none.
	copyFrom netip.AddrPort
}

// decision holds the fields of a request's log line.
type decision struct {
	target  string
	wait    time.Duration
	miss    int
	choices int
	waited  time.Duration
	// first is the time to the first output and gap the longest time between two
	// events of a stream, both measured at this instance.
	first, gap time.Duration
	// gapAt is the time from the request's arrival to the end of that gap.
	gapAt time.Duration
	// prompt is the work in progress at the target when it was chosen, in prompt tokens.
	prompt  int
	running int
	status  int
	outcome string
	reason  string
}

// failure describes the response to a request that ends without a target's response.
type failure struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header; 0 omits it.
	retryAfter time.Duration
}

// ServeHTTP forwards a request to a target.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{g: g, w: w, r: r, arrived: time.Now(), tried: make(map[string]bool)}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	f := c.read()
	if f == nil {
		f = c.blocked()
	}
	if f == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		f = c.dispatch(ctx)
	}
	if f != nil && c.kept != nil && !c.sent && r.Context().Err() == nil {
		c.pass(c.kept.answer, c.kept.body)
		f = nil
	}
	c.finish(f)
}

// read validates the request, finds its route and service, and prepares the request
// for the target.
func (c *call) read() *failure {
	c.id = c.r.Header.Get(c.g.headers.RequestID)
	c.index = c.g.awaitConfig(c.r.Context())
	if c.index == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: time.Second}
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.index.Route(c.r.Host, path)
	if c.route == nil {
		return &failure{status: http.StatusNotFound, reason: "no route"}
	}
	if c.id == "" {
		return &failure{status: http.StatusBadRequest, reason: "no request id"}
	}
	if limit := c.index.Config.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return &failure{status: http.StatusRequestHeaderFieldsTooLarge, reason: fmt.Sprintf("header exceeds %d bytes", limit)}
	}
	if c.route.Kind == site.Stream && c.g.draining.Load() {
		// A stream may take longer than the time until this process is killed.
		return &failure{status: http.StatusServiceUnavailable, reason: "shutting down", retryAfter: drainRetry}
	}
	if f := c.readDeadline(); f != nil {
		return f
	}
	var err error
	if c.prompt, err = c.g.describe(c.r.Header); err != nil {
		return &failure{status: http.StatusBadRequest, reason: err.Error()}
	}
	return c.readBody()
}

// headerBytes returns the size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// awaitConfig returns the active configuration. It waits for the first one after
// startup and returns nil if none arrives within configWait.
func (g *Gate) awaitConfig(ctx context.Context) *site.Index {
	if x := g.index.Load(); x != nil {
		return x
	}
	select {
	case <-g.configured:
	case <-ctx.Done():
	case <-time.After(configWait):
	}
	return g.index.Load()
}

func (c *call) readDeadline() *failure {
	wait := defaultDeadline
	if text := c.r.Header.Get(c.g.headers.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return &failure{status: http.StatusBadRequest, reason: fmt.Sprintf("deadline %q is not a number of milliseconds", text)}
		}
		wait = time.Duration(min(ms, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	}
	c.deadline = c.arrived.Add(min(wait, c.route.Timeout))
	return nil
}

func (c *call) readBody() *failure {
	limit := c.index.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, int64(limit)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &failure{status: http.StatusRequestEntityTooLarge, reason: fmt.Sprintf("body exceeds %d bytes", limit)}
	case err != nil:
		return &failure{status: http.StatusBadRequest, reason: fmt.Sprintf("read body: %v", err)}
	}
	hasBody := c.r.ContentLength != 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut ||
		c.r.Method == http.MethodPatch
	c.out = &relay.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: c.forwarded(),
		Body: body, HasBody: hasBody, IDHeader: c.g.headers.RequestID, ID: c.id,
	}
	c.service = c.index.Service(c.route.Pick(rand.Float64(), c.unserved))
	if c.service == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "route names no service", retryAfter: time.Second}
	}
	if c.service.Engine == nil {
		c.prompt = steer.Request{}
	}
	return nil
}

// unserved reports whether the service has no ready target.
func (c *call) unserved(service string) bool {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	for _, t := range c.g.fleet.services[service] {
		if t.Ready {
			return false
		}
	}
	return true
}

// connectionHeaders are hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Proxy-Authorization", "Proxy-Authenticate", "Expect",
}

// forwarded returns the client's headers that are sent to the target.
func (c *call) forwarded() http.Header {
	h := endToEnd(c.r.Header)
	for _, name := range c.g.headers.Reserved {
		h.Del(name)
	}
	return h
}

// endToEnd returns a copy of the headers without the hop-by-hop headers.
func endToEnd(from http.Header) http.Header {
	h := from.Clone()
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	return h
}

// finish logs the request and, if it failed, responds with the failure.
func (c *call) finish(f *failure) {
	d := &c.decision
	if f != nil {
		d.status, d.reason = f.status, f.reason
	}
	if f == nil && d.outcome == "" {
		d.outcome = "answered"
	}
	if f != nil && d.outcome == "" {
		d.outcome = "failed"
	}
	c.log()
	c.g.met.done(d, time.Since(c.arrived))
	switch {
	case f == nil:
	case c.sent:
		// Aborts the connection, so that the client does not take the partial response
		// for a complete one.
		panic(http.ErrAbortHandler)
	default:
		c.refuse(f)
	}
}

func (c *call) refuse(f *failure) {
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if c.id != "" {
		h.Set(c.g.headers.RequestID, c.id)
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	body := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(f.status)
	_, _ = io.WriteString(c.w, body)
}

func (c *call) log() {
	d := &c.decision
	e := c.g.log.Info()
	if d.status >= http.StatusInternalServerError {
		e = c.g.log.Warn()
	}
	e = e.Str("event", "request").Str("id", c.id).Str("outcome", d.outcome).Int("status", d.status)
	if c.route != nil {
		e = e.Str("route", c.route.Name).Uint64("config", c.index.Config.Version)
	}
	if c.prompt.Model != "" {
		e = e.Str("model", c.prompt.Model).Str("adapter", c.prompt.Adapter).Int("miss", d.miss)
	}
	if d.target != "" {
		e = e.Str("target", d.target).Dur("expected", d.wait).Int("choices", d.choices)
	}
	if c.route != nil && c.route.Kind == site.Stream {
		e = e.Dur("gap", d.gap).Dur("gapAt", d.gapAt).Int("promptAhead", d.prompt).Int("runningAhead", d.running)
	}
	e.Int("attempts", c.attempts).Dur("held", d.waited).Dur("first", d.first).Dur("took", time.Since(c.arrived)).Str("reason", d.reason).Msg("")
}

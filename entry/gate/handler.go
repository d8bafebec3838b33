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
	// defaultDeadline bounds a request whose client names no deadline.
	defaultDeadline = 30 * time.Second
	// drainRetry is when a client may come back that an instance refused because it
	// stops; another instance serves it at once.
	drainRetry = 10 * time.Millisecond
	// configWait is how long a request waits for the first configuration after a start.
	configWait = 1500 * time.Millisecond
	// defaultBody bounds a body while the configuration names no limit, in bytes.
	defaultBody = 4 << 20
)

// call is one request of a client on its way through this instance.
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
	// deadline is when the client or the route gives up.
	deadline time.Time
	// attempts counts the targets that may have run the request.
	attempts int
	// ran counts attempts after which the request may have run.
	ran int
	// to is where the request goes now, as of the choice: the record of a target may
	// change at any time.
	to place
	// tried holds the targets not to be chosen again.
	tried map[string]bool
	// kept is the failure of a target that waits for a better answer.
	kept *keptAnswer
	// counted says that the request counts as demand for its model.
	counted bool
	// sent says that the head of the answer has gone to the client.
	sent bool
	// lastEvent is the id of the last event passed on; hasEvent says that there is one.
	lastEvent uint64
	hasEvent  bool
	// decision collects what decided, for the log.
	decision decision
}

// place is the process of a target to which a request goes.
type place struct {
	relay.Target
	born time.Time
	// copyFrom is the target from which it copies the cached prompt; invalid if none.
	copyFrom netip.AddrPort
}

// decision is what the log line of a request tells.
type decision struct {
	target  string
	wait    time.Duration
	miss    int
	choices int
	waited  time.Duration
	// first is the time to the first output, gap the longest pause between two
	// events of a stream, both as this instance saw them.
	first, gap time.Duration
	// gapAt is the time from the arrival to the end of that pause.
	gapAt time.Duration
	// prompt is the work that was under way at the target, in prompt tokens.
	prompt  int
	running int
	status  int
	outcome string
	reason  string
}

// failure is a request that ends without the answer of a target.
type failure struct {
	status int
	reason string
	// retryAfter is when the client may come back; 0 names no time.
	retryAfter time.Duration
}

// ServeHTTP passes one request to a target.
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

// read checks the request and finds its route.
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
		// A stream may last longer than the time until this process is killed.
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

// headerBytes is the size of a request's head as it stood on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n ") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// awaitConfig returns the configuration in effect, nil if none arrives in time.
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

// unserved says that no target of the service is known.
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

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Proxy-Authorization", "Proxy-Authenticate", "Expect",
}

// forwarded returns the headers of the client that go to the target.
func (c *call) forwarded() http.Header {
	h := endToEnd(c.r.Header)
	for _, name := range c.g.headers.Reserved {
		h.Del(name)
	}
	return h
}

// endToEnd copies the headers without those of one connection.
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

// finish answers a request that failed here, and writes its log line.
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
		// The connection is cut, so that the answer does not look complete.
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

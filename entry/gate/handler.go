package gate

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bulrushpath.example/lib/fair"
	"bulrushpath.example/lib/keys"
	"bulrushpath.example/lib/relay"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/steer"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
	// drainRetryAfter is the Retry-After of requests that are refused because this
	// instance is shutting down. It is short, since another instance can serve them at
	// once.
	drainRetryAfter = 10 * time.Millisecond
	// staleRetryAfter is the Retry-After of a request that only a newer configuration may
	// allow. Other instances may have contact to control, and this one has it again within
	// an election.
	staleRetryAfter = 500 * time.Millisecond
	// configTimeout is how long a request waits for the first configuration after
	// startup.
	configTimeout = 1500 * time.Millisecond
	// defaultMaxBodyBytes is the request body limit if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
)

// call is the state of one client request.
type call struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	id      string
	index   *site.Index
	route   *site.Route
	service *site.Service
	// customer is nil if the request needs no API key; key is the digest of its key.
	customer *site.Customer
	key      keys.Digest
	prompt   steer.Request
	// parts are those of prompt.
	parts    promptParts
	outbound *relay.Request

	arrivedAt time.Time
	// deadline is the earlier of the client's deadline and the route's timeout.
	deadline time.Time
	// permitted is true if the current send has a permit, which a target with a limit needs.
	permitted bool
	// permitRequests counts the permits for which the request has asked, and retryAfter is
	// the wait for the next one as of the latest refusal.
	permitRequests int
	retryAfter     time.Duration
	// lastResort is true if the best target has named a limit and the request would have to
	// wait for too long there.
	lastResort bool
	// resumesAt is the earliest end of the pause of a target that could take the request; zero
	// if none is paused.
	resumesAt time.Time
	// onTrial is true once the request has used the trials of its suspect parts.
	onTrial bool
	// arrivals counts the sends of which a target may have received a part.
	arrivals int
	// attempts counts the sends after which a target may have run the request.
	attempts int
	// incompleteAttempts counts the attempts that ended without a complete response.
	incompleteAttempts int
	// dest is the destination of the current send. It is copied when the target is
	// chosen, because the target's record may change at any time.
	dest destination
	// admitted is the request as lib/fair has admitted it; nil if it has not.
	admitted *fair.Request
	// tried holds the ids of targets that are excluded from selection.
	tried map[string]bool
	// fallback is the server error of a target, to be sent if no other target gives a
	// better response.
	fallback *bufferedResponse
	// confirming is true while the request waits for the health check of a target.
	confirming bool
	// declared reports whether the service declares the model of the request. Only then the request
	// is demand: control must not be told of names that clients make up.
	declared bool
	// counted is true once the request was counted as demand for its model.
	counted bool
	// headerSent is true once the response header was written to the client.
	headerSent bool
	// passedOn is true once the beginning of a response that can't be resumed was written to the
	// client.
	passedOn bool
	// body holds the body of the request.
	body bodyBuffer
	// lastEvent is the id of the last event forwarded; it is valid if hasEvent is true.
	lastEvent uint64
	hasEvent  bool
	// hasOutput is set once the target of the current send has begun to answer.
	hasOutput bool
	// quota is the state of the request's charge to the quota of its customer.
	quota quotaCharge
	// record collects the fields of the request's log line.
	record requestRecord
}

// destination identifies the target process to which a request is sent.
type destination struct {
	relay.Target
	startedAt time.Time
	// copyFrom is the target from which the cached prompt is copied; invalid if none.
	copyFrom netip.AddrPort
}

// ServeHTTP forwards a request to a target.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	c := &call{gateway: g, w: w, r: r, arrivedAt: time.Now(), tried: make(map[string]bool)}
	c.body.budget = &g.requestBudget
	defer c.body.release()
	defer c.returnQuota()
	if g.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	f := c.prepare()
	if f == nil {
		f = c.checkBlocked()
	}
	if f == nil {
		ctx, cancel := g.requestContext(r.Context(), c.deadline)
		defer cancel()
		f = c.dispatch(ctx)
	}
	if f != nil && c.fallback != nil && !c.headerSent && r.Context().Err() == nil {
		c.writeBuffered(c.fallback.answer, c.fallback.body)
		f = nil
	}
	c.finish(f)
}

// prepare validates the request, finds its route and service, and prepares the request
// for the target.
func (c *call) prepare() *failure {
	c.id = c.r.Header.Get(c.gateway.headers.RequestID)
	c.index = c.gateway.awaitConfig(c.r.Context())
	if c.index == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: time.Second}
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.index.Route(c.r.Host, path)
	if c.route == nil {
		return c.refuseByConfig(http.StatusNotFound, "no route")
	}
	if c.id == "" {
		return &failure{status: http.StatusBadRequest, reason: "no request id"}
	}
	if limit := c.index.Config.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		return c.refuseByConfig(http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("header exceeds %d bytes", limit))
	}
	if f := c.authenticate(); f != nil {
		return f
	}
	if f := c.parseDeadline(); f != nil {
		return f
	}
	if f := c.checkDraining(); f != nil {
		return f
	}
	var err error
	if c.prompt, err = c.gateway.describePrompt(c.r.Header); err != nil {
		return &failure{status: http.StatusBadRequest, reason: err.Error()}
	}
	if !utf8.ValidString(c.prompt.Model) || !utf8.ValidString(c.prompt.Adapter) {
		// Messages to control could not hold it.
		return &failure{status: http.StatusBadRequest, reason: "the name of the model is not UTF-8"}
	}
	if f := c.checkQuota(); f != nil {
		return f
	}
	return c.prepareOutbound()
}

// refuseByConfig returns a refusal for good, which the configuration demands. If a newer
// configuration may be in effect, it only says that this instance cannot tell.
func (c *call) refuseByConfig(status int, reason string) *failure {
	current := c.gateway.contact.Age() <= c.gateway.maxConfigAge && c.gateway.index.Load() == c.index
	if current {
		return &failure{status: status, reason: reason}
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: reason + " in a configuration that may be outdated", retryAfter: staleRetryAfter,
	}
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
// startup and returns nil if none arrives within configTimeout.
func (g *Gateway) awaitConfig(ctx context.Context) *site.Index {
	if x := g.index.Load(); x != nil {
		return x
	}
	select {
	case <-g.firstConfig:
	case <-ctx.Done():
	case <-time.After(configTimeout):
	}
	return g.index.Load()
}

func (c *call) parseDeadline() *failure {
	wait := defaultDeadline
	if text := c.r.Header.Get(c.gateway.headers.Deadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return &failure{status: http.StatusBadRequest, reason: fmt.Sprintf("deadline %q is not a number of milliseconds", text)}
		}
		wait = time.Duration(min(ms, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	}
	c.deadline = c.arrivedAt.Add(min(wait, c.route.Timeout))
	return nil
}

func (c *call) prepareOutbound() *failure {
	limit := c.index.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	whole, err := c.readBody(limit)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return c.refuseByConfig(http.StatusRequestEntityTooLarge, fmt.Sprintf("body exceeds %d bytes", limit))
	case err != nil && c.gateway.stopped.Err() != nil:
		return c.stopFailure()
	case err != nil:
		return &failure{status: http.StatusBadRequest, reason: fmt.Sprintf("read body: %v", err)}
	case !whole:
		return &failure{status: http.StatusServiceUnavailable, reason: "too many long bodies at the same time", retryAfter: defaultRetryAfter}
	}
	hasBody := c.r.ContentLength != 0 || c.r.Method == http.MethodPost || c.r.Method == http.MethodPut ||
		c.r.Method == http.MethodPatch
	c.outbound = &relay.Request{
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: c.forwardedHeader(),
		Body: c.body.data, HasBody: hasBody, IDHeader: c.gateway.headers.RequestID, ID: c.id,
		BeforeSend: c.beforeSend,
	}
	c.service = c.index.Service(c.route.Pick(rand.Float64(), c.hasNoReadyTarget))
	if c.service == nil {
		return &failure{status: http.StatusServiceUnavailable, reason: "route names no service", retryAfter: time.Second}
	}
	if c.service.Engine == nil {
		c.prompt = steer.Request{DeclaredTokens: c.prompt.DeclaredTokens}
		return nil
	}
	c.declared = c.service.Engine.Model(c.prompt.Model) != nil
	c.parts = c.findParts()
	return nil
}

// hasNoReadyTarget reports whether the service has no ready target.
func (c *call) hasNoReadyTarget(service string) bool {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	for _, t := range c.gateway.fleet.services[service] {
		if t.Ready {
			return false
		}
	}
	return true
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Proxy-Authorization", "Proxy-Authenticate", "Expect",
}

// forwardedHeader returns the client's headers that are sent to the target.
func (c *call) forwardedHeader() http.Header {
	h := endToEndHeader(c.r.Header)
	for _, name := range c.gateway.headers.Reserved {
		h.Del(name)
	}
	if c.index.Config.KeysRequired {
		h.Del(headerAuthorization)
	}
	return h
}

// endToEndHeader returns a copy of the headers without the hop-by-hop headers.
func endToEndHeader(from http.Header) http.Header {
	h := from.Clone()
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	return h
}

package entry

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

// requestParser parses and validates one kind of request.
type requestParser func(w http.ResponseWriter, r *http.Request, index *configIndex) (*clientRequest, *failure)

// handleRequest serves one request of the caller API.
func (s *server) handleRequest(w http.ResponseWriter, r *http.Request, parse requestParser) {
	startedAt := time.Now()
	s.activeRequests.Add(1)
	s.lastRequest.Store(startedAt.UnixNano())
	defer s.activeRequests.Add(-1)
	ctx, span := s.tracer.Start(daemon.WithTraceParent(r.Context(), r.Header.Get("Traceparent")), "request",
		trace.WithAttributes(attribute.String("method", r.Method), attribute.String("path", r.URL.Path)))
	defer span.End()
	traceID := span.SpanContext().TraceID().String()
	w.Header().Set(headerTrace, traceID)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, f := s.parseRequest(w, r, parse)
	var rw *responseWriter
	if f == nil {
		rw = newResponseWriter(w, c, traceID, s.cfg.WriteTimeout)
		rw.closeAfter = &s.draining
		f = s.runRequest(ctx, c, rw)
	}
	s.recordOutcome(span, traceID, c, f, time.Since(startedAt))
	switch {
	case f == nil:
	case rw == nil:
		f.write(w, traceID)
	default:
		rw.fail(f)
	}
}

// parseRequest parses and validates a request.
func (s *server) parseRequest(w http.ResponseWriter, r *http.Request, parse requestParser) (*clientRequest, *failure) {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 cannot distinguish a truncated response from a complete one.
		return nil, reject(http.StatusHTTPVersionNotSupported, "badProtocol", "want HTTP/1.1")
	}
	if f := validateHeaders(r.Header, int(s.cfg.MaxHeader)); f != nil {
		return nil, f
	}
	index := s.config.Load()
	if index == nil {
		return nil, reject(http.StatusServiceUnavailable, "notReady", "there is no configuration yet").withRetryAfter(defaultRetryAfter)
	}
	c, f := parse(w, r, index)
	if f != nil && f.status == http.StatusNotFound && !s.controlReachable() {
		// A newer configuration may have what this one lacks.
		return nil, reject(http.StatusServiceUnavailable, "notReady", "%s in a configuration that may be outdated", f.message).
			withRetryAfter(defaultRetryAfter)
	}
	return c, f
}

// parseGenerate parses and validates a request for a model.
func (s *server) parseGenerate(w http.ResponseWriter, r *http.Request, index *configIndex) (*clientRequest, *failure) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return nil, reject(http.StatusMethodNotAllowed, "badMethod", "want POST")
	}
	name, adapter := r.Header.Get("Bulrush-Model"), r.Header.Get("Bulrush-Adapter")
	if name == "" {
		return nil, invalidHeader("Bulrush-Model", "the name of a model")
	}
	m := index.models[name]
	if m == nil {
		return nil, reject(http.StatusNotFound, "unknownModel", "there is no model %q", name)
	}
	if adapter != "" && !hasAdapter(m, adapter) {
		return nil, reject(http.StatusNotFound, "unknownAdapter", "model %q has no adapter %q", name, adapter)
	}
	c := &clientRequest{
		key:     route.Key{Model: name, Adapter: adapter},
		version: m.GetVersion(), team: m.GetTeam(), priority: m.GetPriority(),
		method: r.Method, path: r.URL.Path,
		eventStream: acceptsEventStream(r.Header),
	}
	if f := c.parseHeaders(r.Header, s.cfg, index.deadline(), time.Now()); f != nil {
		return nil, f
	}
	if f := c.parseClaimHeaders(r.Header); f != nil {
		return nil, f
	}
	body, f := readBody(w, r, s.cfg)
	if f != nil {
		return nil, f
	}
	if f := c.parsePrompt(r.Header.Get("Content-Type"), body); f != nil {
		return nil, f
	}
	c.computeHashes()
	return c, nil
}

// parseServiceCall parses and validates a call to a plain service.
func (s *server) parseServiceCall(w http.ResponseWriter, r *http.Request, index *configIndex) (*clientRequest, *failure) {
	escaped, _ := strings.CutPrefix(r.URL.EscapedPath(), "/v1/call/")
	name, path, _ := strings.Cut(escaped, "/")
	name, err := url.PathUnescape(name)
	if err != nil {
		return nil, reject(http.StatusBadRequest, "badPath", "the name of the service is malformed")
	}
	svc := index.services[name]
	if svc == nil {
		return nil, reject(http.StatusNotFound, "unknownService", "there is no service %q", name)
	}
	decoded, f := decodePath(path)
	if f != nil {
		return nil, f
	}
	path = "/" + path
	rt := index.matchRoute(svc, r.Method, decoded)
	if rt == nil {
		return nil, reject(http.StatusNotFound, "unknownRoute", "service %q has no route for %s %s", name, r.Method, path)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	c := &clientRequest{
		key: route.Key{Service: name}, plainService: true, team: svc.GetTeam(), priority: svc.GetPriority(),
		method: r.Method, path: path, isHead: r.Method == http.MethodHead,
		eventStream: acceptsEventStream(r.Header), contentType: r.Header.Get("Content-Type"),
	}
	if f := c.parseHeaders(r.Header, s.cfg, index.deadline(), time.Now()); f != nil {
		return nil, f
	}
	c.idempotent = c.idempotent && !rt.GetNonIdempotent()
	if f := c.parseClaimHeaders(r.Header); f != nil {
		return nil, f
	}
	if c.body, f = readBody(w, r, s.cfg); f != nil {
		return nil, f
	}
	c.copyForwardedHeaders(r.Header)
	c.computeHashes()
	return c, nil
}

// decodePath returns the unescaped path, which routes are matched against. It rejects
// paths that a service might resolve to a different one: with dot segments, empty
// segments or escaped slashes.
func decodePath(escaped string) (string, *failure) {
	segments := strings.Split(escaped, "/")
	decoded := ""
	for i, seg := range segments {
		p, err := url.PathUnescape(seg)
		if err != nil || p == "." || p == ".." || strings.ContainsAny(p, "/\\\x00") || p == "" && i < len(segments)-1 {
			return "", reject(http.StatusBadRequest, "badPath", "the path has an empty, dot or malformed segment")
		}
		decoded += "/" + p
	}
	return decoded, nil
}

func acceptsEventStream(h http.Header) bool {
	return strings.Contains(h.Get("Accept"), "text/event-stream")
}

// runRequest runs a validated request. It returns nil if the whole response was
// written.
func (s *server) runRequest(ctx context.Context, c *clientRequest, rw *responseWriter) *failure {
	hedgePercent := uint32(0)
	if index := s.config.Load(); index != nil {
		hedgePercent = index.hedgePercent()
	}
	s.routing.countRequest(c, hedgePercent)
	if !c.idempotent {
		// A claimed request continues even if its caller disconnects: the response is
		// stored for the next try of the caller.
		ctx = context.WithoutCancel(ctx)
		stored, f := s.acquireClaim(ctx, c)
		if f != nil {
			return f
		}
		if stored != nil {
			s.metrics.replayed.Inc(1)
			return rw.sendStored(stored)
		}
	}
	d := &dispatcher{s: s, c: c, rw: rw, ctx: ctx, deadline: c.deadline}
	f := d.run()
	d.releasePermit(d.completed)
	if f != nil && f.outcome == outcomeNotRun {
		if !c.idempotent {
			s.releaseClaim(c)
		}
		if f.status == http.StatusServiceUnavailable {
			s.routing.countUnserved(c)
		}
	}
	return f
}

// recordOutcome logs a request and counts its outcome.
func (s *server) recordOutcome(span trace.Span, traceID string, c *clientRequest, f *failure, took time.Duration) {
	outcome := outcomeCompleted
	e := s.log.Debug()
	if f != nil {
		outcome = f.outcome
		if f.status >= 500 && !errors.Is(f.cause, errCallerGone) {
			e = s.log.Warn()
		}
		span.SetStatus(codes.Error, f.code)
	}
	s.metrics.outcomes[outcome].Inc(1)
	if e == nil {
		return
	}
	e = e.Str("event", "request").Str("trace", traceID).Str("outcome", outcome).Dur("took", took)
	if c != nil {
		e = e.Str("model", c.key.Model).Str("service", c.key.Service)
	}
	if f != nil {
		e = e.Str("code", f.code).Int("status", f.status).Err(f)
	}
	e.Msg("")
}

// sendStored replays the stored response of a request that completed before.
func (rw *responseWriter) sendStored(stored *wire.StoredAnswer) *failure {
	rw.w.Header().Set(headerReplayed, "true")
	status := int(stored.GetStatus())
	if status < 200 || status > 599 {
		status = http.StatusOK
	}
	if err := rw.sendComplete(status, stored.GetContentType(), stored.GetBody()); err != nil {
		return (&failure{status: 499, code: "callerGone", outcome: outcomeCompleted}).withCause(err)
	}
	return nil
}

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

// reader parses and validates one kind of request.
type reader func(w http.ResponseWriter, r *http.Request, cat *catalog) (*call, *fault)

// serve handles one request of a caller.
func (s *server) serve(w http.ResponseWriter, r *http.Request, read reader) {
	begun := time.Now()
	s.active.Add(1)
	s.arrived.Store(begun.UnixNano())
	defer s.active.Add(-1)
	ctx, span := s.tracer.Start(daemon.WithTraceParent(r.Context(), r.Header.Get("Traceparent")), "request",
		trace.WithAttributes(attribute.String("method", r.Method), attribute.String("path", r.URL.Path)))
	defer span.End()
	id := span.SpanContext().TraceID().String()
	w.Header().Set(headerTrace, id)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, f := s.read(w, r, read)
	var a *answer
	if f == nil {
		a = newAnswer(w, c, id, s.cfg.WriteTimeout)
		a.draining = &s.draining
		f = s.answer(ctx, c, a)
	}
	s.record(span, id, c, f, time.Since(begun))
	switch {
	case f == nil:
	case a == nil:
		f.write(w, id)
	default:
		a.fail(f)
	}
}

// read parses and validates a request.
func (s *server) read(w http.ResponseWriter, r *http.Request, read reader) (*call, *fault) {
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 cannot distinguish a truncated response from a complete one.
		return nil, refuse(http.StatusHTTPVersionNotSupported, "badProtocol", "want HTTP/1.1")
	}
	if f := checkHeaders(r.Header, int(s.cfg.MaxHeader)); f != nil {
		return nil, f
	}
	cat := s.catalog.Load()
	if cat == nil {
		return nil, refuse(http.StatusServiceUnavailable, "notReady", "there is no configuration yet").after(busyRetry)
	}
	return read(w, r, cat)
}

// readGenerate parses and validates a request for a model.
func (s *server) readGenerate(w http.ResponseWriter, r *http.Request, cat *catalog) (*call, *fault) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		return nil, refuse(http.StatusMethodNotAllowed, "badMethod", "want POST")
	}
	name, adapter := r.Header.Get("Bulrush-Model"), r.Header.Get("Bulrush-Adapter")
	if name == "" {
		return nil, badHeader("Bulrush-Model", "the name of a model")
	}
	m := cat.models[name]
	if m == nil {
		return nil, refuse(http.StatusNotFound, "unknownModel", "there is no model %q", name)
	}
	if adapter != "" && !hasAdapter(m, adapter) {
		return nil, refuse(http.StatusNotFound, "unknownAdapter", "model %q has no adapter %q", name, adapter)
	}
	c := &call{
		key:     route.Key{Model: name, Adapter: adapter},
		version: m.GetVersion(), team: m.GetTeam(), priority: m.GetPriority(),
		method: r.Method, path: r.URL.Path,
		stream: acceptsStream(r.Header),
	}
	if f := c.readHeaders(r.Header, s.cfg, cat.deadline(), time.Now()); f != nil {
		return nil, f
	}
	if f := c.readClaim(r.Header); f != nil {
		return nil, f
	}
	body, f := readBody(w, r, s.cfg)
	if f != nil {
		return nil, f
	}
	if f := c.parsePrompt(r.Header.Get("Content-Type"), body); f != nil {
		return nil, f
	}
	c.fingerprint()
	return c, nil
}

// readCall parses and validates a call to a plain service.
func (s *server) readCall(w http.ResponseWriter, r *http.Request, cat *catalog) (*call, *fault) {
	escaped, _ := strings.CutPrefix(r.URL.EscapedPath(), "/v1/call/")
	name, path, _ := strings.Cut(escaped, "/")
	name, err := url.PathUnescape(name)
	if err != nil {
		return nil, refuse(http.StatusBadRequest, "badPath", "the name of the service is malformed")
	}
	svc := cat.services[name]
	if svc == nil {
		return nil, refuse(http.StatusNotFound, "unknownService", "there is no service %q", name)
	}
	plain, f := cleanPath(path)
	if f != nil {
		return nil, f
	}
	path = "/" + path
	rt := cat.route(svc, r.Method, plain)
	if rt == nil {
		return nil, refuse(http.StatusNotFound, "unknownRoute", "service %q has no route for %s %s", name, r.Method, path)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	c := &call{
		key: route.Key{Service: name}, plain: true, team: svc.GetTeam(), priority: svc.GetPriority(),
		method: r.Method, path: path, head: r.Method == http.MethodHead,
		stream: acceptsStream(r.Header), contentType: r.Header.Get("Content-Type"),
	}
	if f := c.readHeaders(r.Header, s.cfg, cat.deadline(), time.Now()); f != nil {
		return nil, f
	}
	c.idempotent = c.idempotent && !rt.GetNonIdempotent()
	if f := c.readClaim(r.Header); f != nil {
		return nil, f
	}
	if c.body, f = readBody(w, r, s.cfg); f != nil {
		return nil, f
	}
	c.takeHeaders(r.Header)
	c.fingerprint()
	return c, nil
}

// cleanPath returns the unescaped path, which routes are matched against. It rejects
// paths that a service might resolve to a different one: with dot segments, empty
// segments or escaped slashes.
func cleanPath(escaped string) (string, *fault) {
	segments := strings.Split(escaped, "/")
	plain := ""
	for i, seg := range segments {
		p, err := url.PathUnescape(seg)
		if err != nil || p == "." || p == ".." || strings.ContainsAny(p, "/\\\x00") || p == "" && i < len(segments)-1 {
			return "", refuse(http.StatusBadRequest, "badPath", "the path has an empty, dot or malformed segment")
		}
		plain += "/" + p
	}
	return plain, nil
}

func acceptsStream(h http.Header) bool {
	return strings.Contains(h.Get("Accept"), "text/event-stream")
}

// answer runs a validated request. It returns nil if the whole response was written.
func (s *server) answer(ctx context.Context, c *call, a *answer) *fault {
	hedge := uint32(0)
	if cat := s.catalog.Load(); cat != nil {
		hedge = cat.hedgePercent()
	}
	s.routing.countRequest(c, hedge)
	if !c.idempotent {
		// A claimed request continues even if its caller disconnects: the response is
		// stored for the next try of the caller.
		ctx = context.WithoutCancel(ctx)
		stored, f := s.claim(ctx, c)
		if f != nil {
			return f
		}
		if stored != nil {
			s.met.replayed.Inc(1)
			return a.replay(stored)
		}
	}
	r := &run{s: s, c: c, a: a, ctx: ctx, limit: c.deadline}
	f := r.do()
	r.release(r.done)
	if f != nil && f.outcome == outcomeNotRun {
		if !c.idempotent {
			s.unclaim(c)
		}
		if f.status == http.StatusServiceUnavailable {
			s.routing.countUnserved(c)
		}
	}
	return f
}

// record logs a request and counts its outcome.
func (s *server) record(span trace.Span, id string, c *call, f *fault, took time.Duration) {
	outcome := outcomeCompleted
	e := s.log.Debug()
	if f != nil {
		outcome = f.outcome
		if f.status >= 500 && !errors.Is(f.cause, errCallerGone) {
			e = s.log.Warn()
		}
		span.SetStatus(codes.Error, f.code)
	}
	s.met.outcomes[outcome].Inc(1)
	if e == nil {
		return
	}
	e = e.Str("event", "request").Str("trace", id).Str("outcome", outcome).Dur("took", took)
	if c != nil {
		e = e.Str("model", c.key.Model).Str("service", c.key.Service)
	}
	if f != nil {
		e = e.Str("code", f.code).Int("status", f.status).Err(f)
	}
	e.Msg("")
}

// replay sends the stored response of a request that completed before.
func (a *answer) replay(st *wire.StoredAnswer) *fault {
	a.w.Header().Set(headerReplayed, "true")
	status := int(st.GetStatus())
	if status < 200 || status > 599 {
		status = http.StatusOK
	}
	if err := a.whole(status, st.GetContentType(), st.GetBody()); err != nil {
		return (&fault{status: 499, code: "callerGone", outcome: outcomeCompleted}).because(err)
	}
	return nil
}

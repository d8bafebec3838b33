package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

const (
	// eventBuffer is the number of events buffered while a caller reads slowly.
	eventBuffer = 32
	// streamCloseTimeout bounds the wait for the peer to close a stream after the end
	// record. Only after that can the connection be reused.
	streamCloseTimeout = time.Second
)

// eventError is the error for an event that is invalid at its place in the stream. No
// data of such a stream is trusted.
type eventError struct{ text string }

// Error implements error.
func (e *eventError) Error() string { return "stream violation: " + e.text }

func eventErrf(format string, args ...any) error { return &eventError{fmt.Sprintf(format, args...)} }

// streamValidator validates the sequence of events of one stream.
type streamValidator struct {
	requestID []byte
	// indexedTokens is set if chunks carry token indexes. nextToken is then the next
	// index expected.
	indexedTokens bool
	nextToken     uint32
	started       bool
	chunks        uint32
	bytes         uint64
	hash          xxhash.Digest
}

func newStreamValidator(id []byte, indexedTokens bool, resumeIndex uint32) *streamValidator {
	v := &streamValidator{requestID: id, indexedTokens: indexedTokens, nextToken: resumeIndex}
	v.hash.Reset()
	return v
}

// validate returns an error if ev is not a valid next event of the stream.
func (v *streamValidator) validate(ev *wire.RunEvent) error {
	if string(ev.GetRequestId()) != string(v.requestID) {
		return eventErrf("event of request %x", ev.GetRequestId())
	}
	switch {
	case ev.Started != nil && ev.Chunk == nil && ev.End == nil:
		if v.started || v.chunks > 0 {
			return eventErrf("second start")
		}
		if st := ev.Started.GetStatus(); !v.indexedTokens && (st < 200 || st > 599) {
			return eventErrf("status %d", st)
		}
		v.started = true
		return nil
	case ev.Chunk != nil && ev.Started == nil && ev.End == nil:
		return v.validateChunk(ev.Chunk)
	case ev.End != nil && ev.Started == nil && ev.Chunk == nil:
		return v.validateEnd(ev.End)
	}
	return eventErrf("event without exactly one content")
}

func (v *streamValidator) validateChunk(c *wire.Chunk) error {
	if !v.started {
		return eventErrf("chunk before the start")
	}
	if c.GetIndex() != v.chunks {
		return eventErrf("chunk %d, want %d", c.GetIndex(), v.chunks)
	}
	if v.indexedTokens {
		if c.GetToken() < v.nextToken || v.chunks == 0 && c.GetToken() != v.nextToken {
			return eventErrf("token %d, want %d", c.GetToken(), v.nextToken)
		}
		v.nextToken = c.GetToken() + 1
	}
	v.chunks++
	v.bytes += uint64(len(c.GetData()))
	_, _ = v.hash.Write(c.GetData())
	return nil
}

func (v *streamValidator) validateEnd(e *wire.End) error {
	switch e.GetOutcome() {
	case wire.RunOutcome_RUN_OUTCOME_COMPLETED:
		if !v.started {
			return eventErrf("end before the start")
		}
		if e.GetChunks() != v.chunks || e.GetBytes() != v.bytes || e.GetXxhash() != v.hash.Sum64() {
			return eventErrf("end of %d chunks, %d bytes, hash %x; got %d, %d, %x", e.GetChunks(), e.GetBytes(),
				e.GetXxhash(), v.chunks, v.bytes, v.hash.Sum64())
		}
	case wire.RunOutcome_RUN_OUTCOME_NOT_RUN:
		if v.chunks > 0 {
			return eventErrf("not run, after %d chunks", v.chunks)
		}
	case wire.RunOutcome_RUN_OUTCOME_UNKNOWN:
	default:
		return eventErrf("end without an outcome")
	}
	return nil
}

// streamEvent is a validated event, or the error that ended the stream.
type streamEvent struct {
	started *wire.Started
	chunk   *wire.Chunk
	end     *wire.End
	err     error
}

// attempt is one dispatch of a request to one target.
type attempt struct {
	target *route.Target
	// addr and incarnation are those of the target at the time of the dispatch.
	addr        netip.AddrPort
	incarnation uint64
	// events is closed after an end event or an error.
	events    chan streamEvent
	cancel    context.CancelFunc
	startedAt time.Time
	// resumeIndex is the number of tokens that the caller received from earlier
	// attempts.
	resumeIndex uint32
	started     *wire.Started
	// gotChunk is set when the first chunk has arrived, finished when the end of the
	// attempt has been recorded.
	gotChunk, finished bool
	// maybeSent is set before the first byte of the request is written.
	maybeSent atomic.Bool
	// nextToken is the index of the next token to be received.
	nextToken uint32
	// tokenGap is set if a chunk held several tokens. The number of tokens received is
	// then unknown until the end record.
	tokenGap bool
	// untrusted is set if the stream contained an invalid event.
	untrusted bool
}

// startAttempt dispatches c to a target. The attempt ends by itself after an end
// record; otherwise the caller must cancel it.
func (s *server) startAttempt(ctx context.Context, c *clientRequest, target *route.Target, req *wire.RunRequest) *attempt {
	// The context is detached from the request: after the end record the stream is read
	// until it closes, so that the connection can be reused.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	runCtx, span := s.tracer.Start(runCtx, "attempt", trace.WithAttributes(
		attribute.String("target", target.Name), attribute.Bool("hedge", req.GetHedge())))
	at := &attempt{
		target: target, events: make(chan streamEvent, eventBuffer), cancel: cancel,
		startedAt: time.Now(), resumeIndex: req.GetResumeIndex(), nextToken: req.GetResumeIndex(),
	}
	req.Protocol = link.Protocol
	req.RequestId = newRandomID()
	req.TraceParent = daemon.TraceParent(runCtx)
	at.addr, at.incarnation = s.routing.beginAttempt(target, c.fingerprint, at.startedAt)
	s.metrics.attempts.Inc(1)
	s.attempts.Go(func() {
		defer cancel()
		err := s.runStream(runCtx, c, at, req)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
			at.send(runCtx, streamEvent{err: err})
		}
		close(at.events)
		span.End()
	})
	return at
}

func newRandomID() []byte {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return id
}

// send sends an event to the dispatcher. It returns false if the attempt was cancelled.
func (at *attempt) send(ctx context.Context, ev streamEvent) bool {
	select {
	case at.events <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendTrackingConn records whether a request may have been written. A pooled connection
// that was closed while idle fails in NewStream, before the request is written.
type sendTrackingConn struct {
	drpc.Conn
	maybeSent *atomic.Bool
}

// NewStream implements drpc.Conn.
func (c sendTrackingConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	st, err := c.Conn.NewStream(ctx, rpc, enc)
	if err == nil {
		c.maybeSent.Store(true)
	}
	return st, err
}

// runStream sends the request and delivers the validated events of its stream.
func (s *server) runStream(ctx context.Context, c *clientRequest, at *attempt, req *wire.RunRequest) error {
	var conn drpc.Conn
	if c.idempotent {
		conn = sendTrackingConn{s.pool.Conn(ctx, at.addr), &at.maybeSent}
	} else {
		fresh, err := s.pool.Dial(ctx, at.addr)
		if err != nil {
			return err
		}
		defer func() { _ = fresh.Close() }()
		at.maybeSent.Store(true)
		conn = fresh
	}
	stream, err := wire.NewDRPCTargetClient(conn).Run(ctx, req)
	if err != nil && at.provesNotRun(err, c.idempotent) && !isDialError(err) && ctx.Err() == nil {
		// The pooled connection was closed while idle, which does not mean that the
		// target is unavailable.
		fresh, dialErr := s.pool.Dial(ctx, at.addr)
		if dialErr != nil {
			return dialErr
		}
		defer func() { _ = fresh.Close() }()
		stream, err = wire.NewDRPCTargetClient(sendTrackingConn{fresh, &at.maybeSent}).Run(ctx, req)
	}
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	validator := newStreamValidator(req.GetRequestId(), !c.plainService, req.GetResumeIndex())
	for {
		ev, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("receive event: %w", err)
		}
		for _, part := range splitEvent(ev) {
			if err := validator.validate(part); err != nil {
				return err
			}
			event := streamEvent{started: part.Started, chunk: part.Chunk, end: part.End}
			if !at.send(ctx, event) {
				return ctx.Err()
			}
		}
		if ev.End != nil {
			// The dispatcher does not wait for the stream to close.
			timer := time.AfterFunc(streamCloseTimeout, at.cancel)
			_, _ = stream.Recv()
			timer.Stop()
			return nil
		}
	}
}

// splitEvent returns the parts of an event as separate events, in the order in which
// they occurred.
func splitEvent(ev *wire.RunEvent) []*wire.RunEvent {
	var parts []*wire.RunEvent
	if ev.Started != nil {
		parts = append(parts, &wire.RunEvent{RequestId: ev.RequestId, Started: ev.Started})
	}
	if ev.Chunk != nil {
		parts = append(parts, &wire.RunEvent{RequestId: ev.RequestId, Chunk: ev.Chunk})
	}
	if ev.End != nil {
		parts = append(parts, &wire.RunEvent{RequestId: ev.RequestId, End: ev.End})
	}
	if len(parts) <= 1 {
		// An empty event is rejected by the validation.
		return []*wire.RunEvent{ev}
	}
	return parts
}

// provesNotRun reports whether err proves that the request did not reach the agent.
func (at *attempt) provesNotRun(err error, idempotent bool) bool {
	return isDialError(err) || idempotent && !at.maybeSent.Load()
}

func isDialError(err error) bool {
	var dial *link.DialError
	return errors.As(err, &dial)
}

// isConnectionError reports whether err is any error other than an invalid event. This
// includes errors that the agent returned, which link.CodeOf tells apart.
func isConnectionError(err error) bool {
	var v *eventError
	return !errors.As(err, &v) || errors.Is(err, io.EOF)
}

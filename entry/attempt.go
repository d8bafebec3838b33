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
	// stepBuffer is the number of events buffered while a caller reads slowly.
	stepBuffer = 32
	// closeWait bounds the wait for the peer to close a stream after the end record.
	// Only after that can the connection be reused.
	closeWait = time.Second
)

// violation is the error of a stream with an event that is invalid at its place. No
// data of such a stream is trusted.
type violation struct{ text string }

// Error implements error.
func (v *violation) Error() string { return "invalid stream: " + v.text }

func violated(format string, args ...any) error { return &violation{fmt.Sprintf(format, args...)} }

// checker validates the sequence of events of one stream.
type checker struct {
	id []byte
	// tokens is set if chunks carry token indexes. next is then the next index
	// expected.
	tokens  bool
	next    uint32
	started bool
	chunks  uint32
	bytes   uint64
	hash    xxhash.Digest
}

func newChecker(id []byte, tokens bool, resume uint32) *checker {
	k := &checker{id: id, tokens: tokens, next: resume}
	k.hash.Reset()
	return k
}

// accept returns an error if ev is not a valid next event of the stream.
func (k *checker) accept(ev *wire.RunEvent) error {
	if string(ev.GetRequestId()) != string(k.id) {
		return violated("event for request %x", ev.GetRequestId())
	}
	switch {
	case ev.Started != nil && ev.Chunk == nil && ev.End == nil:
		if k.started || k.chunks > 0 {
			return violated("duplicate start event")
		}
		if st := ev.Started.GetStatus(); !k.tokens && (st < 200 || st > 599) {
			return violated("invalid status %d", st)
		}
		k.started = true
		return nil
	case ev.Chunk != nil && ev.Started == nil && ev.End == nil:
		return k.acceptChunk(ev.Chunk)
	case ev.End != nil && ev.Started == nil && ev.Chunk == nil:
		return k.acceptEnd(ev.End)
	}
	return violated("event must have exactly one of started, chunk and end")
}

func (k *checker) acceptChunk(c *wire.Chunk) error {
	if !k.started {
		return violated("chunk before the start event")
	}
	if c.GetIndex() != k.chunks {
		return violated("chunk %d, want %d", c.GetIndex(), k.chunks)
	}
	if k.tokens {
		if c.GetToken() < k.next || k.chunks == 0 && c.GetToken() != k.next {
			return violated("token %d, want %d", c.GetToken(), k.next)
		}
		k.next = c.GetToken() + 1
	}
	k.chunks++
	k.bytes += uint64(len(c.GetData()))
	_, _ = k.hash.Write(c.GetData())
	return nil
}

func (k *checker) acceptEnd(e *wire.End) error {
	switch e.GetOutcome() {
	case wire.RunOutcome_RUN_OUTCOME_COMPLETED:
		if !k.started {
			return violated("end before the start event")
		}
		if e.GetChunks() != k.chunks || e.GetBytes() != k.bytes || e.GetXxhash() != k.hash.Sum64() {
			return violated("end of %d chunks, %d bytes, hash %x; got %d, %d, %x", e.GetChunks(), e.GetBytes(),
				e.GetXxhash(), k.chunks, k.bytes, k.hash.Sum64())
		}
	case wire.RunOutcome_RUN_OUTCOME_NOT_RUN:
		if k.chunks > 0 {
			return violated("outcome is not run after %d chunks", k.chunks)
		}
	case wire.RunOutcome_RUN_OUTCOME_UNKNOWN:
	default:
		return violated("end event has no outcome")
	}
	return nil
}

// step is a validated event, or the error that ended the stream.
type step struct {
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
	// steps is closed after an end event or an error.
	steps  chan step
	cancel context.CancelFunc
	begun  time.Time
	// resume is the number of tokens that the caller received from earlier attempts.
	resume  uint32
	started *wire.Started
	// first is set when the first chunk has arrived, over when the end of the attempt
	// has been recorded.
	first, over bool
	// sent is set before the first byte of the request is written.
	sent atomic.Bool
	// next is the token index after the last chunk received.
	next uint32
	// jumped is set if a chunk held several tokens. The number of tokens received is
	// then unknown until the end record.
	jumped bool
	// untrusted is set if the stream contained an invalid event.
	untrusted bool
}

// start dispatches c to a target. The attempt ends by itself after an end record;
// otherwise the caller must cancel it.
func (s *server) start(ctx context.Context, c *clientRequest, g *route.Target, req *wire.RunRequest) *attempt {
	// The context is detached from the request: after the end record the stream is read
	// until it closes, so that the connection can be reused.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	runCtx, span := s.tracer.Start(runCtx, "attempt", trace.WithAttributes(
		attribute.String("target", g.Name), attribute.Bool("hedge", req.GetHedge())))
	at := &attempt{
		target: g, steps: make(chan step, stepBuffer), cancel: cancel,
		begun: time.Now(), resume: req.GetResumeIndex(), next: req.GetResumeIndex(),
	}
	req.Protocol = link.Protocol
	req.RequestId = newID()
	req.TraceParent = daemon.TraceParent(runCtx)
	at.addr, at.incarnation = s.routing.beginAttempt(g, c.fingerprint, at.begun)
	s.metrics.attempts.Inc(1)
	s.attempts.Go(func() {
		defer cancel()
		err := s.pump(runCtx, c, at, req)
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
			at.push(runCtx, step{err: err})
		}
		close(at.steps)
		span.End()
	})
	return at
}

func newID() []byte {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return id
}

// push sends an event to the dispatcher. It returns false if the attempt was cancelled.
func (at *attempt) push(ctx context.Context, st step) bool {
	select {
	case at.steps <- st:
		return true
	case <-ctx.Done():
		return false
	}
}

// markedConn records whether a request may have been written. A pooled connection that
// was closed while idle fails in NewStream, before the request is written.
type markedConn struct {
	drpc.Conn
	sent *atomic.Bool
}

// NewStream implements drpc.Conn.
func (m markedConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	st, err := m.Conn.NewStream(ctx, rpc, enc)
	if err == nil {
		m.sent.Store(true)
	}
	return st, err
}

// pump sends the request and delivers the validated events of its stream.
func (s *server) pump(ctx context.Context, c *clientRequest, at *attempt, req *wire.RunRequest) error {
	var conn drpc.Conn
	if c.idempotent {
		conn = markedConn{s.pool.Conn(ctx, at.addr), &at.sent}
	} else {
		fresh, err := s.pool.Fresh(ctx, at.addr)
		if err != nil {
			return err
		}
		defer func() { _ = fresh.Close() }()
		at.sent.Store(true)
		conn = fresh
	}
	stream, err := wire.NewDRPCTargetClient(conn).Run(ctx, req)
	if err != nil && at.notRun(err, c.idempotent) && !isDial(err) && ctx.Err() == nil {
		// The pooled connection was closed while idle, which does not mean that the
		// target is unavailable.
		fresh, dialErr := s.pool.Fresh(ctx, at.addr)
		if dialErr != nil {
			return dialErr
		}
		defer func() { _ = fresh.Close() }()
		stream, err = wire.NewDRPCTargetClient(markedConn{fresh, &at.sent}).Run(ctx, req)
	}
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	k := newChecker(req.GetRequestId(), !c.plainService, req.GetResumeIndex())
	for {
		ev, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("receive event: %w", err)
		}
		for _, part := range split(ev) {
			if err := k.accept(part); err != nil {
				return err
			}
			st := step{started: part.Started, chunk: part.Chunk, end: part.End}
			if !at.push(ctx, st) {
				return ctx.Err()
			}
		}
		if ev.End != nil {
			// The dispatcher does not wait for the stream to close.
			timer := time.AfterFunc(closeWait, at.cancel)
			_, _ = stream.Recv()
			timer.Stop()
			return nil
		}
	}
}

// split returns the parts of an event as separate events, in the order in which they
// occurred.
func split(ev *wire.RunEvent) []*wire.RunEvent {
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

// notRun reports whether err proves that the request did not reach the agent.
func (at *attempt) notRun(err error, idempotent bool) bool {
	return isDial(err) || idempotent && !at.sent.Load()
}

func isDial(err error) bool {
	var dial *link.DialError
	return errors.As(err, &dial)
}

// isCut reports whether err is a connection error rather than an invalid event.
func isCut(err error) bool {
	var v *violation
	return !errors.As(err, &v) || errors.Is(err, io.EOF)
}

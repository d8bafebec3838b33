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
	// stepBuffer lets a stream run ahead of a caller that reads slowly.
	stepBuffer = 32
	// closeWait bounds the wait for the peer to close a stream after its end
	// record, so that the connection can be used again.
	closeWait = time.Second
)

// violation is an event that does not belong into its stream. Nothing that the
// stream has sent is trusted after it.
type violation struct{ text string }

// Error implements error.
func (v *violation) Error() string { return "stream violation: " + v.text }

func violated(format string, args ...any) error { return &violation{fmt.Sprintf(format, args...)} }

// checker verifies the events of one stream.
type checker struct {
	id []byte
	// tokens says that chunks carry tokens; next is then the index expected.
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

// accept returns an error if ev cannot be the next event of the stream.
func (k *checker) accept(ev *wire.RunEvent) error {
	if string(ev.GetRequestId()) != string(k.id) {
		return violated("event of request %x", ev.GetRequestId())
	}
	switch {
	case ev.Started != nil && ev.Chunk == nil && ev.End == nil:
		if k.started || k.chunks > 0 {
			return violated("second start")
		}
		if st := ev.Started.GetStatus(); !k.tokens && (st < 200 || st > 599) {
			return violated("status %d", st)
		}
		k.started = true
		return nil
	case ev.Chunk != nil && ev.Started == nil && ev.End == nil:
		return k.acceptChunk(ev.Chunk)
	case ev.End != nil && ev.Started == nil && ev.Chunk == nil:
		return k.acceptEnd(ev.End)
	}
	return violated("event without exactly one content")
}

func (k *checker) acceptChunk(c *wire.Chunk) error {
	if !k.started {
		return violated("chunk before the start")
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
			return violated("end before the start")
		}
		if e.GetChunks() != k.chunks || e.GetBytes() != k.bytes || e.GetXxhash() != k.hash.Sum64() {
			return violated("end of %d chunks, %d bytes, hash %x; got %d, %d, %x", e.GetChunks(), e.GetBytes(),
				e.GetXxhash(), k.chunks, k.bytes, k.hash.Sum64())
		}
	case wire.RunOutcome_RUN_OUTCOME_NOT_RUN:
		if k.chunks > 0 {
			return violated("not run, after %d chunks", k.chunks)
		}
	case wire.RunOutcome_RUN_OUTCOME_UNKNOWN:
	default:
		return violated("end without an outcome")
	}
	return nil
}

// step is a verified event, or the failure of the stream.
type step struct {
	started *wire.Started
	chunk   *wire.Chunk
	end     *wire.End
	err     error
}

// attempt is one dispatch of a request to one target.
type attempt struct {
	target *route.Target
	// addr and incarnation are those of the target at the dispatch.
	addr        netip.AddrPort
	incarnation uint64
	// steps is closed after an end or an error.
	steps  chan step
	cancel context.CancelFunc
	begun  time.Time
	// resume is the number of tokens that the caller had before.
	resume  uint32
	started *wire.Started
	// first says that a first chunk has come; over that Finish has been called.
	first, over bool
	// sent is set before the first byte of the request is written.
	sent atomic.Bool
	// next is the token index after the last chunk taken.
	next uint32
	// jumped says that a chunk held several tokens, so that the number of tokens
	// received is not known before the end.
	jumped bool
	// untrusted says that the stream held an event that did not belong to it.
	untrusted bool
}

// start dispatches c to a target. The attempt ends by itself after an end record;
// otherwise the caller has to cancel it.
func (s *server) start(ctx context.Context, c *call, g *route.Target, req *wire.RunRequest) *attempt {
	// Detached from the caller's context: after the end record the stream is still
	// read to its close, so that the connection can be used again.
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
	at.addr, at.incarnation = s.fleet.begin(g, c.print, at.begun)
	s.met.attempts.Inc(1)
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

// push hands a step to the dispatcher; it returns false if the attempt was cancelled.
func (at *attempt) push(ctx context.Context, st step) bool {
	select {
	case at.steps <- st:
		return true
	case <-ctx.Done():
		return false
	}
}

// markedConn records whether a request may have been written. A pooled connection
// that died while idle fails in NewStream, before the request is written.
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

// pump runs one stream and pushes its verified events.
func (s *server) pump(ctx context.Context, c *call, at *attempt, req *wire.RunRequest) error {
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
		// An idle connection had died unnoticed; that says nothing about the target.
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
	k := newChecker(req.GetRequestId(), !c.plain, req.GetResumeIndex())
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
			// The dispatcher does not wait for this.
			timer := time.AfterFunc(closeWait, at.cancel)
			_, _ = stream.Recv()
			timer.Stop()
			return nil
		}
	}
}

// split returns the contents of an event one by one, in the order in which they happen.
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
		// An empty event is left to the check.
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

// isCut reports whether err is the end of the connection rather than a violation.
func isCut(err error) bool {
	var v *violation
	return !errors.As(err, &v) || errors.Is(err, io.EOF)
}

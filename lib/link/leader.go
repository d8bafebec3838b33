package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	leaderRetryMin = 20 * time.Millisecond
	leaderRetryMax = 500 * time.Millisecond
	// leaderAttemptTimeout is the timeout of one attempt, so that the next instance is
	// tried if one is unreachable without an error, as behind a network partition.
	leaderAttemptTimeout = 1500 * time.Millisecond
)

// LeaderClient is a client of the control leader that follows changes of leadership.
// It resends a call after a failure, so every call must be safe to repeat; a command must
// carry an identity by which the leader recognizes a resend.
type LeaderClient struct {
	pool  *Pool
	addrs []netip.AddrPort

	mu sync.Mutex
	// last is the instance to try first.
	last netip.AddrPort
}

// NewLeaderClient returns a client of the control instances at addrs.
func NewLeaderClient(pool *Pool, addrs []netip.AddrPort) *LeaderClient {
	return &LeaderClient{pool: pool, addrs: addrs, last: addrs[rand.IntN(len(addrs))]}
}

// Call runs fn against the leader until it succeeds, fails permanently
// (CodeInvalid, CodeProtocol) or ctx is done.
func (l *LeaderClient) Call(ctx context.Context,
	fn func(ctx context.Context, c wire.DRPCControlClient) error,
) error {
	wait := leaderRetryMin
	var last error
	for try := 0; ; try++ {
		err := l.attempt(ctx, fn)
		if err == nil {
			return nil
		}
		if code := CodeOf(err); code == CodeInvalid || code == CodeProtocol {
			return err
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		if try%len(l.addrs) != len(l.addrs)-1 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no control leader reached: %w", errors.Join(ctx.Err(), last))
		case <-time.After(wait/2 + rand.N(wait)):
		}
		wait = min(wait*2, leaderRetryMax)
	}
}

func (l *LeaderClient) attempt(ctx context.Context,
	fn func(ctx context.Context, c wire.DRPCControlClient) error,
) error {
	l.mu.Lock()
	addr := l.last
	l.mu.Unlock()
	tryCtx, cancel := context.WithTimeout(ctx, leaderAttemptTimeout)
	defer cancel()
	err := fn(tryCtx, wire.NewDRPCControlClient(l.pool.Conn(tryCtx, addr)))
	if err == nil {
		return nil
	}
	next := l.instanceAfter(addr)
	if CodeOf(err) == CodeNotLeader {
		if to := leaderOf(err); to.IsValid() && to != addr {
			next = to
		}
	}
	l.mu.Lock()
	if l.last == addr {
		l.last = next
	}
	l.mu.Unlock()
	return err
}

// instanceAfter returns the instance after addr in the list, which wraps around.
func (l *LeaderClient) instanceAfter(addr netip.AddrPort) netip.AddrPort {
	for i, a := range l.addrs {
		if a == addr {
			return l.addrs[(i+1)%len(l.addrs)]
		}
	}
	return l.addrs[0]
}

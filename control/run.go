// Package control is one instance of the control group: it replicates the
// configuration, the claims, the suspects and the incarnations, and its leader
// keeps the tables of targets and decides what is resident where.
package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// Run serves until ctx ends, then hands the leadership over and stops.
func Run(ctx context.Context, p *daemon.Process, c Control, opts ...Option) error {
	o := options{announcePeriod: defaultAnnouncePeriod}
	for _, opt := range opts {
		opt(&o)
	}
	pool := link.NewPool()
	defer func() { _ = pool.Close() }()
	svc := newService(c.ID, p)
	var err error
	if svc.group, err = c.openGroup(svc, pool, p.Log); err != nil {
		return err
	}
	tasks := svc.tasks(c)
	register := svc.register
	stopFleet := func() {}
	if o.fleet {
		f := newFleet(svc, p.Log, p.Scope, p.Common.Name, &o)
		defer func() { _ = f.Close() }()
		stopFleet = f.stop
		tasks = append(tasks, daemon.Task{Name: "planFleet", Period: fleetPeriod, Run: func(context.Context) error {
			f.tick(time.Now())
			return nil
		}})
		tasks = append(tasks, daemon.Task{Name: "listTargets", Period: rosterPeriod, Run: func(ctx context.Context) error {
			return f.enlist(ctx, "")
		}})
		register = func(mux *drpcmux.Mux) error {
			if err := svc.register(mux); err != nil {
				return err
			}
			return wire.DRPCRegisterFleet(mux, f)
		}
		front, err := o.front(f)
		if err != nil {
			_ = svc.group.Close()
			return err
		}
		defer func() { _ = front.Close() }()
	}
	srv, err := link.Listen(c.Listen, register)
	if err != nil {
		_ = svc.group.Close()
		return err
	}
	p.Log.Info().Str("event", "listening").Str("addr", srv.Addr().String()).Msg("")
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	var wg sync.WaitGroup
	wg.Go(func() { daemon.RunTasks(taskCtx, p.Log, tasks) })
	<-ctx.Done()
	stopFleet()
	err = svc.shutdown(c.ShutdownTimeout)
	stopTasks()
	wg.Wait()
	_ = srv.Close()
	return err
}

// register adds the services of this instance to the server.
func (s *service) register(mux *drpcmux.Mux) error {
	if err := wire.DRPCRegisterControl(mux, s); err != nil {
		return fmt.Errorf("register control: %w", err)
	}
	if err := wire.DRPCRegisterQuorum(mux, s); err != nil {
		return fmt.Errorf("register quorum: %w", err)
	}
	return nil
}

// Exchange passes a message of another instance to the consensus.
func (s *service) Exchange(ctx context.Context, m *wire.QuorumMessage) (*wire.QuorumMessage, error) {
	if err := link.CheckProtocol(m.GetProtocol()); err != nil {
		return nil, err
	}
	return s.group.Exchange(ctx, m)
}

// idleWait bounds the wait for calls in progress before the leadership is handed
// over: until then no instance takes new calls.
const idleWait = 400 * time.Millisecond

// awaitIdle waits until no call is in progress and returns how many are left.
func (s *service) awaitIdle(limit time.Duration) (left int) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// The lock orders the broadcast after a check of ctx that is about to wait.
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.idle.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.active > 0 && ctx.Err() == nil {
		s.idle.Wait()
	}
	return s.active
}

// shutdown refuses new calls, lets those in progress end, hands the leadership
// over and leaves the group's log in order.
func (s *service) shutdown(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.news.ring()
	if left := s.awaitIdle(min(timeout/2, idleWait)); left > 0 {
		s.log.Warn().Str("event", "callsCutOff").Int("calls", left).Msg("")
	}
	if _, ok := s.group.Leading(); ok {
		// With no other instance to hand over to, the election replaces the transfer.
		if err := s.group.Transfer(ctx); err != nil {
			s.log.Warn().Str("event", "transferFailed").Err(err).Msg("")
		} else {
			s.log.Info().Str("event", "transferred").Msg("")
		}
	}
	if err := s.group.Close(); err != nil {
		return fmt.Errorf("close group: %w", err)
	}
	return nil
}

// Package control implements an instance of the control group. The group replicates the
// configuration, the claims, the suspect requests and the incarnations of targets. Its
// leader keeps the tables of targets and decides which models are resident where.
package control

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"

	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// Run runs a control instance until ctx is done, then transfers the leadership to
// another instance and stops.
func Run(ctx context.Context, p *daemon.Process, c Control, opts ...Option) error {
	o := options{announcePeriod: defaultAnnouncePeriod, relayTargets: defaultRelayTargets}
	for _, opt := range opts {
		opt(&o)
	}
	pool := link.NewPool()
	defer func() { _ = pool.Close() }()
	svc := newService(c.ID, p)
	var err error
	if svc.group, err = c.openGroup(svc, p.Common.Zone, pool, p.Log); err != nil {
		return err
	}
	tasks := svc.tasks(c)
	register := svc.register
	stopFleet := func() {}
	if o.fleet {
		var frontend io.Closer
		if register, frontend, err = svc.startFleet(p, pool, &o); err != nil {
			_ = svc.group.Close()
			return err
		}
		defer func() { _ = svc.fleet.Close() }()
		defer func() { _ = frontend.Close() }()
		stopFleet = svc.fleet.stop
		tasks = append(tasks, svc.fleet.tasks()...)
	}
	srv, err := link.Listen(c.Listen, register, link.WithConns(p.Conns, p.Limits(daemon.SharePeers).Conns))
	if err != nil {
		_ = svc.group.Close()
		return err
	}
	p.Log.Info().Str("event", "listening").Str("addr", srv.Addr().String()).Msg("")
	taskCtx, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	var wg sync.WaitGroup
	wg.Go(func() { daemon.RunTasks(taskCtx, p.Log, tasks) })
	wg.Go(func() { svc.applyChanges(taskCtx, o.changes) })
	if svc.fleet != nil {
		wg.Go(func() { svc.fleet.relay.run(taskCtx) })
	}
	<-ctx.Done()
	stopFleet()
	err = svc.shutdown(c.ShutdownTimeout)
	stopTasks()
	wg.Wait()
	_ = srv.Close()
	return err
}

// startFleet creates the fleet and starts its interface. It returns the function that registers
// the services of this instance.
func (s *service) startFleet(p *daemon.Process, pool *link.Pool, o *options) (func(*drpcmux.Mux) error, io.Closer, error) {
	o.callRelay = func(ctx context.Context, addr netip.AddrPort, req *wire.RelayRequest) (*wire.RelayReply, error) {
		return wire.NewDRPCAnnouncementsClient(pool.Conn(ctx, addr)).Relay(ctx, req)
	}
	f := newFleet(s, p.Log, p.Scope, p.Common.Name, o)
	s.fleet = f
	frontend, err := o.frontend(f)
	if err != nil {
		_ = f.Close()
		return nil, nil, err
	}
	return func(mux *drpcmux.Mux) error {
		if err := s.register(mux); err != nil {
			return err
		}
		if err := wire.DRPCRegisterAnnouncements(mux, f); err != nil {
			return fmt.Errorf("register announcements: %w", err)
		}
		return wire.DRPCRegisterFleet(mux, f)
	}, frontend, nil
}

// tasks returns the periodic tasks of the fleet.
func (f *Fleet) tasks() []daemon.Task {
	return []daemon.Task{
		{Name: "planFleet", Period: fleetTickInterval, Run: func(context.Context) error {
			f.tick(time.Now())
			return nil
		}},
		{Name: "saveLosses", Period: lossSavePeriod, Run: f.saveLosses},
		{Name: "listTargets", Period: rosterPeriod, Run: f.updateRosterIfLeading},
	}
}

// applyChanges passes changes of the settings to the group until ctx is done.
func (s *service) applyChanges(ctx context.Context, changes <-chan Changes) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-changes:
			s.group.SetTolerance(c.Tolerance)
			s.group.SetPeers(peerAddrs(c.Peers))
		}
	}
}

// register registers the services Control and Quorum, which every instance serves. Run
// also registers Fleet if it is enabled.
func (s *service) register(mux *drpcmux.Mux) error {
	if err := wire.DRPCRegisterControl(mux, s); err != nil {
		return fmt.Errorf("register control: %w", err)
	}
	if err := wire.DRPCRegisterQuorum(mux, s); err != nil {
		return fmt.Errorf("register quorum: %w", err)
	}
	return nil
}

// Exchange passes a message from another instance to the consensus node.
func (s *service) Exchange(ctx context.Context, m *wire.QuorumMessage) (*wire.QuorumMessage, error) {
	if err := link.CheckProtocol(m.GetProtocol()); err != nil {
		return nil, err
	}
	return s.group.Exchange(ctx, m)
}

// callDrainTimeout bounds the wait for calls in progress before the leadership is
// transferred. It is short because no instance accepts new calls during that time.
const callDrainTimeout = 400 * time.Millisecond

// awaitIdle waits until no call is in progress, for at most limit, and returns the
// number of calls that remain.
func (s *service) awaitIdle(limit time.Duration) (remaining int) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// The lock prevents a lost wake-up: without it, the broadcast could come between the
	// check of ctx below and the start of the wait.
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.idle.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.activeCalls > 0 && ctx.Err() == nil {
		s.idle.Wait()
	}
	return s.activeCalls
}

// shutdown refuses new calls, waits for those in progress, transfers the leadership and
// closes the consensus node.
func (s *service) shutdown(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.stateChanged.notify()
	if remaining := s.awaitIdle(min(timeout/2, callDrainTimeout)); remaining > 0 {
		s.log.Warn().Str("event", "callsAborted").Int("calls", remaining).Msg("")
	}
	if _, ok := s.group.Leading(); ok {
		// If no instance can take over, a later election replaces the transfer.
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

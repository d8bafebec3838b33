// Package entry serves the HTTP requests of callers, routes each to a target and
// validates its response. See docs/api.md.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bulrushpath.example/lib/accept"
	"bulrushpath.example/lib/daemon"
)

// Run serves callers until ctx ends and all requests are answered.
func Run(ctx context.Context, p *daemon.Process, cfg *Section) error {
	limits := p.Limits(daemon.ShareMain)
	limits.HeaderBytes = 0 // serveOn sets a limit of its own.
	ln, err := p.Conns.Listen(cfg.Listen, limits)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	return serveOn(ctx, newServer(p, cfg), ln)
}

func serveOn(ctx context.Context, s *server, ln net.Listener) error {
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.cfg.HeaderTimeout,
		IdleTimeout:       s.cfg.IdleTimeout,
		// net/http rejects larger headers with an error of its own. The limit is above
		// MaxHeader so that validateHeaders can reject those in between in the error
		// format of this API.
		MaxHeaderBytes: 4 * int(s.cfg.MaxHeader),
	}
	bounded := accept.From(ln)
	bounded.Attach(srv, nil)
	failed := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { failed <- srv.Serve(bounded) })
	syncCtx, stopSync := context.WithCancel(context.Background())
	defer stopSync()
	wg.Go(func() { (&syncer{s: s}).run(syncCtx) })
	wg.Go(func() {
		daemon.RunTasks(syncCtx, s.log, []daemon.Task{{
			Name: "gauges", Period: time.Second,
			Run: func(context.Context) error {
				s.metrics.activeRequests.Update(float64(s.activeRequests.Load()))
				return nil
			},
		}})
	})
	s.log.Info().Str("event", "listening").Str("address", ln.Addr().String()).Msg("")
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	err := s.drain(srv)
	stopSync()
	wg.Wait()
	return errors.Join(err, s.Close())
}

// drain keeps serving until the load balancer sends no more requests and all requests
// in progress are answered. It has no time limit, so that a long response is never cut
// off.
func (s *server) drain(srv *http.Server) error {
	s.lastRequest.Store(time.Now().UnixNano())
	s.draining.Store(true)
	s.log.Info().Str("event", "draining").Int64("active", s.activeRequests.Load()).Msg("")
	for {
		idle := time.Since(time.Unix(0, s.lastRequest.Load()))
		if idle >= s.cfg.DrainQuiet {
			break
		}
		time.Sleep(s.cfg.DrainQuiet - idle)
	}
	if err := srv.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bulrushpath.example/lib/accept"
)

// acceptRetryDelay is the delay after an error from Accept.
const acceptRetryDelay = 50 * time.Millisecond

// Server is a drpc server on one address.
type Server struct {
	ln     net.Listener
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// ServerOption configures a Server.
type ServerOption func(*serverOptions)

type serverOptions struct {
	conns  *accept.Group
	limits accept.Limits
}

// WithConns bounds the connections: they belong to the group, and there are at most limit.
func WithConns(g *accept.Group, limit int) ServerOption {
	return func(o *serverOptions) { o.conns, o.limits.Conns = g, limit }
}

// Listen starts a server at addr; register adds the services to its mux.
func Listen(addr netip.AddrPort, register func(mux *drpcmux.Mux) error, opts ...ServerOption) (*Server, error) {
	o := serverOptions{limits: accept.Limits{Messages: true}}
	for _, opt := range opts {
		opt(&o)
	}
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, fmt.Errorf("register services: %w", err)
	}
	ln, err := o.conns.Listen(addr, o.limits)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{ln: ln, cancel: cancel}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	s.wg.Go(func() {
		<-ctx.Done()
		_ = ln.Close()
	})
	s.wg.Go(func() { s.serve(ctx, srv) })
	return s, nil
}

// serve accepts connections until ctx is done.
func (s *Server) serve(ctx context.Context, srv *drpcserver.Server) {
	for {
		nc, err := s.ln.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = nc.Close()
			}
			return
		case err != nil:
			// Such as too many open files.
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		s.wg.Go(func() {
			connCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			// While the server waits for the name of a call it does not read, and would not notice
			// that the connection is closed.
			if c, ok := nc.(*accept.Conn); ok {
				c.AfterEvict(cancel)
			}
			_ = srv.ServeOne(connCtx, nc)
		})
	}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Close cancels the calls in progress, closes all connections and waits for
// the handlers to return.
func (s *Server) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

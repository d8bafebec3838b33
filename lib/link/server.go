package link

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server is a drpc server on one address.
type Server struct {
	ln     net.Listener
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Listen starts a server at addr; register adds the services to its mux.
func Listen(addr netip.AddrPort, register func(mux *drpcmux.Mux) error) (*Server, error) {
	mux := drpcmux.New()
	if err := register(mux); err != nil {
		return nil, fmt.Errorf("register services: %w", err)
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{ln: ln, cancel: cancel}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	s.wg.Go(func() { _ = srv.Serve(ctx, ln) })
	return s, nil
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

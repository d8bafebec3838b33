// Package host is an HTTP server at a fixed address that can go down and come up
// again within one process. To its clients this looks like a crash and restart.
package host

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	// relistenTimeout limits the retries while another socket briefly holds the port.
	relistenTimeout = 5 * time.Second
	relistenPause   = 20 * time.Millisecond
	maxBody         = 16 << 20
)

// Server serves one handler at one address.
type Server struct {
	handler http.Handler
	addr    netip.AddrPort

	mu sync.Mutex
	// srv is nil while the server is down.
	srv *http.Server
	wg  sync.WaitGroup
}

// Listen starts a server at addr. Port 0 picks a free port, which is kept when the
// server comes up again.
func Listen(addr netip.AddrPort, h http.Handler) (*Server, error) {
	s := &Server{handler: h, addr: addr}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Server) listen() error {
	ln, err := net.Listen("tcp", s.addr.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
	s.srv = srv
	s.wg.Go(func() { _ = srv.Serve(ln) })
	return nil
}

// Addr returns the address that is served.
func (s *Server) Addr() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Down closes the listener and all connections immediately.
func (s *Server) Down() {
	s.mu.Lock()
	srv := s.srv
	s.srv = nil
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// Up starts to serve again at the same address after Down.
func (s *Server) Up() error {
	deadline := time.Now().Add(relistenTimeout)
	for {
		err := s.listen()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(relistenPause)
	}
}

// Close stops the server and waits for the serving goroutine.
func (s *Server) Close() {
	s.Down()
	s.wg.Wait()
}

// WriteJSON responds with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the JSON body of r into v.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) error {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}

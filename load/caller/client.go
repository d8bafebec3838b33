// Package caller is a client of the entry instances. It balances requests over
// them as an external load balancer would, and verifies every response against the
// deterministic output of the stand-ins.
package caller

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Client distributes requests over the entry instances round robin. Like a load
// balancer, it skips instances that are not ready while another one is ready.
type Client struct {
	httpClient *http.Client
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu    sync.Mutex
	addrs []netip.AddrPort
	ready []bool
	next  int
}

// NewClient returns a client of the entry instances at addrs and starts their
// readiness probes.
func NewClient(addrs []netip.AddrPort) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	cl := &Client{
		// Connections are not reused: net/http itself retries some requests if a
		// reused connection turns out to be closed.
		httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		cancel:     cancel, addrs: addrs, ready: make([]bool, len(addrs)),
	}
	for i := range addrs {
		cl.probe(ctx, i)
		cl.wg.Go(func() { cl.probeLoop(ctx, i) })
	}
	return cl
}

// Close stops the probes and waits for them to end.
func (cl *Client) Close() {
	cl.cancel()
	cl.wg.Wait()
}

func (cl *Client) probeLoop(ctx context.Context, i int) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			cl.probe(ctx, i)
		}
	}
}

func (cl *Client) probe(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cl.addrs[i].String()+"/readyz", nil)
	if err != nil {
		return
	}
	resp, err := cl.httpClient.Do(req)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.ready[i] = ok
}

// pick returns the next ready instance other than avoid, or the next instance in
// turn if there is none.
func (cl *Client) pick(avoid netip.AddrPort) netip.AddrPort {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for range cl.addrs {
		i := cl.next
		cl.next = (cl.next + 1) % len(cl.addrs)
		if cl.ready[i] && cl.addrs[i] != avoid {
			return cl.addrs[i]
		}
	}
	i := cl.next
	cl.next = (cl.next + 1) % len(cl.addrs)
	return cl.addrs[i]
}

// markNotReady marks an instance as not ready until its next successful probe.
func (cl *Client) markNotReady(addr netip.AddrPort) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for i, a := range cl.addrs {
		if a == addr {
			cl.ready[i] = false
		}
	}
}

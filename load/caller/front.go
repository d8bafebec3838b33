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
	probePeriod  = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// Front distributes requests over the entry instances round robin. Like a load
// balancer, it skips instances that are not ready while another one is ready.
type Front struct {
	client *http.Client
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	addrs []netip.AddrPort
	ready []bool
	next  int
}

// NewFront returns a client of the entry instances at addrs and starts their
// readiness probes.
func NewFront(addrs []netip.AddrPort) *Front {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Front{
		// Connections are not reused: net/http itself retries some requests if a
		// reused connection turns out to be closed.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		cancel: cancel, addrs: addrs, ready: make([]bool, len(addrs)),
	}
	for i := range addrs {
		f.probe(ctx, i)
		f.wg.Go(func() { f.watch(ctx, i) })
	}
	return f
}

// Close stops the probes and waits for them to end.
func (f *Front) Close() {
	f.cancel()
	f.wg.Wait()
}

func (f *Front) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.probe(ctx, i)
		}
	}
}

func (f *Front) probe(ctx context.Context, i int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.addrs[i].String()+"/readyz", nil)
	if err != nil {
		return
	}
	resp, err := f.client.Do(req)
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready[i] = ok
}

// Pick returns the next ready instance other than not, or the next instance in
// turn if there is none.
func (f *Front) Pick(not netip.AddrPort) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.addrs {
		i := f.next
		f.next = (f.next + 1) % len(f.addrs)
		if f.ready[i] && f.addrs[i] != not {
			return f.addrs[i]
		}
	}
	i := f.next
	f.next = (f.next + 1) % len(f.addrs)
	return f.addrs[i]
}

// Failed marks an instance as not ready until its next successful probe.
func (f *Front) Failed(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, a := range f.addrs {
		if a == addr {
			f.ready[i] = false
		}
	}
}

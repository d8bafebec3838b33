// Package proxy is a TCP proxy between two processes of a test that cuts, delays or
// black-holes connections on demand.
package proxy

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
	// holdPollInterval is how often a held connection checks whether forwarding has resumed.
	holdPollInterval = 5 * time.Millisecond
)

// Link forwards the connections made to its address.
type Link struct {
	ln net.Listener
	to netip.AddrPort
	wg sync.WaitGroup

	mu sync.Mutex
	// cut closes new connections immediately; blackhole accepts them but forwards nothing.
	cut, blackhole bool
	delay          time.Duration
	closed         bool
	conns          map[net.Conn]bool
}

// New starts a proxy that listens at listen and forwards to to.
func New(listen, to netip.AddrPort) (*Link, error) {
	ln, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, to: to, conns: make(map[net.Conn]bool)}
	l.wg.Go(l.accept)
	return l, nil
}

// Addr returns the address at which the proxy listens.
func (l *Link) Addr() netip.AddrPort { return l.ln.Addr().(*net.TCPAddr).AddrPort() }

// Cut closes all connections, and new ones as soon as they are accepted.
func (l *Link) Cut() { l.set(true, false, 0) }

// Blackhole keeps all connections open but forwards nothing, like a silent partition.
func (l *Link) Blackhole() { l.set(false, true, 0) }

// Delay forwards everything with the given delay.
func (l *Link) Delay(d time.Duration) { l.set(false, false, d) }

// Heal resumes forwarding. Connections held by Blackhole are closed: otherwise their bytes
// would arrive as if there had been no partition.
func (l *Link) Heal() {
	l.mu.Lock()
	held := l.blackhole
	l.mu.Unlock()
	if held {
		l.set(true, false, 0)
	}
	l.set(false, false, 0)
}

// Release resumes forwarding, including the bytes held by Blackhole.
func (l *Link) Release() { l.set(false, false, 0) }

func (l *Link) set(cut, blackhole bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.blackhole, l.delay = cut, blackhole, delay
	if cut {
		l.closeAll()
	}
}

// closeAll closes all connections. The caller holds l.mu.
func (l *Link) closeAll() {
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

// Close stops the proxy and waits for its goroutines.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.mu.Lock()
	l.closed = true
	l.closeAll()
	l.mu.Unlock()
	l.wg.Wait()
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		if !l.add(c) {
			_ = c.Close()
			continue
		}
		l.wg.Go(func() { l.serve(c) })
	}
}

// add registers a connection unless the link is cut or closed.
func (l *Link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.closed {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *Link) remove(c net.Conn) {
	_ = c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *Link) serve(from net.Conn) {
	defer l.remove(from)
	if !l.awaitForwarding(from) {
		return
	}
	to, err := net.DialTimeout("tcp", l.to.String(), dialTimeout)
	if err != nil {
		return
	}
	if !l.add(to) {
		_ = to.Close()
		return
	}
	defer l.remove(to)
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(to, from) })
	wg.Go(func() { l.forward(from, to) })
	wg.Wait()
}

// forward forwards until either side is closed. It then closes both, so that the end of
// one process is visible to the other.
func (l *Link) forward(dst, src net.Conn) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if !l.awaitForwarding(src) {
				return
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// While the link is a black hole, the end of a process must not be visible either.
			l.awaitForwarding(src)
			return
		}
	}
}

// awaitForwarding waits for the delay and while the link is a black hole. It returns
// false if the connection has been closed meanwhile.
func (l *Link) awaitForwarding(c net.Conn) bool {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	for {
		l.mu.Lock()
		blackhole, alive := l.blackhole, l.conns[c]
		l.mu.Unlock()
		if !alive || !blackhole {
			return alive
		}
		time.Sleep(holdPollInterval)
	}
}

package accept

import (
	"bytes"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// state is what a connection does at the moment.
type state int

const (
	// waiting means that there is no complete header or message.
	waiting state = iota
	// reading means that the header is complete and the body is not.
	reading
	// running means that a complete request is served.
	running
)

// clockStart is the start of the monotonic clock for writes: steps of the time of day must not make
// them look blocked.
var clockStart = time.Now()

// Conn is a connection of a Group.
type Conn struct {
	net.Conn
	group *Group
	// listener is nil for a connection that this process has opened.
	listener *Listener
	// blockedSince is the start of the current write, in nanoseconds since clockStart; 0 if there is
	// none.
	blockedSince atomic.Int64

	// answers follows what a drpc server writes. Only Write uses it.
	answers frameParser

	// queued and lasting are the bytes in the kernel's queues at the last measurement, and those of
	// them that were there before; only Group.boundQueues uses them.
	queued, lasting int

	// The mutex of the group guards everything below.
	index int
	state state
	// since is the time of the accept, or of the last change of state.
	since time.Time
	// memory and body are the estimated bytes of the connection with its header, and of its
	// incomplete body.
	memory, body int64
	// onEvict is called after the connection was closed for a bound; nil for none.
	onEvict func()
	// closing is the connection's part of Group.closing: its memory from when it is evicted until
	// its server closes it.
	closing int64
	// removed is true once the connection is closed or about to be closed.
	removed bool
	// frames follows what the peer of a drpc server sends.
	frames frameParser
}

// Read reads, and counts what a request takes until it is complete.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		// net/http answers other errors, which would be wrong here.
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	return n, err
}

// received counts the bytes and returns false if the connection was closed for a bound.
func (c *Conn) received(p []byte) bool {
	if c.listener == nil {
		return true
	}
	g := c.group
	var closed []victim
	g.mu.Lock()
	switch {
	case c.removed:
	case c.listener.limits.Messages:
		c.receivedMessage(p)
		if c.frames.invalid {
			closed = append(closed, g.evict(c, Invalid))
		}
		closed = append(closed, g.freeMemory()...)
	case c.state == waiting:
		g.setMemory(c, c.memory+headerByteBytes*int64(len(p))+headerLineBytes*int64(bytes.Count(p, []byte("\n"))))
		closed = g.freeMemory()
	case c.state == reading && c.listener.limits.CountBodies:
		c.body += bodyByteBytes * int64(len(p))
		g.bodies += bodyByteBytes * int64(len(p))
		closed = g.freeBodies()
	}
	ok := !c.removed
	slow := ok && c.state != running && c.memory > activeBytes && g.pressed()
	g.mu.Unlock()
	g.closeAll(closed)
	if slow {
		time.Sleep(pressedDelay)
	}
	return ok
}

// receivedMessage counts bytes of a drpc connection. The caller holds the mutex of the group.
func (c *Conn) receivedMessage(p []byte) {
	if complete, _ := c.frames.parse(p); complete {
		c.state, c.since = running, time.Now()
	} else if c.frames.size > activeBytes {
		c.state = waiting // No sound client sends a long message during a call.
	}
	base := int64(messageConnBytes)
	if c.state == running {
		base = activeBytes
	}
	c.group.setMemory(c, base+messageByteBytes*c.frames.size)
}

// Write writes, and lets the group know since when it is blocked.
func (c *Conn) Write(p []byte) (int, error) {
	c.blockedSince.Store(max(1, int64(time.Since(clockStart))))
	n, err := c.Conn.Write(p)
	c.blockedSince.Store(0)
	if c.listener != nil && c.listener.limits.Messages {
		// After the results of a call the server writes its end, or an error instead of them.
		if _, end := c.answers.parse(p[:n]); end {
			c.finish()
		}
	}
	return n, err
}

// mayClose reports whether the connection has no complete request, or a peer that does not read.
func (c *Conn) mayClose(now time.Duration) bool {
	if c.listener == nil {
		return false
	}
	blocked := c.blockedSince.Load()
	return c.state != running || blocked != 0 && int64(now)-blocked >= int64(minStall)
}

// begin records that the header of a request is complete. It returns false if the request must
// not be served.
func (c *Conn) begin(hasBody bool) bool {
	g := c.group
	g.mu.Lock()
	if c.removed {
		g.mu.Unlock()
		return false
	}
	c.state, c.since = running, time.Now()
	if hasBody {
		c.state = reading
	}
	g.setMemory(c, c.memory+activeBytes-waitingBytes)
	closed := g.freeMemory()
	ok := !c.removed && !g.overMemory()
	g.mu.Unlock()
	g.closeAll(closed)
	return ok
}

// complete records that the body of the request is complete. It returns false if the connection was
// closed before.
func (c *Conn) complete() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.state == reading && !c.removed {
		c.state = running
	}
	return !c.removed
}

// finish records that the request is answered.
func (c *Conn) finish() {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.removed || c.state == waiting && !c.listener.limits.Messages {
		return
	}
	c.state, c.since = waiting, time.Now()
	g.bodies -= c.body
	c.body = 0
	g.setMemory(c, c.listener.connBytes())
}

// CloseWrite closes the sending side. net/http calls it before it closes the connection of a
// request that it has refused.
func (c *Conn) CloseWrite() error {
	c.group.mu.Lock()
	if !c.removed {
		c.state = waiting
		c.group.setMemory(c, waitingBytes)
	}
	c.group.mu.Unlock()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// AfterEvict sets a function that is called after the connection was closed for a bound.
func (c *Conn) AfterEvict(fn func()) {
	c.group.mu.Lock()
	c.onEvict = fn
	evicted := c.removed
	c.group.mu.Unlock()
	if evicted {
		fn()
	}
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// Close closes the connection.
func (c *Conn) Close() error {
	g := c.group
	g.mu.Lock()
	g.settle(c)
	g.remove(c)
	g.mu.Unlock()
	return c.Conn.Close()
}

// queuedBytes returns what the kernel holds unread and unsent; 0 if that is not known.
func queuedBytes(c net.Conn) (sum int) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		for _, request := range []uint{unix.SIOCINQ, unix.SIOCOUTQ} {
			if n, err := unix.IoctlGetInt(int(fd), request); err == nil {
				sum += n
			}
		}
	})
	return sum
}

// resizeBuffers sets the sizes of the kernel's buffers of an accepted connection, unless they are left
// to the kernel. Its receive buffer is small until then.
func (g *Group) resizeBuffers(nc net.Conn, crowded bool) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok || g.budget.Queues == 0 {
		return
	}
	switch n := g.budget.ReceiveBuffer; {
	case n == 0:
	case crowded:
		_ = tcp.SetWriteBuffer(min(g.budget.SendBuffer, smallSendBuffer))
	default:
		_ = tcp.SetReadBuffer(n)
		// Some versions of Linux keep the window of the smaller buffer otherwise.
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, kernelFactor*n)
			})
		}
	}
}

// discardQueue makes Close drop what was not sent. The kernel would keep it for a peer that does
// not read.
func discardQueue(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Package accept bounds what a process holds for the clients of its listeners: the connections, the
// memory for incomplete requests, and the bytes that the kernel keeps unread or unsent. Beyond a
// bound it closes connections that have no complete request, so that a request whose connection it
// closes has not run, or connections whose peers do not read.
package accept

import (
	"context"
	"slices"
	"sync"
	"time"
)

//go:generate stringer -type=Reason -linecomment

// Reason is the bound for which a connection was closed or refused.
type Reason int

// Reasons; their names are values of the metric connectionsClosed.
const (
	// Full means that the listener has Limits.Conns connections.
	Full Reason = iota // connections
	// Memory means that the connections and headers take Budget.Memory.
	Memory // memory
	// Bodies means that incomplete bodies take Budget.Bodies.
	Bodies // bodies
	// Queues means that the kernel holds Budget.Queues.
	Queues // queues
	// Invalid means that the peer does not follow the protocol.
	Invalid // invalid
)

const (
	// waitingBytes is what a connection without a request takes at most, and activeBytes one
	// with a request: goroutine, buffers of net/http, and the 32 KiB of a body that an entry
	// instance holds outside its budget for bodies. messageConnBytes is what an idle drpc connection
	// takes, with its three goroutines.
	waitingBytes     = 12 << 10
	messageConnBytes = 24 << 10
	activeBytes      = 64 << 10
	// headerByteBytes and headerLineBytes are the memory for each byte and line of a header. net/http
	// keeps each field twice while a request is forwarded, and a line of 4 bytes takes two entries
	// of a map and their strings.
	headerByteBytes = 2
	headerLineBytes = 256
	// bodyByteBytes and messageByteBytes are the memory for each byte of an incomplete body or drpc
	// message. Buffers grow by copying; with 3 for messages, a process of 72 MB took 74 MB.
	bodyByteBytes    = 2
	messageByteBytes = 4
	// reserveFraction is the part of a bound that is freed beyond what is needed, so that not each
	// arrival compares all connections.
	reserveFraction = 16
	// minStall is how long a write has to be blocked before its connection may be closed for others.
	minStall = time.Second
	// kernelFactor is the factor by which Linux raises the size of a buffer that a process sets.
	kernelFactor = 2
	// smallReceiveBuffer and smallSendBuffer are the sizes of the buffers before a connection is
	// accepted, and of those that are accepted when the buffers of all connections could exceed
	// Budget.Queues.
	smallReceiveBuffer = 8 << 10
	smallSendBuffer    = 16 << 10
	// pressedFraction is the part of Budget.Memory from which on long incomplete requests are read
	// slowly, with pressedDelay after each read: what is read from connections that are closed soon
	// became garbage faster than it was collected, and a process of 72 MB took 113 MB.
	pressedFraction = 0.75
	pressedDelay    = 10 * time.Millisecond
	// queuePeriod is the time between two measurements of the kernel's queues.
	queuePeriod = 50 * time.Millisecond
)

// Budget bounds what all connections of a process take together, in bytes; 0 sets no bound.
type Budget struct {
	// Memory bounds connections, headers and incomplete drpc messages.
	Memory int64
	// Bodies bounds the incomplete bodies of listeners with Limits.CountBodies.
	Bodies int64
	// Queues bounds what the kernel holds unread or unsent.
	Queues int64
	// ReceiveBuffer and SendBuffer are the sizes of the kernel's buffers of each connection; 0
	// leaves them to the kernel.
	ReceiveBuffer, SendBuffer int
}

// Group holds the connections that share a Budget. A nil Group has no bounds.
type Group struct {
	budget  Budget
	onClose func(Reason)

	mu sync.Mutex
	// conns holds the open connections; each knows its index.
	conns []*Conn
	// memory and bodies are the sums over conns. closing is the memory of connections that were closed
	// for a bound and are still used by their servers.
	memory, bodies, closing int64
}

// NewGroup returns a Group. onClose is called for each connection that is closed for a bound; nil
// for none.
func NewGroup(b Budget, onClose func(Reason)) *Group {
	if onClose == nil {
		onClose = func(Reason) {}
	}
	return &Group{budget: b, onClose: onClose}
}

// Run measures the kernel's queues until ctx is done.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(queuePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.boundQueues()
		}
	}
}

// add registers an accepted connection. It returns false if there is no room for it, after it has
// closed those that had to make room.
func (g *Group) add(c *Conn) bool {
	l := c.listener
	g.mu.Lock()
	closed := g.freeConns(l)
	if l.limits.Conns > 0 && l.open >= l.limits.Conns {
		c.removed = true
		closed = append(closed, victim{conn: c, reason: Full})
	} else {
		c.index = len(g.conns)
		g.conns = append(g.conns, c)
		l.open++
		g.memory += c.memory
		closed = append(closed, g.freeMemory()...)
	}
	if !c.removed && g.budget.Memory > 0 && g.memory+g.closing > g.budget.Memory {
		g.remove(c)
		closed = append(closed, victim{conn: c, reason: Memory})
	}
	ok, crowded := !c.removed, g.crowded()
	if !ok {
		g.settle(c) // No server gets it.
	}
	g.mu.Unlock()
	g.closeAll(closed)
	if ok {
		g.resizeBuffers(c.Conn, crowded)
	}
	return ok
}

// crowded reports whether the buffers of all connections could exceed the bound of the queues.
func (g *Group) crowded() bool {
	perConn := kernelFactor * int64(g.budget.ReceiveBuffer+g.budget.SendBuffer)
	return g.budget.Queues > 0 && (perConn == 0 || int64(len(g.conns))*perConn > g.budget.Queues)
}

// victim is a connection to close, and the reason.
type victim struct {
	conn    *Conn
	reason  Reason
	onEvict func()
}

// closeAll closes connections that were removed.
func (g *Group) closeAll(victims []victim) {
	for _, v := range victims {
		if v.reason == Queues {
			discardQueue(v.conn.Conn)
		}
		_ = v.conn.Conn.Close()
		if v.onEvict != nil {
			v.onEvict()
		}
		g.onClose(v.reason)
	}
}

// freeConns removes connections of a listener that is full, as far as they may be closed.
func (g *Group) freeConns(l *Listener) []victim {
	if l.limits.Conns == 0 || l.open < l.limits.Conns {
		return nil
	}
	low := l.limits.Conns - max(1, l.limits.Conns/reserveFraction)
	return g.removeUntil(Full, func(c *Conn) bool { return c.listener == l }, func() bool { return l.open <= low })
}

func (g *Group) overMemory() bool { return g.budget.Memory > 0 && g.memory > g.budget.Memory }

// pressed reports whether the memory is almost used up.
func (g *Group) pressed() bool {
	return g.budget.Memory > 0 && float64(g.memory+g.closing) > pressedFraction*float64(g.budget.Memory)
}

// freeMemory removes connections until the sum of the memory is within its bound, as far as they
// may be closed.
func (g *Group) freeMemory() []victim {
	if !g.overMemory() {
		return nil
	}
	low := g.budget.Memory - g.budget.Memory/reserveFraction
	return g.removeUntil(Memory, func(*Conn) bool { return true }, func() bool { return g.memory <= low })
}

// freeBodies removes connections until the sum of the incomplete bodies is within its bound. The one
// with the largest body goes first.
func (g *Group) freeBodies() (out []victim) {
	for g.budget.Bodies > 0 && g.bodies > g.budget.Bodies {
		var largest *Conn
		for _, c := range g.conns {
			if c.state == reading && (largest == nil || c.body > largest.body) {
				largest = c
			}
		}
		if largest == nil || largest.body == 0 {
			return out
		}
		out = append(out, g.evict(largest, Bodies))
	}
	return out
}

// removeUntil removes connections that are eligible and may be closed until enough is true. Those
// that take much memory go first, and among those that take as much the one that has been
// without a complete request for longest.
func (g *Group) removeUntil(reason Reason, eligible func(*Conn) bool, enough func() bool) (out []victim) {
	now := time.Since(clockStart)
	var found []*Conn
	for _, c := range g.conns {
		if eligible(c) && c.mayClose(now) {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *Conn) int {
		if x, y := a.memory/activeBytes, b.memory/activeBytes; x != y {
			return int(y - x)
		}
		return a.since.Compare(b.since)
	})
	for _, c := range found {
		if enough() {
			break
		}
		out = append(out, g.evict(c, reason))
	}
	return out
}

// evict removes a connection that has to be closed. Its memory counts until its server closes it too.
func (g *Group) evict(c *Conn, reason Reason) victim {
	g.remove(c)
	c.closing = c.memory
	g.closing += c.closing
	return victim{c, reason, c.onEvict}
}

// settle ends the counting of a connection that was evicted.
func (g *Group) settle(c *Conn) {
	g.closing -= c.closing
	c.closing = 0
}

// remove takes a connection out of the group.
func (g *Group) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	last := len(g.conns) - 1
	g.conns[c.index] = g.conns[last]
	g.conns[c.index].index = c.index
	g.conns[last] = nil
	g.conns = g.conns[:last]
	g.memory -= c.memory
	g.bodies -= c.body
	if c.listener != nil {
		c.listener.open--
	}
}

// setMemory sets the memory of a connection of the group.
func (g *Group) setMemory(c *Conn, bytes int64) {
	g.memory += bytes - c.memory
	c.memory = bytes
}

// boundQueues closes connections with the longest queues while the kernel holds more than the
// bound for all connections together. It measures only if the buffers could reach the bound.
func (g *Group) boundQueues() {
	g.mu.Lock()
	if !g.crowded() {
		g.mu.Unlock()
		return
	}
	conns := slices.Clone(g.conns)
	g.mu.Unlock()
	sum := int64(0)
	for _, c := range conns {
		now := queuedBytes(c.Conn)
		// What was there at the last measurement too is more likely to stay than what has just arrived.
		c.lasting, c.queued = min(c.queued, now), now
		sum += int64(now)
	}
	if sum <= g.budget.Queues {
		return
	}
	slices.SortFunc(conns, func(a, b *Conn) int {
		if a.lasting != b.lasting {
			return b.lasting - a.lasting
		}
		return b.queued - a.queued
	})
	low := g.budget.Queues - g.budget.Queues/reserveFraction
	var closed []victim
	g.mu.Lock()
	for _, c := range conns {
		if sum <= low {
			break
		}
		sum -= int64(c.queued)
		if !c.removed {
			closed = append(closed, g.evict(c, Queues))
		}
	}
	g.mu.Unlock()
	g.closeAll(closed)
}

package daemon

import (
	"fmt"
	"math"
	"net/netip"
	"syscall"

	tally "github.com/uber-go/tally/v4"

	"bulrushpath.example/lib/accept"
	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/inidoc"
)

const (
	// defaultReceiveBuffer and defaultSendBuffer carry 20 MB/s and more over 3 ms to a client and
	// back, as Linux doubles them. That is above the links of the machines.
	defaultReceiveBuffer inidoc.Bytes = 32 << 10
	defaultSendBuffer    inidoc.Bytes = 64 << 10
	// minBuffer is the smallest buffer, and maxBuffer the largest that the window of a
	// connection reaches, as it begins with a small one.
	minBuffer inidoc.Bytes = 4 << 10
	maxBuffer inidoc.Bytes = 1 << 20
	// defaultMaxHeader is far above the headers of heartbeats, operators' calls and probes.
	defaultMaxHeader inidoc.Bytes = 32 << 10
	// maxHeaderLimit is the limit of net/http.
	maxHeaderLimit inidoc.Bytes = 1 << 20
	// minMemory is the smallest bound of a sum: fewer connections cannot keep a fleet served.
	minMemory inidoc.Bytes = 1 << 20
	// connectionShare, queueShare and bodyShare are the parts of MemoryMB for connections with
	// incomplete requests, for the kernel's queues, and for the bodies that the API of control
	// reads. The rest is for the program, for requests in progress and for garbage.
	connectionShare = 1.0 / 4
	queueShare      = 1.0 / 8
	bodyShare       = 1.0 / 8
	// minBodyBytes holds one configuration of 5 MB, which takes twice as much while it is read.
	minBodyBytes = 12 << 20
	// minDescriptors is the least that a process needs.
	minDescriptors = 64
	// minConns is the smallest limit of connections of a listener.
	minConns = 16
)

// Shares of the descriptors for the connections of one listener. Those of a process leave a fifth
// and more for connections to targets and peers, and for files.
const (
	ShareMain    = 1.0 / 2
	SharePeers   = 1.0 / 4
	ShareProbes  = 1.0 / 64
	shareMetrics = 1.0 / 64
)

// validateLimits adds a finding for each invalid limit of connections.
func (c *Common) validateLimits(out *check.List) {
	if c.Descriptors > 0 && c.Descriptors < minDescriptors {
		out.Addf("process.descriptors", "%d is too small; want at least %d", c.Descriptors, minDescriptors)
	}
	for _, f := range []struct {
		name       string
		value      inidoc.Bytes
		zero       bool
		least, top inidoc.Bytes
	}{
		{"connectionMemory", c.ConnectionMemory, true, minMemory, math.MaxInt64},
		{"queueMemory", c.QueueMemory, true, minMemory, math.MaxInt64},
		{"receiveBuffer", c.ReceiveBuffer, false, minBuffer, maxBuffer},
		{"sendBuffer", c.SendBuffer, false, minBuffer, maxBuffer},
		{"maxHeader", c.MaxHeader, false, minBuffer, maxHeaderLimit},
	} {
		if f.zero && f.value == 0 || f.value >= f.least && f.value <= f.top {
			continue
		}
		out.Addf("process."+f.name, "%d bytes are not between %d and %d", f.value, f.least, f.top)
	}
}

// memoryShare returns the given part of MemoryMB in bytes.
func (c *Common) memoryShare(part float64) int64 {
	return int64(float64(c.MemoryMB) * part * (1 << 20))
}

// budget returns the bounds of all connections together.
func (c *Common) budget() accept.Budget {
	b := accept.Budget{Memory: int64(c.ConnectionMemory), Queues: int64(c.QueueMemory)}
	if b.Memory == 0 {
		b.Memory = c.memoryShare(connectionShare)
	}
	if b.Queues == 0 {
		b.Queues = c.memoryShare(queueShare)
	}
	if c.MemoryMB > 0 {
		b.Bodies = max(c.memoryShare(bodyShare), minBodyBytes)
	}
	if b.Queues > 0 {
		b.ReceiveBuffer, b.SendBuffer = int(c.ReceiveBuffer), int(c.SendBuffer)
	}
	return b
}

// maxConns returns the limit of connections of a listener that may use the given part of the
// descriptors.
func (c *Common) maxConns(share float64) int {
	n := uint64(c.Descriptors)
	if n == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return 0
		}
		n = min(limit.Cur, math.MaxInt32)
	}
	return max(int(float64(n)*share), minConns)
}

// newConns returns the connections of a process with its limits.
func newConns(c Common, scope tally.Scope) *accept.Group {
	return accept.NewGroup(c.budget(), func(r accept.Reason) {
		scope.Tagged(map[string]string{"reason": r.String()}).Counter("connectionsClosed").Inc(1)
	})
}

// Limits returns the limits of a listener that may use the given part of the descriptors.
func (p *Process) Limits(share float64) accept.Limits {
	return accept.Limits{Conns: p.Common.maxConns(share), HeaderBytes: int(p.Common.MaxHeader)}
}

// Listen listens for clients.
func (p *Process) Listen(addr netip.AddrPort, limits accept.Limits) (*accept.Listener, error) {
	ln, err := p.Conns.Listen(addr, limits)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p.Log.Info().Str("event", "listening").Str("addr", addr.String()).Int("maxConns", limits.Conns).Msg("")
	return ln, nil
}

package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// longElectionTimeout is an election timeout that is not reached on a busy machine, for
// tests in which no unplanned change of leader may happen.
const longElectionTimeout = 5 * time.Second

// commandCounter is a state machine that counts the applied commands by content.
type commandCounter struct {
	mu    sync.Mutex
	seen  map[string]int
	order []string
}

func (s *commandCounter) machine() Machine {
	return Machine{
		Apply: func(_ uint64, _ time.Time, command []byte) []byte {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.seen[string(command)]++
			s.order = append(s.order, string(command))
			return binary.BigEndian.AppendUint64(nil, uint64(len(s.order)))
		},
		Snapshot: func() ([]byte, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			var b []byte
			for _, c := range s.order {
				b = binary.BigEndian.AppendUint32(b, uint32(len(c)))
				b = append(b, c...)
			}
			return b, nil
		},
		Restore: func(b []byte) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.seen, s.order = map[string]int{}, nil
			for len(b) > 0 {
				n := binary.BigEndian.Uint32(b)
				c := string(b[4 : 4+n])
				s.seen[c]++
				s.order = append(s.order, c)
				b = b[4+n:]
			}
			return nil
		},
	}
}

func (s *commandCounter) count(command string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[command]
}

// member is one member of a test group, which can be killed and restarted.
type member struct {
	id     string
	addr   netip.AddrPort
	dir    string
	node   *Node
	server *link.Server
	pool   *link.Pool
	state  *commandCounter
	// clockOffset is added to the clock of the member.
	clockOffset atomic.Int64
	// partitioned is set while the member is partitioned from all others.
	partitioned atomic.Bool
}

type group struct {
	tb testing.TB
	// mu guards members when a member is added.
	mu        sync.Mutex
	members   []*member
	configure func(s *Settings)
	opts      []Option
	// machine replaces the commandCounter of all members if its functions are set.
	machine Machine
}

// groupConn is a connection between two members. Once one of them is partitioned, it
// drops all data without an error, also after the partition.
type groupConn struct {
	net.Conn
	a, b   *member
	broken atomic.Bool
}

func (c *groupConn) dropsData() bool {
	if c.a.partitioned.Load() || c.b.partitioned.Load() {
		c.broken.Store(true)
	}
	return c.broken.Load()
}

// Read implements [net.Conn].
func (c *groupConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropsData() {
			return n, err
		}
	}
}

// Write implements [net.Conn].
func (c *groupConn) Write(b []byte) (int, error) {
	if c.dropsData() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func newGroup(tb testing.TB, size int, configure func(s *Settings), opts ...Option) *group {
	g := &group{tb: tb, configure: configure, opts: opts}
	dir := tb.TempDir()
	for i := range size {
		id := fmt.Sprintf("c%d", i)
		g.members = append(g.members, &member{id: id, addr: freeAddr(tb), dir: filepath.Join(dir, id)})
	}
	for _, m := range g.members {
		g.start(m)
	}
	tb.Cleanup(func() {
		for _, m := range g.members {
			g.kill(m)
		}
	})
	return g
}

// firstTestPort and testPorts are the start and the size of the range of ports that freeAddr
// takes in turn. The range is below the ephemeral ports, so that no outgoing connection takes
// a port before a member listens there.
const firstTestPort, testPorts = 20000, 12000

// nextTestPort is the offset of the next port in that range; it starts at a random one.
var nextTestPort = func() *atomic.Uint32 {
	n := &atomic.Uint32{}
	n.Store(rand.Uint32N(testPorts))
	return n
}()

// freeAddr returns an address at which nothing listens.
func freeAddr(tb testing.TB) netip.AddrPort {
	for range testPorts {
		port := firstTestPort + nextTestPort.Add(1)%testPorts
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if ln, err := net.Listen("tcp", addr.String()); err == nil {
			assert.NilError(tb, ln.Close())
			return addr
		}
	}
	tb.Fatal("no free port")
	return netip.AddrPort{}
}

func (g *group) start(m *member) {
	g.tb.Helper()
	s := Settings{
		ID: m.id, Listen: m.addr, Peers: map[string]netip.AddrPort{}, DataDir: m.dir,
		ElectionTimeout: 300 * time.Millisecond, Heartbeat: 30 * time.Millisecond,
	}
	for _, p := range g.members {
		s.Peers[p.id] = p.addr
	}
	if len(s.Peers) < len(g.members) {
		g.tb.Fatal("addresses collide")
	}
	if g.configure != nil {
		g.configure(&s)
	}
	m.state = &commandCounter{seen: map[string]int{}}
	m.pool = link.NewPool(link.WithDial(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return g.dial(ctx, m, addr)
	}))
	opts := append([]Option{WithClock(func() time.Time {
		return time.Now().Add(time.Duration(m.clockOffset.Load()))
	})}, g.opts...)
	machine := m.state.machine()
	if g.machine.Apply != nil {
		machine = g.machine
	}
	var err error
	m.node, err = Open(s, machine, m.pool, opts...)
	assert.NilError(g.tb, err)
	m.server, err = link.Listen(m.addr, func(mux *drpcmux.Mux) error {
		return wire.DRPCRegisterQuorum(mux, m.node)
	})
	assert.NilError(g.tb, err)
}

func (g *group) dial(ctx context.Context, from *member, addr netip.AddrPort) (net.Conn, error) {
	var to *member
	g.mu.Lock()
	for _, p := range g.members {
		if p.addr == addr {
			to = p
		}
	}
	g.mu.Unlock()
	if from.partitioned.Load() || to.partitioned.Load() {
		<-ctx.Done() // A partitioned network drops packets without an error.
		return nil, ctx.Err()
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &groupConn{Conn: c, a: from, b: to}, nil
}

// kill stops a member without a leadership transfer.
func (g *group) kill(m *member) {
	if m.node == nil {
		return
	}
	m.server.Close()
	assert.NilError(g.tb, m.node.Close())
	assert.NilError(g.tb, m.pool.Close())
	m.node = nil
}

// eventually waits until a condition is true, and fails the test after a timeout.
func eventually(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	tb.Fatalf("not reached within %v: %s", waitTimeout, what)
}

func (g *group) leader() *member {
	g.tb.Helper()
	var found *member
	eventually(g.tb, "a leader", func() bool {
		for _, m := range g.members {
			if m.node != nil {
				if _, ok := m.node.Leading(); ok {
					found = m
					return true
				}
			}
		}
		return false
	})
	return found
}

// propose proposes a command until it is committed; it may be applied more than once.
func (g *group) propose(command string) {
	g.tb.Helper()
	eventually(g.tb, "commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := g.leader().node.Propose(ctx, []byte(command))
		return err == nil
	})
}

func (g *group) waitApplied(m *member, command string) {
	g.tb.Helper()
	eventually(g.tb, m.id+" applies "+command, func() bool { return m.state.count(command) > 0 })
}

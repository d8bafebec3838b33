package quorum

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"bulrushpath.example/lib/store"
)

// Settings describe one member of the group.
type Settings struct {
	// ID names this member; it is a key of Peers.
	ID string
	// Listen is the address at which other members reach this one.
	Listen netip.AddrPort
	// Peers holds the addresses of all initial members, this one included.
	Peers map[string]netip.AddrPort
	// Voters is the number of voters that the group is to have; default all Peers.
	Voters int
	// Join says that this member never forms a group with its peers: they, or
	// members that they know, belong to one already.
	Join bool
	// DataDir is the data directory; it is created if it does not exist.
	DataDir string
	// ElectionTimeout is how long a leader goes without a majority before it
	// steps down, and the shortest time after which it is replaced; default 500 ms.
	ElectionTimeout time.Duration
	// Heartbeat is the time between signs of life of a leader; default a tenth of ElectionTimeout.
	Heartbeat time.Duration
	// SnapshotEntries and SnapshotBytes limit the log after the newest snapshot;
	// defaults 10,000 entries and 8 MiB of commands.
	SnapshotEntries int
	SnapshotBytes   int64
}

func (s *Settings) fill() {
	if s.Voters == 0 {
		s.Voters = len(s.Peers)
	}
	if s.ElectionTimeout == 0 {
		s.ElectionTimeout = 500 * time.Millisecond
	}
	if s.Heartbeat == 0 {
		s.Heartbeat = s.ElectionTimeout / 10
	}
	if s.SnapshotEntries == 0 {
		s.SnapshotEntries = 10_000
	}
	if s.SnapshotBytes == 0 {
		s.SnapshotBytes = 8 << 20
	}
}

func (s *Settings) check() error {
	var errs []error
	if addr, ok := s.Peers[s.ID]; !ok {
		errs = append(errs, fmt.Errorf("peers do not hold this member %q", s.ID))
	} else if addr != s.Listen {
		errs = append(errs, fmt.Errorf("peers name %v for member %q, which listens on %v", addr, s.ID, s.Listen))
	}
	if s.DataDir == "" {
		errs = append(errs, errors.New("no data directory"))
	}
	if s.Heartbeat <= 0 || s.Heartbeat*3 > s.ElectionTimeout {
		errs = append(errs, fmt.Errorf("heartbeat %v is not between 0 and a third of the election timeout %v",
			s.Heartbeat, s.ElectionTimeout))
	}
	if s.SnapshotEntries < 0 || s.SnapshotBytes < 0 {
		errs = append(errs, errors.New("negative snapshot limit"))
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("quorum settings: %w", err)
	}
	return nil
}

// Machine is the replicated state machine. All functions are called from one
// goroutine, which also answers other members: none may take long against the
// election timeout.
type Machine struct {
	// Apply executes a committed command and returns its result. It must depend
	// on nothing but the state, at (the leader's time, never decreasing along the
	// log) and command, so that all members end in the same state.
	Apply func(index uint64, at time.Time, command []byte) []byte
	// Snapshot returns the state.
	Snapshot func() ([]byte, error)
	// Restore replaces the state.
	Restore func(snapshot []byte) error
}

// Option changes a Node.
type Option func(*Node)

// OnLead sets a function that is called in order when this member has become
// leader and has applied all earlier entries, and when it leads no longer. It
// runs on a goroutine of its own and may call the Node, except for Close, which
// waits for it and does not report the end of the leadership.
func OnLead(fn func(term uint64, leading bool)) Option {
	return func(n *Node) { n.onLead = fn }
}

// WithLogger sets the logger; by default events are dropped.
func WithLogger(l *log.Logger) Option { return func(n *Node) { n.log = l } }

// WithClock replaces time.Now, for tests that pause a member.
func WithClock(now func() time.Time) Option { return func(n *Node) { n.clock = now } }

// WithStore passes options to the store, for tests that inject faults.
func WithStore(opts ...store.Option) Option {
	return func(n *Node) { n.storeOpts = append(n.storeOpts, opts...) }
}

// WithChunkBytes sets the size of one part of a snapshot on the network; default 256 KiB.
func WithChunkBytes(size int) Option { return func(n *Node) { n.chunkBytes = size } }

package quorum

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"bulrushpath.example/lib/store"
)

// defaultChunkBytes is the size of the chunks in which a snapshot is sent.
const defaultChunkBytes = 256 << 10

// Settings configures one member of the group.
type Settings struct {
	// ID identifies this member; it is a key of Peers.
	ID string
	// Listen is the address at which other members reach this one.
	Listen netip.AddrPort
	// Peers holds the addresses of all initial members, this one included.
	Peers map[string]netip.AddrPort
	// Voters is the intended number of voters; default the number that Tolerance requires,
	// or the number of Peers if Tolerance states no loss.
	Voters int
	// Tolerance states the losses that the group must bear.
	Tolerance Tolerance
	// Zone and Region are the availability zone and the region of this member.
	Zone, Region string
	// Join is set if this member joins an existing group, to which its peers or
	// members known to them belong, and never forms a new one.
	Join bool
	// Observer makes this member one without a disk: it never joins the group and only
	// knows who leads it. DataDir is not used.
	Observer bool
	// DataDir is the data directory; it is created if it does not exist.
	DataDir string
	// ElectionTimeout is the time without contact to a majority after which a leader
	// steps down, and the shortest time after which it is replaced; default 500 ms.
	ElectionTimeout time.Duration
	// Heartbeat is the interval of the heartbeats of a leader; default a tenth of ElectionTimeout.
	Heartbeat time.Duration
	// SnapshotEntries and SnapshotBytes limit the log after the newest snapshot: a new
	// one is taken when either is reached. Defaults 10,000 entries and 8 MiB of commands.
	SnapshotEntries int
	SnapshotBytes   int64
	// LogLimitBytes bounds the log on disk, also while a snapshot is written or fails; 0 for no bound.
	// It must have room for SnapshotBytes and for the largest command.
	LogLimitBytes int64
}

func (s *Settings) setDefaults() {
	if s.Voters == 0 {
		s.Voters = len(s.Peers)
		if s.Tolerance != (Tolerance{}) {
			s.Voters = s.Tolerance.Voters()
		}
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

// maxSegmentBytes is the largest size at which a new segment of the log is started.
const maxSegmentBytes = 4 << 20

// segmentBytes returns the size at which a new segment of the log is started. A snapshot frees whole
// segments only.
func (s *Settings) segmentBytes() int64 { return max(min(s.SnapshotBytes/4, maxSegmentBytes), 1) }

// coreConfig returns the settings of the core of a member with the given disk.
func (s *Settings) coreConfig(diskID []byte, random func(n int64) int64) coreConfig {
	return coreConfig{
		id: s.ID, diskID: diskID, peers: s.Peers, voters: s.Voters, tolerance: s.Tolerance,
		zone: s.Zone, region: s.Region, join: s.Join || s.Observer, observer: s.Observer, electionTimeout: s.ElectionTimeout,
		heartbeat: s.Heartbeat, chunkBytes: defaultChunkBytes, random: random,
	}
}

func (s *Settings) validate() error {
	var errs []error
	if addr, ok := s.Peers[s.ID]; !ok {
		errs = append(errs, fmt.Errorf("peers do not include this member %q", s.ID))
	} else if addr != s.Listen {
		errs = append(errs, fmt.Errorf("peers list address %v for member %q, which listens on %v", addr, s.ID, s.Listen))
	}
	if s.DataDir == "" && !s.Observer {
		errs = append(errs, errors.New("data directory is not set"))
	}
	if s.Heartbeat <= 0 || s.Heartbeat*3 > s.ElectionTimeout {
		errs = append(errs, fmt.Errorf("heartbeat %v is not between 0 and a third of the election timeout %v",
			s.Heartbeat, s.ElectionTimeout))
	}
	if s.SnapshotEntries < 0 || s.SnapshotBytes < 0 {
		errs = append(errs, errors.New("snapshot limits must not be negative"))
	}
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("quorum settings: %w", err)
	}
	return nil
}

// Machine is the replicated state machine. All functions are called from one
// goroutine, which also answers other members, so each call must be short compared
// with the election timeout.
type Machine struct {
	// Apply executes a committed command and returns its result. It must be
	// deterministic in the state, at (the time of the leader, which never decreases
	// along the log) and command, so that all members reach the same state.
	Apply func(index uint64, at time.Time, command []byte) []byte
	// Snapshot returns the encoded state.
	Snapshot func() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore func(snapshot []byte) error
}

// Option configures a Node.
type Option func(*Node)

// OnLeadershipChange sets a function that is called when this member has become leader
// and has applied all earlier entries, and when that leadership has ended. Calls are in
// order. They run on a separate goroutine and may call the Node, except for Close,
// which waits for it. Close does not report the end of the leadership.
func OnLeadershipChange(fn func(term uint64, leading bool)) Option {
	return func(n *Node) { n.onLeadershipChange = fn }
}

// OnFull sets a function that is called when the disk of this member has no more room for commands,
// and when it has again. It must return at once.
func OnFull(fn func(full bool)) Option { return func(n *Node) { n.onFull = fn } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l *log.Logger) Option { return func(n *Node) { n.log = l } }

// WithClock replaces the clock of the member, for tests that simulate a paused process.
func WithClock(now func() time.Time) Option { return func(n *Node) { n.clock = now } }

// WithStore passes options to the store, for tests that inject faults.
func WithStore(opts ...store.Option) Option {
	return func(n *Node) { n.storeOpts = append(n.storeOpts, opts...) }
}

// WithChunkBytes sets the size of the chunks in which a snapshot is sent; default 256 KiB.
func WithChunkBytes(size int) Option { return func(n *Node) { n.chunkBytes = size } }

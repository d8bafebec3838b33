package control

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/phuslu/log"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/quorum"
	"bulrushpath.example/lib/wire"
)

// group holds the functions of the consensus node that the service uses. Tests replace
// some of them.
type group struct {
	Propose  func(ctx context.Context, command []byte) ([]byte, error)
	Confirm  func(ctx context.Context) error
	Leading  func() (term uint64, ok bool)
	Leader   func() (netip.AddrPort, bool)
	Members  func() []*wire.MemberStatus
	Transfer func(ctx context.Context) error
	// AwaitTolerance, SetTolerance and SetPeers are those of quorum.Node.
	AwaitTolerance func(ctx context.Context) error
	SetTolerance   func(t quorum.Tolerance)
	SetPeers       func(peers map[string]netip.AddrPort)
	Exchange       func(ctx context.Context, m *wire.QuorumMessage) (*wire.QuorumMessage, error)
	Close          func() error
}

// openGroup starts the consensus node of this instance.
func (c *Control) openGroup(s *service, zone string, pool *link.Pool, logger *log.Logger) (*group, error) {
	node, err := quorum.Open(quorum.Settings{
		ID:              c.ID,
		Listen:          c.Listen,
		Peers:           peerAddrs(c.Peers),
		Voters:          c.Voters,
		Tolerance:       c.Tolerance(),
		Zone:            zone,
		Region:          c.Region,
		Join:            c.Join,
		Observer:        c.Observer,
		DataDir:         c.DataDir,
		ElectionTimeout: c.ElectionTimeout,
		Heartbeat:       c.Heartbeat,
		SnapshotEntries: c.SnapshotEntries,
		SnapshotBytes:   c.SnapshotBytes,
		LogLimitBytes:   c.LogLimitBytes,
	}, quorum.Machine{Apply: s.apply, Snapshot: s.snapshot, Restore: s.restore}, pool,
		quorum.OnLeadershipChange(s.onLeadershipChange), quorum.WithLogger(logger), quorum.OnFull(s.onFull))
	if err != nil {
		return nil, fmt.Errorf("open group: %w", err)
	}
	return &group{
		Propose:        node.Propose,
		Confirm:        node.Confirm,
		Leading:        node.Leading,
		Leader:         node.Leader,
		Members:        node.Members,
		Transfer:       node.Transfer,
		AwaitTolerance: node.AwaitTolerance,
		SetTolerance:   node.SetTolerance,
		SetPeers:       node.SetPeers,
		Exchange:       node.Exchange,
		Close:          node.Close,
	}, nil
}

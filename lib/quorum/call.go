package quorum

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// Propose replicates command and returns the result of Machine.Apply after the
// commit. Its errors have link.CodeInvalid (the command is too large),
// link.CodeNotLeader (the command was not proposed), link.CodeStorage or
// link.CodeNoQuorum (the command may have taken effect or may still do so).
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, link.Errorf(link.CodeInvalid, "command has %d bytes, limit %d", len(command), maxCommandBytes)
	}
	if command == nil {
		command = []byte{}
	}
	p := &proposal{command: command, done: make(chan result, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, link.Errorf(link.CodeNoQuorum, "propose: %w", ctx.Err())
	case <-n.closing:
		return nil, link.Errorf(link.CodeNoQuorum, "propose: %w", errClosed)
	}
	select {
	case r := <-p.done:
		if r.err != nil {
			return nil, r.err
		}
		return r.value, n.checkLeading(p.term)
	case <-ctx.Done():
		return nil, link.Errorf(link.CodeNoQuorum, "propose: %w", ctx.Err())
	case <-n.closing:
		return nil, link.Errorf(link.CodeNoQuorum, "propose: %w", errClosed)
	}
}

// checkLeading returns an error if this member may no longer answer as leader of term,
// because the process may have been paused after the commit.
func (n *Node) checkLeading(term uint64) error {
	if now, ok := n.Leading(); !ok || now != term {
		return link.Errorf(link.CodeNoQuorum, "leadership was lost before the response")
	}
	return nil
}

// Confirm returns nil if a majority has confirmed that this member was leader after
// the call began, and it has applied all entries committed before. Its errors have
// link.CodeNotLeader, link.CodeStorage or link.CodeNoQuorum.
func (n *Node) Confirm(ctx context.Context) error {
	confirm := &confirmation{done: make(chan error, 1)}
	select {
	case n.confirms <- confirm:
	case <-ctx.Done():
		return link.Errorf(link.CodeNoQuorum, "confirm: %w", ctx.Err())
	case <-n.closing:
		return link.Errorf(link.CodeNoQuorum, "confirm: %w", errClosed)
	}
	select {
	case err := <-confirm.done:
		if err != nil {
			return err
		}
		return n.checkLeading(confirm.term)
	case <-ctx.Done():
		return link.Errorf(link.CodeNoQuorum, "confirm: %w", ctx.Err())
	case <-n.closing:
		return link.Errorf(link.CodeNoQuorum, "confirm: %w", errClosed)
	}
}

// tolerancePollInterval is the interval at which AwaitTolerance checks the group.
const tolerancePollInterval = 10 * time.Millisecond

// AwaitTolerance returns nil once the group has its intended number of voters, or if it
// will not have them soon. A caller acknowledges what it has proposed only after that,
// because a group that still grows bears fewer losses than it is told to.
func (n *Node) AwaitTolerance(ctx context.Context) error {
	for n.status.Load().growing {
		select {
		case <-time.After(tolerancePollInterval):
		case <-ctx.Done():
			return link.Errorf(link.CodeNoQuorum, "wait for voters: %w", ctx.Err())
		case <-n.closing:
			return link.Errorf(link.CodeNoQuorum, "wait for voters: %w", errClosed)
		}
	}
	return nil
}

// SetTolerance changes the losses that the group must bear, and with them the number of
// voters. It takes effect while this member leads.
func (n *Node) SetTolerance(t Tolerance) {
	n.post(func() {
		n.core.cfg.tolerance, n.core.cfg.voters = t, t.Voters()
		n.processOutput(nil, nil)
	})
}

// SetPeers tells a running member which instances its settings name now. While it leads, it tells
// them where the group is; a member outside the group asks them. The initial members, which alone form
// a group, stay those of Settings.Peers.
func (n *Node) SetPeers(peers map[string]netip.AddrPort) {
	n.post(func() {
		n.core.setSeeds(peers)
		n.processOutput(nil, nil)
	})
}

// Leading returns the current term. ok is false if this member does not lead or has
// told another one to take over, before it has applied all entries of earlier terms,
// and if by its own clock no majority has answered it for one election timeout.
func (n *Node) Leading() (term uint64, ok bool) {
	st := n.status.Load()
	return st.term, st.ready && n.clock().Before(st.leaseEnd)
}

// Leader returns the address of the leader as far as this member knows; ok is false if it
// is unknown. A member outside the group knows it from the members.
func (n *Node) Leader() (addr netip.AddrPort, ok bool) {
	st := n.status.Load()
	return st.leader, st.leader.IsValid()
}

// Members returns the members of the group as known to this member. MatchIndex and
// Reachable of other members are set only by the leader.
func (n *Node) Members() []*wire.MemberStatus {
	done := make(chan []*wire.MemberStatus, 1)
	n.post(func() { done <- n.memberStatus() })
	select {
	case out := <-done:
		return out
	case <-n.closing:
		return nil
	}
}

func (n *Node) memberStatus() []*wire.MemberStatus {
	c := n.core
	c.tick(n.clock())
	var out []*wire.MemberStatus
	for _, m := range c.members.current().Members {
		st := &wire.MemberStatus{
			Id: m.Id, Address: m.Address, Voter: m.Voter, Leader: m.Id == c.leaderID,
		}
		if m.Id == c.cfg.id {
			st.MatchIndex, st.Reachable = c.persisted, true
		} else if c.role == leader {
			p := c.lead.peers[m.Id]
			st.MatchIndex = p.match
			st.Reachable = c.now.Sub(p.ackedAt) < c.cfg.electionTimeout
		}
		out = append(out, st)
	}
	return out
}

// Transfer transfers the leadership to the reachable voter with the most complete log
// and returns when this member has ceased to lead; nil at once if it does not lead.
func (n *Node) Transfer(ctx context.Context) error {
	done := make(chan error, 1)
	n.post(func() {
		n.core.tick(n.clock())
		if n.core.role != leader {
			done <- nil
			return
		}
		if n.core.lead.transferTarget == "" && !n.core.transfer() {
			done <- link.Errorf(link.CodeOther, "no other voter is reachable")
			return
		}
		n.transfers = append(n.transfers, done)
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("transfer leadership: %w", ctx.Err())
	case <-n.closing:
		return fmt.Errorf("transfer leadership: %w", errClosed)
	}
}

// Close stops the member and waits for its goroutines. It does not transfer the
// leadership. The caller closes the server of Exchange, before or after it.
func (n *Node) Close() error {
	n.closeOnce.Do(func() {
		close(n.closing)
		n.cancel()
		n.wg.Wait()
		if n.store != nil {
			n.closeErr = n.store.Close()
		}
	})
	return n.closeErr
}

// Exchange handles one request of another member. It implements the DRPC service
// Quorum.
func (n *Node) Exchange(ctx context.Context, m *wire.QuorumMessage) (*wire.QuorumMessage, error) {
	if err := link.CheckProtocol(m.Protocol); err != nil {
		return nil, err
	}
	if m.Reply {
		return nil, link.Errorf(link.CodeInvalid, "message is a reply, not a request")
	}
	answer := make(chan *wire.QuorumMessage, 1)
	refused := make(chan error, 1)
	n.post(func() {
		if n.storageErr != nil {
			refused <- link.Errorf(link.CodeStorage, "storage of member %s: %w", n.settings.ID, n.storageErr)
			return
		}
		if n.full != nil && n.core.needsRoom(m) {
			refused <- link.Errorf(link.CodeStorage, "storage of member %s: %w", n.settings.ID, n.full)
			return
		}
		reply := n.core.step(n.clock(), m)
		if n.core.replyNeedsNoWrite(m, reply) {
			answer <- reply
			reply = nil
		}
		n.processOutput(reply, answer)
	})
	select {
	case r := <-answer:
		if r == nil {
			return nil, link.Errorf(link.CodeStorage, "storage of member %s: entries do not fit the disk", n.settings.ID)
		}
		return r, nil
	case err := <-refused:
		return nil, err
	case <-ctx.Done():
		return nil, fmt.Errorf("exchange: %w", ctx.Err())
	case <-n.closing:
		return nil, link.Errorf(link.CodeOther, "exchange: %w", errClosed)
	}
}

// dispatch sends a request and passes the reply, or the failure, to the core.
func (n *Node) dispatch(m *wire.QuorumMessage) {
	p := n.peer(m.To)
	addr, count := p.addr.Load(), &p.inFlight
	if addr == nil || !addr.IsValid() {
		return
	}
	if count.Add(1) > maxInflightRequests {
		// The core treats the request as lost after its own timeout.
		count.Add(-1)
		return
	}
	n.wg.Go(func() {
		defer count.Add(-1)
		ctx, cancel := context.WithTimeout(n.ctx, n.callTimeout(m))
		defer cancel()
		reply, err := wire.NewDRPCQuorumClient(n.pool.Conn(ctx, *addr)).Exchange(ctx, m)
		if err != nil {
			n.log.Debug().Str("event", "exchangeFailed").Str("peer", m.To).
				Str("kind", m.Kind.String()).Err(err).Msg("")
			n.post(func() {
				if link.CodeOf(err) == link.CodeStorage {
					n.core.requestRefused(n.clock(), m.To, m.Sequence)
					return
				}
				n.core.requestFailed(n.clock(), m.To, m.Sequence)
			})
			return
		}
		n.post(func() { n.core.step(n.clock(), reply) })
	})
}

// callTimeout returns the timeout of one request. Appends, snapshots and votes wait for the
// disk of the peer, so their timeout is longer than that of other requests.
func (n *Node) callTimeout(m *wire.QuorumMessage) time.Duration {
	switch m.Kind {
	case wire.MessageKind_MESSAGE_KIND_APPEND, wire.MessageKind_MESSAGE_KIND_SNAPSHOT,
		wire.MessageKind_MESSAGE_KIND_VOTE:
		return 4 * n.settings.ElectionTimeout
	default:
		return n.settings.ElectionTimeout
	}
}

// peer returns the connection state of another member.
func (n *Node) peer(id string) *peer {
	if p, ok := n.peers.Load(id); ok {
		return p.(*peer)
	}
	p, _ := n.peers.LoadOrStore(id, &peer{})
	return p.(*peer)
}

// updateAddrs stores the addresses of the receivers of messages for dispatch. It runs on
// the loop goroutine, the only one that may read them from the core.
func (n *Node) updateAddrs(messages []*wire.QuorumMessage) {
	for _, m := range messages {
		addr := n.core.addr(m.To)
		n.peer(m.To).addr.Store(&addr)
	}
}

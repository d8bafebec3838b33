package control

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bulrushpath.example/lib/fleet"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/scale"
	"bulrushpath.example/lib/wire"
)

const (
	// relayPeriod is the interval between two calls of a relay to the leader, and
	// idleRelayPeriod that of an instance that may not relay.
	relayPeriod     = 200 * time.Millisecond
	idleRelayPeriod = time.Second
	// relaySpacing is the minimum time between two calls. Announcements that change something
	// meet in one call meanwhile.
	relaySpacing = 20 * time.Millisecond
	// relayTimeout is the timeout of one call.
	relayTimeout = 400 * time.Millisecond
	// maxRelayContact is the age of the contact with the leader up to which a relay
	// acknowledges repeated announcements: longer than a change of leader takes.
	maxRelayContact = time.Second
	// maxInterruption is the time without contact after which an instance refers targets to the
	// leader, as one that never relayed does.
	maxInterruption = 10 * time.Second
	// maxRelayWait is how long an announcement waits until the leader has recorded it. Targets
	// wait for 1 s.
	maxRelayWait = 700 * time.Millisecond
	// maxPendingAnnouncements bounds the announcements that wait for the leader, and
	// maxAnnouncementsPerCall those in one call.
	maxPendingAnnouncements = 2048
	maxAnnouncementsPerCall = 256
	// maxRelayedTargets bounds the targets whose last announcement a relay keeps. It passes on all
	// announcements of further targets.
	maxRelayedTargets = 20_000
	// relayDwell is the time for which a target stays at a relay before that names it the
	// preferred one. The target may have come because it could not reach the preferred relay, so
	// it must not be sent back at once.
	relayDwell = 30 * time.Second
)

// errRelayBusy means that too many announcements wait for the leader.
var errRelayBusy = errors.New("too many announcements wait for the leader")

// errRelayInterrupted means that this instance cannot pass announcements on at present.
var errRelayInterrupted = errors.New("no contact with the leader")

// relay passes announcements from this instance, which does not lead, to the leader. It acknowledges
// those that only repeat what the leader has recorded, and sends them in batches.
type relay struct {
	// addr is the DRPC address of this instance.
	addr string
	// leader returns the address of the leader, as Fleet.Leader does.
	leader func() (addr netip.AddrPort, self, ok bool)
	// call sends a batch.
	call func(ctx context.Context, addr netip.AddrPort, req *wire.RelayRequest) (*wire.RelayReply, error)
	// clock returns the time since boot. It includes suspension, so that a process that was
	// frozen or suspended does not take its contact for recent.
	clock func() time.Duration
	// wake ends the wait for the next call.
	wake chan struct{}

	// mu guards everything below.
	mu sync.Mutex
	// term, replyNumber and repliedAt are those of the last reply.
	term, replyNumber uint64
	repliedAt         time.Duration
	// confirmedAt is the clock when the last answered call was sent. The leader was in office
	// then. It is valid if enabled is set: the leader lets this instance relay.
	confirmedAt time.Duration
	enabled     bool
	// relays holds the addresses of the instances among which the leader spreads the targets.
	relays []string
	// targets holds what the leader of this term has recorded through this instance.
	targets map[string]*relayedTarget
	// repeats holds the acknowledged announcements for the next call, the latest of each target.
	repeats map[string]relayedRepeat
	// pending holds the announcements for the next call that are not acknowledged yet.
	pending []*pendingAnnouncement
}

// relayedTarget is the last announcement of a target that the leader has recorded.
type relayedTarget struct {
	digest uint64
	// sequence is the highest number that was acknowledged. After a gap in the numbers, an
	// announcement with other content may have gone to another instance.
	sequence uint64
	// since is the clock when the target came to this instance.
	since time.Duration
}

// relayedRepeat is an announcement that repeats a recorded one, which the leader is yet to hear of.
type relayedRepeat struct {
	digest, sequence uint64
	heardAt          time.Duration
}

// pendingAnnouncement is an announcement that waits until the leader has recorded it.
type pendingAnnouncement struct {
	message *wire.RelayedAnnouncement
	heardAt time.Duration
	// since is the clock when the target came to this instance.
	since time.Duration
	// recorded is closed when the leader has recorded the announcement.
	recorded chan struct{}
}

func newRelay(addr string, leader func() (netip.AddrPort, bool, bool),
	call func(ctx context.Context, addr netip.AddrPort, req *wire.RelayRequest) (*wire.RelayReply, error),
) *relay {
	return &relay{
		addr: addr, leader: leader, call: call, clock: link.SinceBoot, wake: make(chan struct{}, 1),
		targets: make(map[string]*relayedTarget), repeats: make(map[string]relayedRepeat),
	}
}

// active reports whether this instance may acknowledge announcements: the leader lets it, and was in
// office at most maxRelayContact ago.
func (r *relay) active() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isActive()
}

// isActive is active for callers that hold mu.
func (r *relay) isActive() bool { return r.enabled && r.clock()-r.confirmedAt <= maxRelayContact }

// interrupted reports whether this instance relayed until recently, but has lost the contact with the
// leader. The leader may be overloaded then, and the targets must not all be referred to it.
func (r *relay) interrupted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.enabled && !r.isActive() && r.clock()-r.confirmedAt <= maxInterruption
}

// repeat acknowledges an announcement that repeats a recorded one. It returns false if the
// announcement has to be passed to announce.
func (r *relay) repeat(id string, digest, sequence uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil || t.digest != digest || sequence > t.sequence+1 || !r.isActive() {
		return false
	}
	t.sequence = max(t.sequence, sequence)
	if last, ok := r.repeats[id]; !ok || last.sequence < sequence {
		r.repeats[id] = relayedRepeat{digest, sequence, r.clock()}
	}
	return true
}

// announce passes an announcement to the leader and returns nil once that has recorded it.
func (r *relay) announce(ctx context.Context, a fleet.Announcement, e EngineState) error {
	p := &pendingAnnouncement{message: announcementToWire(a, e), recorded: make(chan struct{})}
	r.mu.Lock()
	if len(r.pending) >= maxPendingAnnouncements {
		r.mu.Unlock()
		return errRelayBusy
	}
	p.heardAt = r.clock()
	p.since = p.heardAt
	if t := r.targets[a.ID]; t != nil {
		p.since = t.since
	}
	// An older state of the target must not be recorded after this one is acknowledged.
	delete(r.targets, a.ID)
	delete(r.repeats, a.ID)
	r.pending = append(r.pending, p)
	r.mu.Unlock()
	r.triggerCall()
	ctx, cancel := context.WithTimeout(ctx, maxRelayWait)
	defer cancel()
	select {
	case <-p.recorded:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("pass on announcement of %s: %w", a.ID, ctx.Err())
	}
}

// triggerCall makes run call the leader without waiting for the period.
func (r *relay) triggerCall() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// nextAddr returns the DRPC address of the instance to which the target is to send its later
// announcements.
func (r *relay) nextAddr(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil || r.clock()-t.since < relayDwell {
		return r.addr
	}
	t.since = r.clock()
	return preferredRelay(id, r.relays, r.addr, "")
}

// run calls the leader until ctx is done.
func (r *relay) run(ctx context.Context) {
	for ctx.Err() == nil {
		period := idleRelayPeriod
		r.mu.Lock()
		if r.enabled {
			period = relayPeriod
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(period)):
		case <-r.wake:
		}
		// A failed call is not repeated at once: the leader may be overloaded.
		pause := relaySpacing
		if err := r.exchange(ctx); err != nil {
			pause = jitter(relayPeriod)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// exchange sends the pending announcements and the repeats to the leader and applies its reply.
func (r *relay) exchange(ctx context.Context) error {
	addr, self, ok := r.leader()
	if self {
		r.reset()
		return nil
	}
	if !ok {
		return errors.New("no leader is known")
	}
	req, batch := r.takeBatch()
	sent := r.clock()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := r.call(ctx, addr, req)
	if err != nil {
		r.requeue(req, batch, sent)
		return fmt.Errorf("pass on announcements to %s: %w", addr, err)
	}
	r.apply(req, batch, sent, reply)
	return nil
}

// reset forgets everything about the leader: this instance leads.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enabled, r.term, r.replyNumber = false, 0, 0
	r.pending = nil
	clear(r.targets)
	clear(r.repeats)
}

// takeBatch returns the next request, and the announcements in it, which are not pending any more.
func (r *relay) takeBatch() (*wire.RelayRequest, []*pendingAnnouncement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	// The senders of older announcements have stopped waiting.
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingAnnouncement) bool { return now-p.heardAt > maxRelayWait })
	n := min(len(r.pending), maxAnnouncementsPerCall)
	batch := slices.Clone(r.pending[:n])
	r.pending = slices.Delete(r.pending, 0, n)
	if len(r.pending) > 0 {
		r.triggerCall()
	}
	req := &wire.RelayRequest{
		Protocol: link.Protocol, Relay: r.addr, Term: r.term, ReplyNumber: r.replyNumber,
		SinceReplyMicros: uint64((now - r.repliedAt).Microseconds()),
	}
	for _, p := range batch {
		p.message.AgeMicros = uint64((now - p.heardAt).Microseconds())
		req.Announcements = append(req.Announcements, p.message)
	}
	records := make([]wire.RelayedRepeat, 0, len(r.repeats))
	for id, x := range r.repeats {
		records = append(records, wire.RelayedRepeat{
			Target: id, Digest: x.digest, Sequence: x.sequence, AgeMicros: uint64((now - x.heardAt).Microseconds()),
		})
		req.Repeats = append(req.Repeats, &records[len(records)-1])
	}
	clear(r.repeats)
	return req, batch
}

// requeue queues the batch of a failed call again, without the repeats of targets that have
// announced something newer.
func (r *relay) requeue(req *wire.RelayRequest, batch []*pendingAnnouncement, sent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(batch, r.pending...)
	for _, x := range req.GetRepeats() {
		if t := r.targets[x.GetTarget()]; t == nil || t.digest != x.GetDigest() {
			continue
		}
		if _, ok := r.repeats[x.GetTarget()]; !ok {
			r.repeats[x.GetTarget()] = relayedRepeat{
				x.GetDigest(), x.GetSequence(), sent - time.Duration(x.GetAgeMicros())*time.Microsecond,
			}
		}
	}
}

// apply applies the reply to a batch that was sent at the given clock.
func (r *relay) apply(req *wire.RelayRequest, batch []*pendingAnnouncement, sent time.Duration, reply *wire.RelayReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.GetTerm() != r.term {
		// A new leader has none of the announcements recorded by the previous one.
		clear(r.targets)
		clear(r.repeats)
	}
	r.term, r.replyNumber, r.repliedAt = reply.GetTerm(), reply.GetReplyNumber(), r.clock()
	r.confirmedAt, r.enabled, r.relays = sent, reply.GetEnabled(), reply.GetRelays()
	unknown := make(map[string]bool, len(reply.GetUnknown()))
	for _, id := range reply.GetUnknown() {
		unknown[id] = true
		delete(r.targets, id)
		delete(r.repeats, id)
	}
	newer := make(map[string]bool, len(r.pending))
	for _, p := range r.pending {
		newer[p.message.GetTarget().GetId()] = true
	}
	for _, p := range batch {
		id := p.message.GetTarget().GetId()
		if unknown[id] {
			// The leader has refused it. Its sender gets no acknowledgement.
			continue
		}
		last := r.targets[id]
		isLatest := last == nil || last.sequence < p.message.GetSequence()
		if !newer[id] && isLatest && len(r.targets) < maxRelayedTargets {
			r.targets[id] = &relayedTarget{digest: p.message.GetDigest(), sequence: p.message.GetSequence(), since: p.since}
		}
		close(p.recorded)
	}
}

// announcementToWire returns the message for an announcement.
func announcementToWire(a fleet.Announcement, e EngineState) *wire.RelayedAnnouncement {
	t := &wire.FleetTarget{
		Id: a.ID, Address: a.Addr.String(), Zone: a.Zone, Service: a.Service,
		Phase: wire.Phase_PHASE_READY, BornMillis: a.Born.UnixMilli(), Slots: uint32(a.Slots),
	}
	for _, m := range a.Models {
		t.Models = append(t.Models, &wire.FleetModel{Name: m.Name, Adapters: m.Adapters})
	}
	return &wire.RelayedAnnouncement{
		Target: t, Digest: a.Digest, Sequence: a.Sequence, HasModels: a.HasModels, Cached: e.Cached,
	}
}

// announcementFromWire returns the announcement in a message of a relay.
func announcementFromWire(m *wire.RelayedAnnouncement) (fleet.Announcement, EngineState, error) {
	t := m.GetTarget()
	addr, err := netip.ParseAddrPort(t.GetAddress())
	if err != nil {
		return fleet.Announcement{}, EngineState{}, fmt.Errorf("announcement of %q: %w", t.GetId(), err)
	}
	a := fleet.Announcement{
		ID: t.GetId(), Addr: addr, Zone: t.GetZone(), Service: t.GetService(), Born: time.UnixMilli(t.GetBornMillis()),
		Sequence: m.GetSequence(), Slots: int(t.GetSlots()), HasModels: m.GetHasModels(), Digest: m.GetDigest(),
	}
	e := EngineState{Cached: m.GetCached()}
	for _, x := range t.GetModels() {
		a.Models = append(a.Models, fleet.Model{Name: x.GetName(), Adapters: x.GetAdapters()})
		e.Held = append(e.Held, scale.ReportedModel{Model: x.GetName(), Adapters: x.GetAdapters()})
	}
	return a, e, nil
}

// preferredRelay returns the relay of a target by rendezvous hashing: the one with the highest hash
// of its address and the id, other than avoid, or fallback if there is none. When a relay is added
// or removed, only the targets of that relay change theirs.
func preferredRelay(id string, relays []string, fallback, avoid string) string {
	best, bestScore := fallback, uint64(0)
	for _, addr := range relays {
		if addr == avoid {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(id))
		_, _ = h.Write([]byte{0})
		_, _ = h.Write([]byte(addr))
		// The last bytes, in which the addresses differ, hardly change the high bits of FNV.
		score := h.Sum64()
		score = (score ^ score>>33) * 0xff51afd7ed558ccd
		score ^= score >> 33
		if score >= bestScore {
			best, bestScore = addr, score
		}
	}
	return best
}

package control

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const (
	// relayHysteresis is the part of relayTargets below which relaying ends. Without it, a number
	// of targets near the limit would switch relaying on and off.
	relayHysteresis = 0.875
	// relayLease is the time after its last call from which on targets are not sent to a
	// relay any more.
	relayLease = time.Second
	// minRelays is the number of live relays from which on the leader sends targets to them.
	minRelays = 2
	// rememberedReplies is the number of replies to a relay whose times are kept: the last ones
	// may be lost, and the relay then names an earlier one.
	rememberedReplies = 8
	// offerTimeout is the time within which a target that was sent to a relay and comes back
	// without having been heard there is sent to another one.
	offerTimeout = 30 * time.Second
	// relayRetention is the time after its last call after which the record of a relay is removed.
	relayRetention = time.Minute
	// maxAgeMicros bounds the age of an announcement in a message.
	maxAgeMicros = uint64(time.Hour / time.Microsecond)
)

// relaySession is the leader's record of a relay.
type relaySession struct {
	lastCall time.Time
	// number is that of the last reply, and repliedAt holds the times of the last replies by
	// their numbers modulo rememberedReplies.
	number    uint64
	repliedAt [rememberedReplies]time.Time
}

// delay returns the longest time for which a request can have been on the way, given the number of
// the last reply that the relay has received and the time since then. ok is false if the number is
// not known.
func (s *relaySession) delay(now time.Time, number uint64, since time.Duration) (d time.Duration, ok bool) {
	if number == 0 || number > s.number || s.number-number >= rememberedReplies {
		return 0, false
	}
	return max(now.Sub(s.repliedAt[number%rememberedReplies])-since, 0), true
}

// addReply records a reply and returns its number.
func (s *relaySession) addReply(now time.Time) (number uint64) {
	s.number++
	s.repliedAt[s.number%rememberedReplies] = now
	return s.number
}

// relayOffer is a relay that the leader has named to a target, which has not been heard there yet.
type relayOffer struct {
	relay string
	at    time.Time
}

// Relay records the announcements that another instance has received.
func (f *Fleet) Relay(ctx context.Context, req *wire.RelayRequest) (reply *wire.RelayReply, err error) {
	_, end, err := f.svc.begin(ctx, "Relay", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	if _, err := netip.ParseAddrPort(req.GetRelay()); err != nil {
		return nil, link.Errorf(link.CodeInvalid, "address of a relay: %w", err)
	}
	reply, err = f.recordRelayed(time.Now(), req)
	if err != nil {
		return nil, err
	}
	// What this instance has recorded after it was deposed is lost.
	if current, ok := f.svc.group.Leading(); !ok || current != reply.GetTerm() {
		return nil, f.svc.notLeader()
	}
	return reply, nil
}

// recordRelayed records the announcements in a request of a relay that arrived at the given time.
func (f *Fleet) recordRelayed(now time.Time, req *wire.RelayRequest) (*wire.RelayReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	term, err := f.requireLeader()
	if err != nil {
		return nil, err
	}
	s := f.relaySession(now, req.GetRelay())
	reply := &wire.RelayReply{Protocol: link.Protocol, Term: term}
	var delay time.Duration
	known := false
	if req.GetTerm() == term {
		delay, known = s.delay(now, req.GetReplyNumber(), time.Duration(req.GetSinceReplyMicros())*time.Microsecond)
	}
	// An announcement is taken for as old as it can be, so that it never prolongs a lease too far.
	heardAt := func(ageMicros uint64) time.Time {
		return now.Add(-delay - time.Duration(min(ageMicros, maxAgeMicros))*time.Microsecond)
	}
	if known {
		for _, x := range req.GetRepeats() {
			delete(f.offers, x.GetTarget())
			if !f.repeat(heardAt(x.GetAgeMicros()), x.GetTarget(), x.GetDigest(), x.GetSequence()) {
				reply.Unknown = append(reply.Unknown, x.GetTarget())
			}
		}
	}
	for _, m := range req.GetAnnouncements() {
		a, e, err := announcementFromWire(m)
		if err == nil {
			err = a.Check(now)
		}
		if err != nil {
			// It costs only itself: the relay would send the others in the batch again and again.
			f.log.Warn().Str("event", "relayedRefused").Str("relay", req.GetRelay()).Err(err).Msg("")
			reply.Unknown = append(reply.Unknown, m.GetTarget().GetId())
			continue
		}
		delete(f.offers, a.ID)
		f.announce(heardAt(m.GetAgeMicros()), a, e)
	}
	reply.Enabled, reply.Relays = f.relaying, f.liveRelays
	reply.ReplyNumber = s.addReply(now)
	return reply, nil
}

// relaySession returns the record of a relay that has called. The caller holds mu.
func (f *Fleet) relaySession(now time.Time, addr string) *relaySession {
	s := f.relays[addr]
	if s == nil {
		s = &relaySession{}
		f.relays[addr] = s
	}
	s.lastCall = now
	return s
}

// updateRelays decides whether other instances relay announcements, and which ones. The caller
// holds mu.
func (f *Fleet) updateRelays(now time.Time, targets int) {
	before := f.relaying
	n := float64(f.relayTargets)
	f.relaying = f.relayTargets > 0 && (float64(targets) >= n || f.relaying && float64(targets) >= relayHysteresis*n)
	if f.relaying != before {
		f.log.Info().Str("event", "relaying").Bool("on", f.relaying).Int("targets", targets).Msg("")
	}
	var live []string
	for addr, s := range f.relays {
		if now.Sub(s.lastCall) <= relayLease {
			live = append(live, addr)
		} else if now.Sub(s.lastCall) > relayRetention {
			delete(f.relays, addr)
		}
	}
	slices.Sort(live)
	f.liveRelays = live
	for id, o := range f.offers {
		if now.Sub(o.at) > offerTimeout {
			delete(f.offers, id)
		}
	}
}

// relayFor returns the instance to which the target is to send its later announcements, or the
// empty string for this one.
func (f *Fleet) relayFor(now time.Time, id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.relaying || len(f.liveRelays) < minRelays {
		return ""
	}
	avoid := ""
	if o, ok := f.offers[id]; ok {
		// The target is back without having been heard at this relay, which it may not reach.
		avoid = o.relay
	}
	addr := preferredRelay(id, f.liveRelays, "", avoid)
	f.offers[id] = relayOffer{addr, now}
	return addr
}

// Relaying reports whether this instance decides itself what becomes of announcements although it does
// not lead: it passes them on, or refuses them while it cannot.
func (f *Fleet) Relaying() bool { return f.relayMode() != relayOff }

// NextAddr returns the DRPC address of the instance to which a target is to send its later
// announcements. It is not valid if the target is to stay at this one.
func (f *Fleet) NextAddr(id string) netip.AddrPort {
	addr := ""
	if _, leading := f.svc.group.Leading(); leading {
		addr = f.relayFor(time.Now(), id)
	} else {
		addr = f.relay.nextAddr(id)
	}
	out, err := netip.ParseAddrPort(addr)
	if err != nil {
		return netip.AddrPort{}
	}
	return out
}

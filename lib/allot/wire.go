package allot

import (
	"math"
	"time"

	"bulrushpath.example/lib/wire"
)

// ToWire returns the request as a message.
func (r *Request) ToWire(protocol uint32) *wire.AllotRequest {
	m := &wire.AllotRequest{Protocol: protocol, Process: r.Process, Term: r.Term, Sequence: r.Sequence}
	m.Uses = make([]*wire.AllotUse, len(r.Uses))
	for i := range r.Uses {
		u := &r.Uses[i]
		m.Uses[i] = &wire.AllotUse{
			Customer: u.Customer, Spent: toWire(u.Spent), Held: toWire(u.Held), Carried: toWire(u.Carried),
			Next: toWire(u.Next), Need: toWire(u.Need), Want: toWire(u.Want),
		}
	}
	return m
}

// RequestFromWire returns the request in a message.
func RequestFromWire(m *wire.AllotRequest) *Request {
	r := &Request{Process: m.GetProcess(), Term: m.GetTerm(), Sequence: m.GetSequence()}
	r.Uses = make([]Use, len(m.GetUses()))
	for i, u := range m.GetUses() {
		r.Uses[i] = Use{
			Customer: u.GetCustomer(), Spent: fromWire(u.GetSpent()), Held: fromWire(u.GetHeld()),
			Carried: fromWire(u.GetCarried()), Next: fromWire(u.GetNext()), Need: fromWire(u.GetNeed()),
			Want: fromWire(u.GetWant()),
		}
	}
	return r
}

// ToWire returns the reply as a message.
func (r *Reply) ToWire(protocol uint32) *wire.AllotReply {
	m := &wire.AllotReply{Protocol: protocol, Term: r.Term, PeriodMillis: uint32(r.Period.Milliseconds())}
	m.Grants = make([]*wire.AllotGrant, len(r.Grants))
	for i, g := range r.Grants {
		m.Grants[i] = &wire.AllotGrant{
			Granted: toWire(g.Granted), Renewed: g.Renewed, Unlimited: g.Unlimited,
			// Rounded up, so that there is room when the wait is over.
			WaitMillis: uint32((g.Wait + time.Millisecond - 1).Milliseconds()),
		}
	}
	return m
}

// ReplyFromWire returns the reply in a message.
func ReplyFromWire(m *wire.AllotReply) *Reply {
	r := &Reply{Term: m.GetTerm(), Period: time.Duration(m.GetPeriodMillis()) * time.Millisecond}
	r.Grants = make([]Grant, len(m.GetGrants()))
	for i, g := range m.GetGrants() {
		r.Grants[i] = Grant{
			Granted: fromWire(g.GetGranted()), Renewed: g.GetRenewed(), Unlimited: g.GetUnlimited(),
			Wait: time.Duration(g.GetWaitMillis()) * time.Millisecond,
		}
	}
	return r
}

func toWire(n int64) uint64   { return uint64(max(n, 0)) }
func fromWire(n uint64) int64 { return int64(min(n, math.MaxInt64/4)) }

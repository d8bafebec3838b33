package control

import (
	"context"

	"bulrushpath.example/lib/allot"
	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// maxAllotUses bounds the customers in one call.
const maxAllotUses = 1 << 15

// Allot settles what an entry instance has spent of the quotas of customers, and grants parts of
// them.
func (f *Fleet) Allot(ctx context.Context, req *wire.AllotRequest) (reply *wire.AllotReply, err error) {
	_, end, err := f.svc.begin(ctx, "Allot", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	if req.GetProcess() == 0 || req.GetSequence() == 0 || len(req.GetUses()) > maxAllotUses {
		return nil, link.Errorf(link.CodeInvalid, "call has no process or number, or too many customers")
	}
	f.metrics.quotaCalls.Inc(1)
	granted, term, err := f.allot(allot.RequestFromWire(req))
	if err != nil {
		return nil, err
	}
	// What a deposed leader grants is not in the bucket of its successor.
	if current, ok := f.svc.group.Leading(); !ok || current != term {
		return nil, f.svc.notLeader()
	}
	return granted.ToWire(link.Protocol), nil
}

func (f *Fleet) allot(req *allot.Request) (*allot.Reply, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	term, err := f.requireLeader()
	if err != nil {
		return nil, 0, err
	}
	index := f.currentIndex()
	if index == nil {
		return nil, 0, link.Errorf(link.CodeOther, "no configuration yet")
	}
	reply, err := f.quotas.Sync(link.SinceBoot(), req, index.Quota)
	if err != nil {
		return nil, 0, link.Errorf(link.CodeInvalid, "settle quotas: %v", err)
	}
	return reply, term, nil
}

// tickQuotas expires what instances hold. The caller holds mu.
func (f *Fleet) tickQuotas() {
	if index := f.currentIndex(); index != nil {
		f.quotas.Tick(link.SinceBoot(), index.Quota)
	}
	customers, held := f.quotas.Held()
	f.metrics.quotaCustomers.Update(float64(customers))
	f.metrics.quotaHeld.Update(float64(held))
}

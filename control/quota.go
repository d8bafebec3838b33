package control

import (
	"context"
	"time"

	"bulrushpath.example/lib/quota"
	"bulrushpath.example/lib/wire"
)

// Permit reserves a time for one send to a target that has named a limit.
func (f *Fleet) Permit(ctx context.Context, req *wire.PermitRequest) (reply *wire.PermitReply, err error) {
	_, end, err := f.svc.begin(ctx, "Permit", req.GetProtocol())
	if err != nil {
		return nil, err
	}
	defer func() { end(err) }()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, err := f.requireLeader(); err != nil {
		return nil, err
	}
	l := quota.FromWire(now, req.GetLimit())
	f.limiter.Observe(now, l)
	maxWait := time.Duration(req.GetMaxWaitMicros()) * time.Microsecond
	return f.limiter.Reserve(now, l.Target, l.StartedAt, maxWait, req.GetLastResort()).ToWire(), nil
}

// recordLimits records the limits in a report. The caller holds mu.
func (f *Fleet) recordLimits(now time.Time, req *wire.FleetRequest) {
	for _, l := range req.GetLimits() {
		f.limiter.Observe(now, quota.FromWire(now, l))
	}
}

// addLimits adds the current limits to the reply if the instance does not hold them. The caller
// holds mu.
func (f *Fleet) addLimits(now time.Time, req *wire.FleetRequest, reply *wire.FleetReply) {
	reply.LimitsVersion = f.limiter.Version()
	if req.GetTerm() == f.term && req.GetLimitsVersion() == reply.GetLimitsVersion() {
		return
	}
	for _, l := range f.limiter.Limits() {
		reply.Limits = append(reply.Limits, l.ToWire(now))
	}
}

// dropLimits removes the limits of target processes that are not in the table any more. The
// caller holds mu.
func (f *Fleet) dropLimits(now time.Time) {
	f.limiter.Retain(now, func(target string, startedAt time.Time) bool {
		a, known := f.table.Lookup(target)
		return known && a.Born.Equal(startedAt)
	})
}

package control

import (
	"context"

	"bulrushpath.example/lib/wire"
)

// Claim handles a caller's attempt to acquire the right to dispatch a non-idempotent
// request.
func (s *service) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	reply, err := call(ctx, s, "Claim", req.GetProtocol(),
		&wire.Command{Body: &wire.Command_Claim{Claim: req}}, (*wire.CommandReply).GetClaim)
	if err == nil {
		s.metrics.claims(wire.Label(reply.GetOutcome())).Inc(1)
	}
	return reply, err
}

// Settle records the outcome of a claimed request.
func (s *service) Settle(ctx context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	reply, err := call(ctx, s, "Settle", req.GetProtocol(),
		&wire.Command{Body: &wire.Command_Settle{Settle: req}}, (*wire.CommandReply).GetSettle)
	if err == nil && !reply.GetAccepted() {
		s.log.Warn().Str("event", "settleRefused").Str("key", req.GetKey()).
			Str("outcome", wire.Label(req.GetOutcome())).Msg("")
	}
	return reply, err
}

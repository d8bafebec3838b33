package control

import (
	"context"

	"bulrushpath.example/lib/wire"
)

// Register assigns an incarnation to an agent and returns the open load intents of its
// target.
func (s *service) Register(ctx context.Context, req *wire.RegisterRequest) (*wire.RegisterReply, error) {
	reply, err := call(ctx, s, "Register", req.GetProtocol(),
		&wire.Command{Body: &wire.Command_Register{Register: req}}, (*wire.CommandReply).GetRegister)
	if err == nil {
		s.log.Info().Str("event", "registered").Str("target", req.GetTarget()).
			Uint64("incarnation", reply.GetIncarnation()).Int("intents", len(reply.GetIntents())).Msg("")
	}
	return reply, err
}

// Intend opens or closes a load intent.
func (s *service) Intend(ctx context.Context, req *wire.IntendRequest) (*wire.IntendReply, error) {
	return call(ctx, s, "Intend", req.GetProtocol(),
		&wire.Command{Body: &wire.Command_Intend{Intend: req}}, (*wire.CommandReply).GetIntend)
}

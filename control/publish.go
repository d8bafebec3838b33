package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/state"
	"bulrushpath.example/lib/wire"
)

// Publish validates a configuration and makes it the current one, unless another
// configuration was published since its base version.
func (s *service) Publish(ctx context.Context, req *wire.PublishRequest) (*wire.PublishReply, error) {
	if err := link.CheckProtocol(req.GetProtocol()); err != nil {
		return nil, err
	}
	if err := state.Validate(req.GetConfig()); err != nil {
		return &wire.PublishReply{Outcome: wire.PublishOutcome_PUBLISH_OUTCOME_INVALID, Message: err.Error()}, nil
	}
	digest, err := state.Digest(req.GetConfig())
	if err != nil {
		return nil, link.Errorf(link.CodeInvalid, "%w", err)
	}
	// The digest is part of the log entry, because replicas of different builds may
	// encode the configuration differently and would compute different digests.
	cmd := proto.CloneOf(req)
	cmd.Config.Digest = digest
	reply, err := call(ctx, s, "Publish", req.GetProtocol(),
		&wire.Command{Body: &wire.Command_Publish{Publish: cmd}}, (*wire.CommandReply).GetPublish)
	if err == nil {
		err = s.group.AwaitTolerance(ctx)
	}
	if err == nil {
		s.log.Info().Str("event", "published").Str("operator", req.GetOperator()).
			Uint64("base", req.GetBaseVersion()).Uint64("version", reply.GetVersion()).
			Str("outcome", wire.Label(reply.GetOutcome())).Msg("")
	}
	return reply, err
}

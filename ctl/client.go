package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// controlFlags holds the flags of commands that contact the control group.
type controlFlags struct {
	Control []netip.AddrPort `required:"" env:"BULRUSHPATH_CONTROL" placeholder:"ADDR,…" help:"Addresses of the control instances, as IP:port."`
	Timeout time.Duration    `default:"10s" help:"Maximum time for a call to the control group."`
}

// callLeader runs fn with a client of the leader, limited by the timeout.
func (c controlFlags) callLeader(ctx context.Context,
	fn func(ctx context.Context, cc wire.DRPCControlClient) error,
) error {
	pool := link.NewPool()
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return link.NewLeaderClient(pool, c.Control).Call(ctx, fn)
}

// status requests the status from the leader.
func (c controlFlags) status(ctx context.Context) (*wire.StatusReply, error) {
	var reply *wire.StatusReply
	err := c.callLeader(ctx, func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.Status(ctx, &wire.StatusRequest{Protocol: link.Protocol})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("get status: %w", err)
	}
	return reply, nil
}

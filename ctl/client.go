package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// control holds the flags of commands that contact the control group.
type control struct {
	Control []netip.AddrPort `required:"" env:"BULRUSHPATH_CONTROL" placeholder:"ADDR,…" help:"Addresses of the control instances, as IP:port."`
	Timeout time.Duration    `default:"10s" help:"Maximum time for a call to the control group."`
}

// call runs fn with a client of the leader, limited by the timeout.
func (c control) call(ctx context.Context,
	fn func(ctx context.Context, cc wire.DRPCControlClient) error,
) error {
	pool := link.NewPool()
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return link.NewLeader(pool, c.Control).Call(ctx, fn)
}

// status requests the status from the leader.
func (c control) status(ctx context.Context) (*wire.StatusReply, error) {
	var reply *wire.StatusReply
	err := c.call(ctx, func(ctx context.Context, cc wire.DRPCControlClient) (err error) {
		reply, err = cc.Status(ctx, &wire.StatusRequest{Protocol: link.Protocol})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("get status: %w", err)
	}
	return reply, nil
}

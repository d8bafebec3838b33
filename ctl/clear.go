package main

import (
	"context"
	"encoding/hex"
	"fmt"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

const clearUsage = `
Lifts the verdict on a request, or on a part of prompts, with which targets were lost. The
status command lists the fingerprints. The request, or those with the part, run again within
a second; if targets are lost again, it is blocked again.

Exit codes: 0 lifted, 1 control group unreachable or fingerprint unknown.`

type clearCmd struct {
	controlFlags
	Fingerprint string `arg:"" help:"Fingerprint of the request or part in hexadecimal, as listed by status."`
}

// Help returns the detailed help text of the command.
func (clearCmd) Help() string { return clearUsage }

// Run lifts the verdict.
func (c *clearCmd) Run(ctx context.Context) error {
	fp, err := hex.DecodeString(c.Fingerprint)
	if err != nil {
		return fmt.Errorf("fingerprint %q is not hexadecimal: %w", c.Fingerprint, err)
	}
	known, err := c.clear(ctx, fp)
	if err != nil {
		return err
	}
	if !known {
		return fmt.Errorf("no target was lost with %s", c.Fingerprint)
	}
	fmt.Println("lifted")
	return nil
}

// clear requests the lifting from the leader.
func (c controlFlags) clear(ctx context.Context, fp []byte) (known bool, err error) {
	err = c.callLeader(ctx, func(ctx context.Context, cc wire.DRPCControlClient) error {
		reply, err := cc.Clear(ctx, &wire.ClearRequest{Protocol: link.Protocol, Fingerprint: fp})
		known = reply.GetKnown()
		return err
	})
	if err != nil {
		return false, fmt.Errorf("lift verdict: %w", err)
	}
	return known, nil
}

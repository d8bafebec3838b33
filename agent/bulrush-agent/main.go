// Command bulrush-agent is the agent process that runs beside one target.
package main

import (
	"context"
	"os"

	"bulrushpath.example/agent"
	"bulrushpath.example/lib/daemon"
)

func main() {
	s := new(agent.Settings)
	os.Exit(daemon.Main("agent", "Serves one target: a model engine or a plain service.", s, &s.Process,
		func(ctx context.Context, p *daemon.Process) error { return agent.Run(ctx, p, s) }))
}

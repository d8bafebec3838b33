// Command bulrush-control runs one instance of the control group.
package main

import (
	"context"
	"os"

	"bulrushpath.example/control"
	"bulrushpath.example/lib/daemon"
)

func main() {
	var s control.Settings
	os.Exit(daemon.Main("control", "One instance of the control group.", &s, &s.Process,
		func(ctx context.Context, p *daemon.Process) error { return control.Run(ctx, p, s.Control) }))
}

// Command bulrush-entry serves the HTTP requests of callers and runs each on a target.
// See docs/api.md.
package main

import (
	"context"
	"os"

	"bulrushpath.example/entry"
	"bulrushpath.example/lib/daemon"
)

const usage = "Serves the HTTP requests of callers and routes them to targets."

func main() {
	var s entry.Settings
	os.Exit(daemon.Main("entry", usage, &s, &s.Process,
		func(ctx context.Context, p *daemon.Process) error { return entry.Run(ctx, p, &s.Entry) }))
}

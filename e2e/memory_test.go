package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/standin/engine"
)

// Guards guarantee 1: no engine is overcommitted, even if an agent gets no response to
// a command. Commands are delayed, lost or repeated, agents and engines crash during
// loads, and versions change meanwhile, at engines with and without fencing. The
// engines have memory for two models and never reject a load.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	specs := engines(6, "--memory", "9GiB", "--load-time", "300ms")
	for i := range specs {
		if i%2 == 1 {
			specs[i].Args = append(specs[i].Args, "--no-fencing")
		}
	}
	d := deploy.Start(t, deploy.Spec{Config: config(1), Engines: specs, Controls: 1, Entries: 1})
	for version := 2; version <= 5; version++ {
		for i, tg := range d.Engines {
			if !tg.Running() {
				continue
			}
			switch (i + version) % 5 {
			case 0:
				injectFault(t, tg, engine.Faults{DelayCommandMillis: 1500})
			case 1:
				injectFault(t, tg, engine.Faults{LoseCommands: 1})
			case 2:
				injectFault(t, tg, engine.Faults{RepeatCommand: true, RepeatMillis: 200})
			}
		}
		out, code := d.TryPublish(config(version), "--wait", "5s")
		assert.Assert(t, code == 0 || code == 4, out)
		// The agent is killed while its commands are in flight; the engine keeps running.
		restarted := d.Engines[version%len(d.Engines)]
		restarted.Agent.Kill()
		restarted.Agent.Restart(t)
		crashed := d.Engines[(version+3)%len(d.Engines)]
		injectFault(t, crashed, engine.Faults{CrashMillis: 300})
		time.Sleep(time.Second)
	}
	loadedBytes := uint64(0)
	for _, tg := range d.Engines {
		d.Await("engine "+tg.Name+" up", func() bool { return acceptsConnections(tg) })
		a := engineAudit(t, tg)
		t.Logf("%s: peak %d of %d MiB", tg.Name, a.MaxResidentBytes>>20, a.MemoryBytes>>20)
		assert.Equal(t, a.Overcommits, uint64(0), tg.Name)
		assert.Assert(t, a.MaxResidentBytes <= a.MemoryBytes, tg.Name)
		loadedBytes += a.MaxResidentBytes
	}
	assert.Assert(t, loadedBytes > 0, "no engine has loaded anything")
}

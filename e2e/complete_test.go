package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/standin/engine"
)

// Guards guarantee 3: no response is truncated, mixed up or delivered to another
// caller. Streams break at the engine, between agent and engine and between entry
// instance and agent; connections stall and deliver late; an engine crashes.
func TestAnswersAreComplete(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{
		Config: config(1), Engines: engines(4), Plains: 1, PlainTeam: "oak", Controls: 1, Links: true,
		Entry: "stallTimeout = 2s",
	})
	finish := startLoad(t, d, 40, models("1"), routes)
	pause := func() { time.Sleep(700 * time.Millisecond) }
	pause()
	for i, tg := range d.Engines {
		injectFault(t, tg, engine.Faults{CutStreams: 3})
		pause()
		switch i {
		case 0:
			tg.FromEntry.Cut()
			pause()
			tg.FromEntry.Heal()
		case 1:
			tg.FromAgent.Cut()
			pause()
			tg.FromAgent.Heal()
		case 2:
			// The held bytes arrive after the requests have been retried elsewhere.
			tg.FromEntry.Blackhole()
			time.Sleep(3 * time.Second)
			tg.FromEntry.Release()
		case 3:
			injectFault(t, tg, engine.Faults{StallMillis: 1500, SlowFactor: 5, SlowMillis: 3000})
			pause()
			injectFault(t, d.Engines[0], engine.Faults{CrashMillis: 500})
		}
		pause()
	}
	s := finish()
	assertNoFaults(t, s)
	assert.Assert(t, s.Total.Completed > 0)
}

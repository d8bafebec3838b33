package e2e

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/lib/wire"
	"bulrushpath.example/load/caller"
)

// acceptsConnections reports whether a target accepts connections.
func acceptsConnections(tg *deploy.Target) bool {
	c, err := net.DialTimeout("tcp", tg.Addr.String(), time.Second)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// Guards guarantee 2: every model stays reachable while its version changes, an engine
// and its agent are killed, and another pair is killed right after the repair.
func TestModelsStayReachable(t *testing.T) {
	d := deploy.Start(t, deploy.Spec{Config: config(1), Engines: engines(5), Controls: 1})
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var sent, failed, slowest atomic.Int64
	for _, model := range []string{"patterns", "tally"} {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				g := generation(model, fmt.Sprintf("reach %s %d", model, i), 4, "1", "2")
				g.Stream = i%2 == 0
				r := d.Client.Generate(t.Context(), g)
				sent.Add(1)
				slowest.Store(max(slowest.Load(), int64(r.Latency)))
				if r.Outcome != caller.Completed {
					failed.Add(1)
					t.Logf("%s %d: %s after %s: %s", model, i, r.Outcome, r.Latency, r.Reason)
				}
			}
		})
	}
	finish := sync.OnceFunc(func() {
		close(stop)
		wg.Wait()
	})
	defer finish()
	d.Publish(config(2))
	d.AwaitResident()
	for range 2 {
		tg := engineWithModel(t, d, "patterns")
		killWithAgent(tg)
		d.Await("loss of "+tg.Name+" detected", func() bool { return !targetReady(d.Status(), tg.Name) })
		d.AwaitResident()
	}
	time.Sleep(time.Second)
	finish()
	t.Logf("sent %d, slowest %s", sent.Load(), time.Duration(slowest.Load()))
	assert.Equal(t, failed.Load(), int64(0))
	assert.Assert(t, sent.Load() > 20)
}

// targetReady reports whether a target is ready according to the control group. If st is
// nil, it returns true, because the target may be ready.
func targetReady(st *wire.StatusReply, target string) bool {
	if st == nil {
		return true
	}
	for _, a := range st.Targets {
		if a.Target == target {
			return a.Phase == wire.Phase_PHASE_READY
		}
	}
	return false
}

// engineWithModel waits for a running engine with a running agent on which a model is
// resident, and returns it.
func engineWithModel(t *testing.T, d *deploy.Deployment, model string) *deploy.Target {
	t.Helper()
	var found *deploy.Target
	d.Await("an engine with resident model "+model, func() bool {
		st := d.Status()
		for _, a := range st.GetTargets() {
			for _, c := range a.Resident {
				for _, tg := range d.Engines {
					if c.Model == model && tg.Name == a.Target && tg.Running() && tg.Agent.Running() {
						found = tg
					}
				}
			}
		}
		return found != nil
	})
	return found
}

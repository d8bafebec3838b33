package e2e

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/e2e/deploy"
	"bulrushpath.example/load/caller"
	"bulrushpath.example/load/drive"
	"bulrushpath.example/load/mixed"
	"bulrushpath.example/load/report"
	"bulrushpath.example/standin/engine"
	"bulrushpath.example/standin/plain"
	"bulrushpath.example/standin/probe"
)

func TestMain(m *testing.M) {
	code := m.Run()
	deploy.RemovePrograms()
	os.Exit(code)
}

// config returns an operators' file in which model patterns has the given version.
func config(version int) string {
	return fmt.Sprintf(`
[team oak]
lendPercent = 30
[team cup]
lendPercent = 30
[weightStore]
loadsPerSecond = 40
loadsAtOnce = 8
[model patterns]
version = %d
team = oak
bytes = 4GiB
minCopies = 2
maxCopies = 3
[adapter patterns/walnut]
bytes = 128MiB
[model tally]
version = 1
team = cup
bytes = 4GiB
minCopies = 2
maxCopies = 3
[service ledger]
team = oak
[route ledger/read]
method = GET
path = /
[route ledger/reserve]
method = POST
path = /reserve
nonIdempotent = true
`, version)
}

// models returns the models of config for the load, accepting any of the given
// versions of patterns.
func models(versions ...string) []mixed.Model {
	return []mixed.Model{
		{Name: "patterns", Versions: versions, Adapters: []string{"walnut"}},
		{Name: "tally", Versions: []string{"1"}},
	}
}

var routes = []mixed.Route{{Service: "ledger", Method: "POST", Path: "/reserve"}}

// engines returns n engines, half of them, rounded up, of team oak and the rest of team
// cup.
func engines(n int, args ...string) []deploy.EngineSpec {
	var list []deploy.EngineSpec
	for i := range n {
		team := "oak"
		if i >= (n+1)/2 {
			team = "cup"
		}
		list = append(list, deploy.EngineSpec{Team: team, Args: args})
	}
	return list
}

// startLoad sends a mixed load until the returned function is called, but at most
// for a minute. The function returns the report.
func startLoad(t *testing.T, d *deploy.Deployment, rate float64, models []mixed.Model, routes []mixed.Route) func() report.Summary {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	rec := report.NewRecorder()
	var wg sync.WaitGroup
	o := drive.Options{
		Models: models, Routes: routes, Seed: 1, Duration: time.Minute, Rate: rate, MaxInFlight: 300,
	}
	for _, n := range d.Entries {
		o.Entries = append(o.Entries, n.Addr)
	}
	wg.Go(func() { drive.Send(ctx, o, rec) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return func() report.Summary {
		t.Helper()
		cancel()
		wg.Wait()
		s := rec.Summarize(executions(t, d), nil, 0)
		t.Logf("sent %d, completed %d, refused %d, unknown %d, lost %d, doubled %d, resent %d", s.Total.Sent,
			s.Total.Completed, s.Total.Refused, s.Total.Unknown, s.Total.Lost, s.Total.Doubled, s.Total.Resent)
		for _, line := range s.Reasons {
			t.Log(line)
		}
		return s
	}
}

// executions returns the executions per ref, summed over the journals of all plain
// services.
func executions(t *testing.T, d *deploy.Deployment) map[string]int {
	t.Helper()
	var journals []string
	for _, p := range d.Plains {
		journals = append(journals, p.Journal)
	}
	runs, err := drive.Executions(nil, journals)
	assert.NilError(t, err)
	return runs
}

// assertNoFaults fails the test if a check of the report failed, such as a lost request, a
// call executed twice, or a call executed although it was reported as not run.
func assertNoFaults(t *testing.T, s report.Summary) {
	t.Helper()
	assert.Equal(t, len(s.Faults), 0, "%v", s.Faults)
}

// injectFault injects a fault into an engine or a plain service.
func injectFault(t *testing.T, tg *deploy.Target, f any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, probe.Post(ctx, tg.Addr, "/v1/faults", f))
}

func engineAudit(t *testing.T, tg *deploy.Target) engine.Audit {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := probe.Get[engine.Audit](ctx, tg.Addr, "/v1/audit")
	assert.NilError(t, err)
	return a
}

func plainAudit(t *testing.T, tg *deploy.Target) plain.Audit {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := probe.Get[plain.Audit](ctx, tg.Addr, "/audit")
	assert.NilError(t, err)
	return a
}

// killWithAgent sends SIGKILL to a target and its agent.
func killWithAgent(tg *deploy.Target) {
	tg.Agent.Kill()
	tg.Kill()
}

// generation returns a streamed request for a number of tokens.
func generation(model, prompt string, tokens int, versions ...string) caller.Generation {
	return caller.Generation{
		Model: model, Versions: versions, Prompt: prompt, MaxTokens: tokens,
		Priority: 5, Deadline: 20 * time.Second, Stream: true,
	}
}

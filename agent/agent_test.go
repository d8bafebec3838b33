package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/daemon"
	"bulrushpath.example/lib/ledger"
	"bulrushpath.example/lib/wire"
)

const (
	outcomeCompleted = wire.RunOutcome_RUN_OUTCOME_COMPLETED
	outcomeNotRun    = wire.RunOutcome_RUN_OUTCOME_NOT_RUN
	outcomeUnknown   = wire.RunOutcome_RUN_OUTCOME_UNKNOWN
)

// holdGenerate returns a handler of generate requests that sends one token and then
// waits for release or for the connection to close.
func holdGenerate(arrived chan<- string, release <-chan struct{}) func(http.ResponseWriter, *http.Request, generateJSON) {
	return func(w http.ResponseWriter, r *http.Request, g generateJSON) {
		writeToken(w, g.RequestID, 0, "t0 ")
		arrived <- g.Prompt
		select {
		case <-release:
			g.ResumeIndex = 1
			echo(w, r, g)
		case <-r.Context().Done():
			arrived <- "cancelled"
		}
	}
}

// Guards against a request that is lost or changed on its path through admission, the
// engine and the stream, with and without resumption.
func TestRunThroughEngine(t *testing.T) {
	e, b := startEngineAgent(t, nil, echo)
	got := b.call(context.Background(), generateRequest())
	assert.NilError(t, got.err)
	assert.Equal(t, got.end.GetOutcome(), outcomeCompleted)
	assert.Equal(t, got.text, "t0 t1 t2 ")
	assert.Equal(t, got.end.GetTokens(), uint32(3))
	assert.Equal(t, got.started.GetVersion(), "1")
	req := generateRequest()
	req.ResumeIndex, req.ResumeText = 2, []byte("t0 t1 ")
	req.TraceParent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"
	var parent string
	e.withLock(func() {
		e.generate = func(w http.ResponseWriter, r *http.Request, g generateJSON) {
			parent = r.Header.Get("Traceparent")
			echo(w, r, g)
		}
	})
	got = b.call(context.Background(), req)
	assert.Equal(t, got.text, "t2 ")
	assert.Equal(t, got.end.GetTokens(), uint32(3))
	assert.Assert(t, strings.HasPrefix(parent, req.TraceParent[:35]), "the engine call must belong to the trace: %q", parent)
}

// Guards against reporting a request as completed without the engine's final line. A
// malformed or truncated stream has the outcome unknown, a definite refusal not-run.
func TestOnlyTheFinalLineCompletes(t *testing.T) {
	line := func(format string) func(w http.ResponseWriter, r *http.Request, g generateJSON) {
		return func(w http.ResponseWriter, _ *http.Request, g generateJSON) {
			_, _ = io.WriteString(w, strings.ReplaceAll(format, "ID", g.RequestID))
		}
	}
	refuse := func(status int, body string) func(w http.ResponseWriter, r *http.Request, g generateJSON) {
		return func(w http.ResponseWriter, _ *http.Request, _ generateJSON) { http.Error(w, body, status) }
	}
	t0, end1 := `{"requestId":"ID","index":0,"text":"a"}`+"\n", `{"requestId":"ID","done":true,"tokens":1}`
	tests := []struct {
		name     string
		generate func(w http.ResponseWriter, r *http.Request, g generateJSON)
		outcome  wire.RunOutcome
		reason   wire.Reason
	}{
		{"whole", line(t0 + end1 + "\n"), outcomeCompleted, 0},
		{"no final line", line(t0), outcomeUnknown, wire.Reason_REASON_FAILED},
		{"cut final line", line(t0 + end1), outcomeUnknown, wire.Reason_REASON_FAILED},
		{"count differs", line(t0 + t0 + end1 + "\n"), outcomeUnknown, wire.Reason_REASON_FAILED},
		{"gap", line(strings.Replace(t0, ":0", ":1", 1) + end1 + "\n"), outcomeUnknown, wire.Reason_REASON_FAILED},
		{"other request", line(t0 + `{"requestId":"x","done":true,"tokens":1}` + "\n"), outcomeUnknown, wire.Reason_REASON_FAILED},
		{"no index", line(`{"requestId":"ID","text":"a"}` + "\n" + end1 + "\n"), outcomeUnknown, wire.Reason_REASON_FAILED},
		{"refused", refuse(404, `{"code":"notResident","notRun":true}`), outcomeNotRun, wire.Reason_REASON_NOT_RESIDENT},
		{"busy", refuse(429, `{"code":"busy","notRun":true}`), outcomeNotRun, wire.Reason_REASON_QUEUE_FULL},
		{"uncertain", refuse(500, `{"code":"busy"}`), outcomeUnknown, wire.Reason_REASON_FAILED},
	}
	e, b := startEngineAgent(t, nil, echo)
	for _, tt := range tests {
		e.withLock(func() { e.generate = tt.generate })
		got := b.call(context.Background(), generateRequest())
		assert.NilError(t, got.err, tt.name)
		assert.Equal(t, got.end.GetOutcome(), tt.outcome, tt.name)
		assert.Equal(t, got.end.GetReason(), tt.reason, tt.name)
	}
	b.control.withLock(func() { assert.Equal(t, len(b.control.crashes), 0, "ordinary errors were reported as crashes") })
}

func plan(sequence uint64, keep ...*wire.Copy) *wire.Plan {
	return &wire.Plan{Stamp: &wire.Stamp{Term: 1, Sequence: sequence}, Keep: keep}
}

// Guards against a load without a recorded intent, an intent that is left open, and a
// plan that replaces a version without loading the new one first.
func TestPlanIsCarriedOut(t *testing.T) {
	e, b := startEngineAgent(t, nil, echo)
	v1 := &wire.Copy{Model: "m", Version: "1", Bytes: 10}
	v2 := &wire.Copy{Model: "m", Version: "2", Bytes: 10}
	x := &wire.Copy{Model: "m", Version: "2", Adapter: "x", Bytes: 1}
	b.control.withLock(func() { b.control.reply.Plan = plan(1, x, v1, v2) })
	b.waitUntil("new version and adapter are resident", func() bool {
		return len(b.control.last.GetAnnouncement().GetResident()) == 3 && len(b.control.closed) == 2
	})
	b.control.withLock(func() { b.control.reply.Plan = plan(2, x, v2) })
	b.waitUntil("old version is gone", func() bool {
		ann := b.control.last.GetAnnouncement()
		return len(ann.GetResident()) == 2 && ann.GetPlanAck().GetSequence() == 2
	})
	// Once the agent decides to unload an artifact, it announces it as pinned instead
	// of resident, possibly before the engine has received the command.
	b.waitUntil("unload has arrived", func() bool {
		arrived := false
		e.withLock(func() { arrived = len(e.commands) >= 3 })
		return arrived
	})
	e.withLock(func() {
		assert.Equal(t, len(e.commands), 3)
		for i, c := range e.commands[:2] {
			assert.Equal(t, c.CommandID, b.control.intents[i].GetCommandId())
			assert.Equal(t, c.Op, "load")
			assert.Equal(t, c.Token, uint64(7))
		}
		assert.Equal(t, e.commands[1].Copy.Adapter, "x", "a model must be loaded before its adapters")
		assert.Equal(t, e.commands[2].Op, "unload")
	})
}

// Guards against commands from an agent that has been superseded or whose lease has
// expired, and against interrupting the requests that run there.
func TestCommandsNeedLeaseAndNewestIncarnation(t *testing.T) {
	arrived, release := make(chan string, 9), make(chan struct{})
	e, b := startEngineAgent(t, nil, holdGenerate(arrived, release))
	running := make(chan result, 1)
	go func() { running <- b.call(context.Background(), generateRequest()) }()
	<-arrived

	// Without replies from control the lease expires; the agent keeps serving.
	b.disconnectControl()
	b.mu.Lock()
	b.leaseEnd = time.Now().Add(-time.Second)
	b.ledger.SetPlan(ledger.Stamp{Term: 1, Sequence: 1}, []ledger.Artifact{
		{Key: ledger.Key{Model: "m", Version: "1"}, Bytes: 10},
		{Key: ledger.Key{Model: "n", Version: "1"}, Bytes: 10},
	})
	b.mu.Unlock()
	b.schedule()
	ok, err := b.engine.command(context.Background(), ledger.Command{ID: "c", Op: ledger.OpFence, BootID: "b1"}, b.maySendCommands)
	assert.Assert(t, err != nil)
	assert.Equal(t, ok, ledger.ResultNotSent)
	e.withLock(func() { assert.Equal(t, len(e.commands), 0) })
	e.withLock(func() { e.generate = echo })
	assert.Equal(t, b.call(context.Background(), generateRequest()).end.GetOutcome(), outcomeCompleted)

	b.control.withLock(func() { b.control.unreachable, b.control.reply.Superseded = false, true })
	b.waitUntil("agent knows that it is superseded", b.isSuperseded)
	got := b.call(context.Background(), generateRequest())
	assert.Equal(t, got.end.GetOutcome(), outcomeNotRun)
	close(release)
	assert.Equal(t, (<-running).end.GetOutcome(), outcomeCompleted)
	e.withLock(func() { assert.Equal(t, len(e.commands), 0) })
}

// Guards against a command that reaches an engine that has been restarted since the
// command was issued. The ledger drops its reservation of memory at the restart.
func TestCommandIsBoundToBoot(t *testing.T) {
	e := newFakeEngine(t)
	c := newEngineClient("http://" + e.addr)
	cmd := ledger.Command{ID: "1-1-b0", Op: ledger.OpLoad, BootID: "b0"}
	got, err := c.command(context.Background(), cmd, func() bool { return true })
	assert.ErrorContains(t, err, "boot ID")
	assert.Equal(t, got, ledger.ResultNotSent)
	cmd.BootID = "b1"
	// The engine restarts after it has reported its boot ID.
	got, err = c.command(context.Background(), cmd, func() bool { _ = e.srv.Close(); e.listen(t, e.addr); return true })
	assert.Assert(t, err != nil)
	assert.Assert(t, got == ledger.ResultNotSent || got == ledger.ResultUnknown)
	e.withLock(func() { assert.Equal(t, len(e.commands), 0) })
}

// Guards against returning a crash to the entry instance before it is reported to
// control, and against a report that lacks a request that ran or includes one that did
// not.
func TestCrashIsReportedFirst(t *testing.T) {
	for _, restart := range []bool{false, true} {
		arrived := make(chan string, 9)
		e, b := startEngineAgent(t, func(s *Settings) { s.Agent.Slots = 2 }, holdGenerate(arrived, nil))
		results := make(chan result, 3)
		for _, fp := range []string{"f1", "f2", "waiting"} {
			req := generateRequest()
			req.Fingerprint, req.RequestId = []byte(fp), []byte(fp)
			go func() { results <- b.call(context.Background(), req) }()
			if fp != "waiting" {
				<-arrived
			}
		}
		b.waitUntil("third request waits", func() bool { return b.control.last.GetAnnouncement().GetLoad().GetQueued() == 1 })
		_ = e.srv.Close()
		if restart {
			e.withLock(func() { e.state.BootID, e.generate = "b2", echo })
			e.listen(t, e.addr)
		}
		unknown := 0
		for range 3 {
			got := <-results
			assert.NilError(t, got.err)
			if got.end.GetOutcome() != outcomeUnknown {
				continue
			}
			unknown++
			assert.Equal(t, got.end.GetReason(), wire.Reason_REASON_CRASHED)
			assert.Equal(t, got.end.GetBootId(), "b1")
			b.control.withLock(func() { assert.Assert(t, len(b.control.crashes) > 0, "the crash must be reported first") })
		}
		assert.Equal(t, unknown, 2)
		b.control.withLock(func() {
			seen := map[string]bool{}
			for _, c := range b.control.crashes {
				assert.Equal(t, c.GetBootId(), "b1")
				for _, fp := range c.GetFingerprints() {
					seen[string(fp)] = true
				}
			}
			assert.DeepEqual(t, seen, map[string]bool{"f1": true, "f2": true})
		})
	}
}

// Guards against a crash that control never learns of because no leader replied within
// the time for which the end record is delayed, and the entry instance ended, too.
func TestCrashReportContinuesInBackground(t *testing.T) {
	arrived := make(chan string, 1)
	e, b := startEngineAgent(t, nil, holdGenerate(arrived, nil))
	b.control.withLock(func() { b.control.refuseCrashes = true })
	req := generateRequest()
	req.Fingerprint = []byte("f1")
	results := make(chan result, 1)
	go func() { results <- b.call(context.Background(), req) }()
	<-arrived
	_ = e.srv.Close()
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.end.GetReason(), wire.Reason_REASON_CRASHED)
	b.control.withLock(func() {
		assert.Equal(t, len(b.control.crashes), 0)
		b.control.refuseCrashes = false
	})
	b.waitUntil("the report arrives", func() bool { return len(b.control.crashes) == 1 })
	b.control.withLock(func() { assert.DeepEqual(t, b.control.crashes[0].GetFingerprints(), [][]byte{[]byte("f1")}) })
}

// Guards against a drain that interrupts running requests, ends before the last end
// record is written, leaves new or queued requests without an answer, or is not
// announced to control.
func TestDrain(t *testing.T) {
	for _, byEngine := range []bool{false, true} {
		arrived, release := make(chan string, 9), make(chan struct{})
		e, b := startEngineAgent(t, func(s *Settings) { s.Agent.Slots = 1 }, holdGenerate(arrived, release))
		slow := &slowStream{ctx: context.Background(), ends: make(chan *wire.End), release: make(chan struct{})}
		running := generateRequest()
		running.Protocol, running.RequestId = 1, []byte("r")
		go func() { _ = b.Run(running, slow) }()
		<-arrived
		waiting := make(chan result, 1)
		go func() { waiting <- b.call(context.Background(), generateRequest()) }()
		b.waitUntil("second request waits", func() bool { return b.control.last.GetAnnouncement().GetLoad().GetQueued() == 1 })
		if byEngine {
			e.withLock(func() { e.state.Leaving = true })
		} else {
			b.cancel()
		}
		for _, got := range []result{<-waiting, b.call(context.Background(), generateRequest())} {
			assert.NilError(t, got.err)
			assert.Equal(t, got.end.GetOutcome(), outcomeNotRun)
			assert.Equal(t, got.end.GetReason(), wire.Reason_REASON_LEAVING)
		}
		b.waitUntil("leaving is announced", func() bool {
			return b.control.last.GetAnnouncement().GetPhase() == wire.Phase_PHASE_LEAVING && !b.control.last.GetLeaving()
		})
		close(release)
		assert.Equal(t, (<-slow.ends).GetOutcome(), outcomeCompleted)
		select {
		case <-b.done:
			t.Fatal("agent stopped before the end record was written")
		case <-time.After(100 * time.Millisecond):
		}
		close(slow.release)
		assert.NilError(t, <-b.done)
		b.control.withLock(func() { assert.Assert(t, b.control.last.GetLeaving()) })
	}
}

// slowStream is the stream of an entry instance that is slow to receive the end record.
type slowStream struct {
	drpc.Stream
	ctx     context.Context
	ends    chan *wire.End
	release chan struct{}
}

func (s *slowStream) Context() context.Context { return s.ctx }

func (s *slowStream) Send(ev *wire.RunEvent) error {
	if ev.GetEnd() != nil {
		s.ends <- ev.GetEnd()
		<-s.release
	}
	return nil
}

// Guards against an engine request that continues after its caller has disconnected,
// and against a borrowed slot that is not reclaimed when the owner needs it.
func TestCancelAndReclaim(t *testing.T) {
	arrived := make(chan string, 9)
	e, b := startEngineAgent(t, func(s *Settings) { s.Agent.Slots = 1 }, holdGenerate(arrived, nil))
	b.control.withLock(func() {
		b.control.reply.Config = &wire.Config{Version: 3, Teams: []*wire.Team{{Name: "own", LendPercent: 100}}}
	})
	b.waitUntil("configuration is in force", func() bool { return b.control.last.GetConfigVersion() == 3 })
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan result, 1)
	go func() { cancelled <- b.call(ctx, generateRequest()) }()
	<-arrived
	cancel()
	assert.Equal(t, <-arrived, "cancelled")
	<-cancelled

	borrowed := make(chan result, 1)
	go func() {
		req := generateRequest()
		req.Team = "other"
		borrowed <- b.call(context.Background(), req)
	}()
	<-arrived
	e.withLock(func() { e.generate = echo })
	got := b.call(context.Background(), generateRequest())
	assert.Equal(t, got.end.GetOutcome(), outcomeCompleted)
	end := (<-borrowed).end
	assert.Equal(t, end.GetOutcome(), outcomeUnknown)
	assert.Equal(t, end.GetReason(), wire.Reason_REASON_RECLAIMED)
}

// Guards against reverting to an older configuration or plan when replies arrive out of
// order.
func TestConfigAndPlanNeverRevert(t *testing.T) {
	_, b := startEngineAgent(t, nil, echo)
	v := &wire.Copy{Model: "m", Version: "1", Bytes: 10}
	cfg := func(version uint64, percent uint32) *wire.Config {
		return &wire.Config{Version: version, Teams: []*wire.Team{{Name: "own", LendPercent: percent}}}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applySyncReply(&wire.SyncReply{Config: cfg(5, 50), Plan: plan(4, v)}, time.Now())
	b.applySyncReply(&wire.SyncReply{Config: cfg(4, 10), Plan: plan(3)}, time.Now())
	assert.Equal(t, b.cfg.GetVersion(), uint64(5))
	assert.Equal(t, b.admit.Config().LendPercent, uint32(50))
	assert.Equal(t, b.ledger.Stamp(), ledger.Stamp{Term: 1, Sequence: 4})
	assert.Assert(t, b.ledger.Usable(ledger.Key{Model: "m", Version: "1"}))
}

// Guards against running blocked requests, and suspects alongside other requests.
func TestSuspectsAreRefused(t *testing.T) {
	_, b := startEngineAgent(t, nil, echo)
	judge := func(fp string, v wire.Verdict) *wire.Suspect {
		return &wire.Suspect{Fingerprint: []byte(fp), Verdict: v, UntilUnixMillis: time.Now().Add(time.Hour).UnixMilli()}
	}
	b.disconnectControl()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applySyncReply(&wire.SyncReply{SuspectsVersion: 2, Suspects: []*wire.Suspect{
		judge("blocked", wire.Verdict_VERDICT_BLOCKED), judge("suspect", wire.Verdict_VERDICT_SUSPECT),
	}}, time.Now())
	refuse := func(fp string, alone bool) wire.Reason {
		req := generateRequest()
		req.Fingerprint, req.Alone = []byte(fp), alone
		return b.refuseByState(time.Now(), req).GetReason()
	}
	assert.Equal(t, refuse("blocked", true), wire.Reason_REASON_BLOCKED)
	assert.Equal(t, refuse("suspect", false), wire.Reason_REASON_BUSY)
	assert.Equal(t, refuse("suspect", true), wire.Reason_REASON_UNSPECIFIED)
	assert.Equal(t, refuse("other", false), wire.Reason_REASON_UNSPECIFIED)
}

// Guards against lost requests in a burst larger than the queue: each of them must end
// as completed or not-run.
func TestBurstIsAnswered(t *testing.T) {
	_, b := startEngineAgent(t, func(s *Settings) { s.Agent.QueueLimit = 4 }, echo)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			req := generateRequest()
			req.RequestId = []byte(fmt.Sprint("r", i))
			got := b.call(context.Background(), req)
			o := got.end.GetOutcome()
			assert.Check(t, got.err == nil && (o == outcomeCompleted || o == outcomeNotRun && got.text == ""), "%v %v", got.err, got.end)
		})
	}
	wg.Wait()
	b.waitUntil("all slots are free", func() bool { return b.control.last.GetAnnouncement().GetLoad().GetRunning() == 0 })
}

// Guards against reporting only the first error in the settings.
func TestSettingsFindings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a.ini")
	text := "[process]\nname = a\nzone = z\n[agent]\ntarget = t\nlisten = 127.0.0.1:1\nurl = x\nkind = plain\nslots = -1\ncontrol = 127.0.0.1:2, 127.0.0.1:3\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	err := daemon.LoadSettings(path, new(Settings))
	var findings *check.Error
	assert.Assert(t, errors.As(err, &findings))
	lines := map[string]int{}
	for _, f := range findings.Findings {
		lines[f.Field] = f.Line
	}
	assert.DeepEqual(t, lines, map[string]int{"agent.url": 7, "agent.service": 0, "agent.slots": 9})
}

// Guards against a decoder that, on arbitrary input, panics, returns tokens out of
// order or completes a stream without its final line.
func FuzzTokenStream(f *testing.F) {
	f.Add([]byte("{\"requestId\":\"ab\",\"index\":3,\"text\":\"x\"}\n{\"requestId\":\"ab\",\"done\":true,\"tokens\":4}\n"), uint32(3))
	f.Add([]byte("{\"requestId\":\"ab\",\"done\":true,\"tokens\":0}"), uint32(0))
	f.Add([]byte("{\"requestId\":\"ab\",\"index\":0}\n"), uint32(0))
	f.Fuzz(func(t *testing.T, data []byte, from uint32) {
		s := newTokenStream(io.NopCloser(bytes.NewReader(data)), "ab", from)
		next := from
		for {
			index, _, err := s.token()
			if err != nil {
				break
			}
			assert.Equal(t, index, next)
			next++
		}
		if s.done {
			assert.Equal(t, s.nextIndex, next)
			// The final line may be anywhere in the input, because data after it is
			// ignored. encoding/json matches keys in any case.
			assert.Assert(t, bytes.Contains(data, []byte("\n")) && bytes.Contains(bytes.ToLower(data), []byte("done")))
		}
	})
}

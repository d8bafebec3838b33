package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/standin/answer"
	"bulrushpath.example/standin/probe"
)

func startEngine(t *testing.T, change func(*Config)) *Engine {
	t.Helper()
	cfg := DefaultConfig()
	cfg.TokenTime, cfg.FirstTokenTime, cfg.PrefillTime = time.Millisecond, time.Millisecond, 0
	cfg.LoadTime, cfg.UnloadTime = 20*time.Millisecond, time.Millisecond
	if change != nil {
		change(&cfg)
	}
	e, err := Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

func post(t *testing.T, e *Engine, path string, body any) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr().String()+path, bytes.NewReader(data))
	assert.NilError(t, err)
	return http.DefaultClient.Do(req)
}

func sendCommand(t *testing.T, e *Engine, id, op string, token uint64, c Copy) int {
	t.Helper()
	resp, err := post(t, e, "/v1/commands", Command{CommandID: id, Op: op, Token: token, Copy: c})
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

var patterns = Copy{Model: "patterns", Version: "3", Bytes: 30 << 30}

// generate returns the text, the number of tokens and whether the final line was
// received.
func generate(t *testing.T, e *Engine, g GenerateRequest) (text string, tokens int, complete bool) {
	t.Helper()
	resp, err := post(t, e, "/v1/generate", g)
	if err != nil || resp.StatusCode != http.StatusOK {
		return "", 0, false
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		var line struct {
			Text   string
			Done   bool
			Tokens int
		}
		assert.NilError(t, json.Unmarshal(sc.Bytes(), &line))
		if line.Done {
			complete = true
			tokens = line.Tokens
			continue
		}
		text += line.Text
	}
	return text, tokens, complete
}

func getState(t *testing.T, e *Engine) State {
	t.Helper()
	s, err := probe.Get[State](t.Context(), e.Addr(), "/v1/state")
	assert.NilError(t, err)
	return s
}

// Guards against output that depends on batching or on the index of a resumption.
func TestGenerateIsDeterministicAndResumes(t *testing.T) {
	e := startEngine(t, nil)
	assert.Equal(t, sendCommand(t, e, "c1", "load", 1, patterns), 200)
	want := answer.For("patterns", "3", "", "draw a border stop=9").Join(0, 9)
	g := GenerateRequest{RequestID: "r", Model: "patterns", Version: "3", Prompt: "draw a border stop=9", MaxTokens: 40}
	text, tokens, complete := generate(t, e, g)
	assert.Assert(t, complete)
	assert.Equal(t, tokens, 9)
	assert.Equal(t, text, want)
	g.ResumeIndex, g.ResumeText = 4, answer.For("patterns", "3", "", g.Prompt).Join(0, 4)
	rest, tokens, complete := generate(t, e, g)
	assert.Assert(t, complete)
	assert.Equal(t, tokens, 9)
	assert.Equal(t, g.ResumeText+rest, want)
	assert.Equal(t, e.Audit().ResumeMismatches, uint64(0))
}

// Guards against a stand-in that hides overcommits: without Strict, a load that
// does not fit must succeed and be counted.
func TestMemoryAudit(t *testing.T) {
	large := Copy{Model: "tally", Version: "1", Bytes: 60 << 30}
	strict := startEngine(t, nil)
	assert.Equal(t, sendCommand(t, strict, "c1", "load", 1, patterns), 200)
	assert.Equal(t, sendCommand(t, strict, "c2", "load", 1, large), 507)
	assert.Equal(t, strict.Audit().Overcommits, uint64(0))
	assert.Equal(t, strict.Audit().MaxResidentBytes, uint64(30<<30))
	lenient := startEngine(t, func(c *Config) { c.Strict = false })
	assert.Equal(t, sendCommand(t, lenient, "c1", "load", 1, patterns), 200)
	assert.Equal(t, sendCommand(t, lenient, "c2", "load", 1, large), 200)
	assert.Equal(t, lenient.Audit().Overcommits, uint64(1))
	assert.Equal(t, lenient.Audit().MaxResidentBytes, uint64(90<<30))
}

// Guards against engines with fencing that execute a command after they have seen a
// newer token, and against engines without fencing that reject it.
func TestFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		e := startEngine(t, func(c *Config) { c.Fencing = fencing })
		e.Inject(Faults{DelayCommandMillis: 300})
		status := make(chan int)
		go func() { status <- sendCommand(t, e, "old", "load", 1, patterns) }()
		// Wait until the load above has consumed the delay, so that the fence below is
		// not delayed.
		for taken := false; !taken; time.Sleep(time.Millisecond) {
			e.faults.mu.Lock()
			taken = e.faults.delayCommand == 0
			e.faults.mu.Unlock()
		}
		assert.Equal(t, sendCommand(t, e, "fence", "fence", 2, Copy{}), 200)
		want, resident := 409, 0
		if !fencing {
			want, resident = 200, 1
		}
		assert.Equal(t, <-status, want)
		assert.Equal(t, len(getState(t, e).Resident), resident)
	}
}

// Guards against a fence that does not abort a load in progress with an older token.
func TestFenceAbortsOlderLoad(t *testing.T) {
	e := startEngine(t, func(c *Config) { c.LoadTime = time.Hour })
	status := make(chan int)
	go func() { status <- sendCommand(t, e, "old", "load", 1, patterns) }()
	for len(getState(t, e).Commands) == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, sendCommand(t, e, "fence", "fence", 2, Copy{}), 200)
	assert.Equal(t, <-status, 409)
	assert.Equal(t, len(getState(t, e).Resident), 0)
}

// Guards against a repeated command id that is executed again or gets another response.
func TestCommandIDRunsOnce(t *testing.T) {
	e := startEngine(t, nil)
	assert.Equal(t, sendCommand(t, e, "c1", "load", 1, patterns), 200)
	assert.Equal(t, sendCommand(t, e, "c2", "unload", 1, patterns), 200)
	assert.Equal(t, sendCommand(t, e, "c1", "load", 1, patterns), 200)
	assert.Equal(t, len(getState(t, e).Resident), 0)
}

// Guards against injected faults without effect: tests of the other programs would
// then pass without the fault.
func TestFaults(t *testing.T) {
	e := startEngine(t, nil)
	assert.Equal(t, sendCommand(t, e, "c1", "load", 1, patterns), 200)
	g := GenerateRequest{RequestID: "r", Model: "patterns", Version: "3", Prompt: "p", MaxTokens: 20}

	e.Inject(Faults{CutStreams: 1})
	text, _, complete := generate(t, e, g)
	assert.Assert(t, !complete)
	assert.Equal(t, text, answer.For("patterns", "3", "", "p").Join(0, 10))

	e.Inject(Faults{LoseCommands: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err := probe.Post(ctx, e.Addr(), "/v1/commands", Command{CommandID: "c2", Op: "unload", Copy: patterns, Token: 1})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, len(getState(t, e).Resident), 1)

	before := getState(t, e).BootID
	e.Inject(Faults{CrashMarker: "POISON", CrashMarkerMillis: 50})
	g.Prompt = "a POISON prompt"
	_, _, complete = generate(t, e, g)
	assert.Assert(t, !complete)
	awaitBoot(t, e, 2)
	after := getState(t, e)
	assert.Assert(t, after.BootID != before)
	assert.Equal(t, len(after.Resident), 0)

	e.Inject(Faults{Leave: true})
	resp, err := post(t, e, "/v1/generate", g)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 503)
	assert.Equal(t, e.Audit().ArrivedLeaving, uint64(1))
}

func awaitBoot(t *testing.T, e *Engine, boots uint64) {
	t.Helper()
	for i := 0; ; i++ {
		if _, err := probe.Get[State](t.Context(), e.Addr(), "/v1/state"); err == nil && e.Audit().Boots >= boots {
			return
		}
		assert.Assert(t, i < 1000, "engine did not boot again")
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a disconnected client that keeps its slot, and against queued
// requests served out of priority order.
func TestCancelAndPriority(t *testing.T) {
	e := startEngine(t, func(c *Config) { c.Slots = 1 })
	assert.Equal(t, sendCommand(t, e, "c1", "load", 1, patterns), 200)
	ctx, cancel := context.WithCancel(t.Context())
	body, err := json.Marshal(GenerateRequest{RequestID: "long", Model: "patterns", Version: "3", MaxTokens: 1 << 20})
	assert.NilError(t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+e.Addr().String()+"/v1/generate", bytes.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	order := make(chan string, 2)
	for i, id := range []string{"low", "high"} {
		go func() {
			generate(t, e, GenerateRequest{RequestID: id, Model: "patterns", Version: "3", Priority: i * 9, MaxTokens: 20})
			order <- id
		}()
		for e.Pending() < 2+i {
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	assert.Equal(t, strings.Join([]string{<-order, <-order}, " "), "high low")
}

// Guards against a cache that exceeds its limit or never hits.
func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(4)
	a := artifact{"m", "1", ""}
	long := strings.Repeat("x", 4*cacheBlock)
	assert.Equal(t, c.insert(a, long), 4*cacheBlock)
	assert.Equal(t, c.insert(a, long+"tail"), 4)
	assert.Equal(t, c.insert(artifact{"m", "2", ""}, long), 4*cacheBlock)
	assert.Equal(t, c.lru.Len(), 4)
	assert.Equal(t, len(c.blocks), 4)
}

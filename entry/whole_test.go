package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/wire"
)

// expectedTokens returns the response that belongs to a prompt and to no other.
func expectedTokens(prompt string) []string {
	var out []string
	for i := range 2 + len(prompt)%5 {
		out = append(out, fmt.Sprintf("%s/%d ", prompt, i))
	}
	return out
}

// corruptEvents corrupts the events of a complete response. kind is one of corruptions,
// n selects the event.
func corruptEvents(evs []*wire.RunEvent, kind string, n int) []*wire.RunEvent {
	i := n % len(evs)
	at := proto.Clone(evs[i]).(*wire.RunEvent)
	out := append([]*wire.RunEvent(nil), evs...)
	switch kind {
	case "truncated":
		return out[:i]
	case "dropped":
		return append(out[:i], out[i+1:]...)
	case "duplicated":
		return append(out[:i+1], evs[i:]...)
	case "swapped":
		j := (i + 1) % len(evs)
		out[i], out[j] = out[j], out[i]
	case "foreign":
		// The remaining events are replaced by a late response to another request,
		// which is complete in itself.
		other := events(&wire.RunRequest{RequestId: newRandomID()}, expectedTokens("other")...)
		return append(out[:i:i], other[min(i, n%2):]...)
	case "altered":
		if at.Chunk != nil {
			at.Chunk.Data = append([]byte("x"), at.Chunk.Data...)
		}
		out[i] = at
	case "renumbered":
		// A chunk is dropped and the others are renumbered, so that only the end record
		// reveals it.
		if at.Chunk == nil {
			return out[:i]
		}
		out = append(out[:i], out[i+1:]...)
		for k, ev := range out[1 : len(out)-1] {
			ev = proto.Clone(ev).(*wire.RunEvent)
			ev.Chunk.Index, ev.Chunk.Token = uint32(k), uint32(k)
			out[k+1] = ev
		}
	}
	return out
}

var corruptions = []string{"none", "truncated", "dropped", "duplicated", "swapped", "foreign", "altered", "renumbered", "late", "rejected", "rejected", "rejected", "rejected"}

// corruptionPlan lists the corruptions of the attempts of one request, in order. Later
// attempts succeed.
type corruptionPlan struct {
	kinds     []string
	positions []int
}

// mergeEvents combines adjacent events of one request into one, as agents do.
func mergeEvents(evs []*wire.RunEvent) []*wire.RunEvent {
	var out []*wire.RunEvent
	for _, ev := range evs {
		if len(out) > 0 {
			last := out[len(out)-1]
			same := string(last.GetRequestId()) == string(ev.GetRequestId())
			switch {
			case same && ev.Started == nil && ev.Chunk != nil && last.Chunk == nil && last.End == nil:
				last.Chunk = ev.Chunk
				continue
			case same && ev.Started == nil && ev.Chunk == nil && last.End == nil:
				last.End = ev.End
				continue
			}
		}
		out = append(out, proto.CloneOf(ev))
	}
	return out
}

// Guards against responses that look complete although a part is missing, duplicated,
// reordered, altered or from another request, and against a final rejection that hides
// an earlier run. With many concurrent callers, each must get its own complete response
// or an error.
func TestWholeAnswerOrVisibleError(t *testing.T) {
	var mu sync.Mutex
	plans, ran := map[string]*corruptionPlan{}, map[string]bool{}
	env := newTestEnv(t, 3, func(env *testEnv, cfg *Section) {
		env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
			prompt := string(req.GetBody())
			evs, kind, position := events(req, expectedTokens(prompt)...), "none", 0
			mu.Lock()
			if f := plans[prompt]; f != nil && len(f.kinds) > 0 {
				kind, position, f.kinds, f.positions = f.kinds[0], f.positions[0], f.kinds[1:], f.positions[1:]
			}
			if kind != "rejected" {
				ran[prompt] = true
			}
			mu.Unlock()
			switch kind {
			case "late":
				time.Sleep(time.Duration(position) * time.Millisecond)
			case "rejected":
				evs = []*wire.RunEvent{rejection(req, wire.Reason_REASON_QUEUE_FULL)}
			}
			evs = corruptEvents(evs, kind, position)
			if prompt[len(prompt)-1]%2 == 0 {
				evs = mergeEvents(evs)
			}
			for _, ev := range evs {
				if err := send(ev); err != nil {
					return err
				}
			}
			return nil
		})
	})
	var serial, complete, failed atomic.Int64
	rapid.Check(t, func(t *rapid.T) {
		var wg sync.WaitGroup
		for range rapid.IntRange(1, 4).Draw(t, "callers") {
			prompt := fmt.Sprintf("p%d", serial.Add(1))
			n := rapid.IntRange(0, 4).Draw(t, "corruptions")
			f := &corruptionPlan{
				kinds:     rapid.SliceOfN(rapid.SampledFrom(corruptions), n, n).Draw(t, "kinds"),
				positions: rapid.SliceOfN(rapid.IntRange(0, 7), n, n).Draw(t, "positions"),
			}
			mu.Lock()
			plans[prompt] = f
			mu.Unlock()
			kind := rapid.SampledFrom([]string{"json", "stream", "plain"}).Draw(t, "kind")
			wg.Go(func() {
				// Before the end record, altered text and renumbered chunks cannot be
				// detected.
				exact := !slices.Contains(f.kinds, "altered") && !slices.Contains(f.kinds, "renumbered")
				outcome, ok := checkResponse(t, env, kind, prompt, exact)
				if ok {
					complete.Add(1)
				} else {
					failed.Add(1)
				}
				mu.Lock()
				defer mu.Unlock()
				if outcome == outcomeNotRun && ran[prompt] {
					t.Errorf("prompt %s ran but its outcome is not-run", prompt)
				}
			})
		}
		wg.Wait()
		// Retries spent in this case must not limit the next one.
		env.server.routing.mu.Lock()
		env.server.routing.retryBudget.Deposit(10000)
		env.server.routing.mu.Unlock()
	})
	t.Logf("%d complete responses, %d errors", complete.Load(), failed.Load())
	assert.Assert(t, complete.Load() > 10 && failed.Load() > 10)
}

// checkResponse sends a prompt and reports whether the response was complete. A response
// that looks complete but is wrong fails the test. If exact is set, the text before an
// error must be a prefix of the expected one.
func checkResponse(t *rapid.T, env *testEnv, kind, prompt string, exact bool) (outcome string, ok bool) {
	want := strings.Join(expectedTokens(prompt), "")
	var got response
	text := ""
	switch kind {
	case "plain":
		got = env.send("PUT", "/v1/call/ledger/orders", prompt, "Bulrush-Deadline", "5000")
		text = got.body
	case "json":
		got = env.generate(prompt, "Bulrush-Deadline", "5000")
		var out struct{ Text string }
		_ = json.Unmarshal([]byte(got.body), &out)
		text = out.Text
	case "stream":
		got = env.generate(prompt, "Accept", "text/event-stream", "Bulrush-Deadline", "5000")
		for i, part := range strings.Split(got.body, "\n\n") {
			_, data, _ := strings.Cut(part, "data: ")
			var ev struct {
				Index int
				Text  string
			}
			_ = json.Unmarshal([]byte(data), &ev)
			if strings.HasPrefix(part, "event: token") && ev.Index != i {
				t.Errorf("token %d at position %d", ev.Index, i)
			}
			text += ev.Text
		}
		if got.err == nil && got.status == 200 && !strings.Contains(got.body, "event: end") {
			t.Errorf("stream without an end event: %q", got.body)
		}
	}
	if got.err != nil || got.status != 200 {
		if kind == "stream" && exact && !strings.HasPrefix(want, text) {
			t.Errorf("prompt %s: text %q is not a prefix of the expected response", prompt, text)
		}
		return got.outcome(), false
	}
	if text != want || got.outcome() != outcomeCompleted {
		t.Errorf("%s prompt %s: got %q, outcome %q, want %q", kind, prompt, text, got.outcome(), want)
	}
	return got.outcome(), true
}

// limitedConn is a connection that closes after the given numbers of bytes written and
// read.
type limitedConn struct {
	net.Conn
	writes, reads int
}

var errConnLimit = errors.New("connection closed by test")

func (c *limitedConn) Write(b []byte) (int, error) {
	if len(b) > c.writes {
		n, _ := c.Conn.Write(b[:c.writes])
		c.writes = 0
		_ = c.Close()
		return n, errConnLimit
	}
	c.writes -= len(b)
	return c.Conn.Write(b)
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.reads <= 0 {
		_ = c.Close()
		return 0, errConnLimit
	}
	n, err := c.Conn.Read(b[:min(len(b), c.reads)])
	c.reads -= n
	return n, err
}

// Guards against the outcome not-run for a request that ran, and against running a
// non-idempotent request twice. The connection to the agent is closed after each
// possible number of bytes in either direction, dials fail and agents reject requests.
func TestNotRunIsTrue(t *testing.T) {
	var writes, reads atomic.Int64
	const never = 1 << 30
	dial := func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		if writes.Load() < 0 {
			return nil, errConnLimit
		}
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
		return &limitedConn{c, int(writes.Load()), int(reads.Load())}, err
	}
	ran := map[string]int{}
	var mu sync.Mutex
	refuseFirst := false
	env := newTestEnv(t, 2, func(env *testEnv, _ *Section) {
		env.setRun(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
			mu.Lock()
			refused := refuseFirst
			refuseFirst = false
			if !refused {
				ran[req.GetClaimKey()]++
			}
			mu.Unlock()
			if refused {
				return send(rejection(req, wire.Reason_REASON_LEAVING))
			}
			return respondWith("paid")(req, send)
		})
	})
	// Only connections to agents are interrupted.
	env.server.pool = link.NewPool(link.WithDial(dial))
	outcomes := map[string]int{}
	try := func(w, rd int64, refused bool) {
		writes.Store(w)
		reads.Store(rd)
		mu.Lock()
		refuseFirst = refused
		mu.Unlock()
		key := fmt.Sprintf("k%d/%d/%t", w, rd, refused)
		got := env.send("POST", "/v1/call/ledger/pay", key, "Idempotency-Key", key,
			"Bulrush-Issued", time.Now().Format(time.RFC3339), "Bulrush-Deadline", "300")
		assert.NilError(t, got.err)
		// The agent may not have read yet what was written before the connection
		// closed.
		time.Sleep(2 * time.Millisecond)
		mu.Lock()
		n := ran[key]
		mu.Unlock()
		o := got.outcome()
		outcomes[o]++
		assert.Assert(t, n <= 1, "%s ran %d times", key, n)
		assert.Assert(t, o != outcomeNotRun || n == 0, "%s ran but its outcome is not-run", key)
		assert.Assert(t, o != outcomeCompleted || n == 1 && got.body == "paid", "%s: %+v", key, got)
		assert.Assert(t, o != "", "%s has no outcome", key)
		// Losses and refusals recorded in this case would make the targets unusable in
		// the next one.
		env.server.routing.mu.Lock()
		for i := range env.agents {
			env.server.routing.table.Update([]*wire.TargetRecord{{Target: fmt.Sprintf("t%ds", i), Removed: true}}, time.Now())
		}
		env.server.routing.table.Update(env.control.targets, time.Now())
		env.server.routing.mu.Unlock()
	}
	try(-1, 0, false)
	for n := range int64(420) {
		try(n, never, false)
		try(never, n, false)
		try(never, n, true)
	}
	try(never, never, true)
	t.Logf("outcomes %v", outcomes)
	assert.Assert(t, outcomes[outcomeNotRun] > 0 && outcomes[outcomeUnknown] > 0 && outcomes[outcomeCompleted] > 0)
}

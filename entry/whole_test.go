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

// tokensOf returns the response that belongs to a prompt and to no other.
func tokensOf(prompt string) []string {
	var out []string
	for i := range 2 + len(prompt)%5 {
		out = append(out, fmt.Sprintf("%s/%d ", prompt, i))
	}
	return out
}

// mutate corrupts the events of a complete response. how is the kind of corruption, n
// selects the event.
func mutate(evs []*wire.RunEvent, how string, n int) []*wire.RunEvent {
	i := n % len(evs)
	at := proto.Clone(evs[i]).(*wire.RunEvent)
	out := append([]*wire.RunEvent(nil), evs...)
	switch how {
	case "cut":
		return out[:i]
	case "lost":
		return append(out[:i], out[i+1:]...)
	case "twice":
		return append(out[:i+1], evs[i:]...)
	case "swapped":
		j := (i + 1) % len(evs)
		out[i], out[j] = out[j], out[i]
	case "foreign":
		// The rest is replaced by a late response to another request, which is complete
		// in itself.
		other := events(&wire.RunRequest{RequestId: newRandomID()}, tokensOf("other")...)
		return append(out[:i:i], other[min(i, n%2):]...)
	case "changed":
		if at.Chunk != nil {
			at.Chunk.Data = append([]byte("x"), at.Chunk.Data...)
		}
		out[i] = at
	case "short":
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

var spoils = []string{"none", "cut", "lost", "twice", "swapped", "foreign", "changed", "short", "late", "refused", "refused", "refused", "refused"}

// spoiled lists the corruptions of the attempts of one request, in order. Later
// attempts succeed.
type spoiled struct {
	how   []string
	place []int
}

// merge combines adjacent events of one request into one, as agents do.
func merge(evs []*wire.RunEvent) []*wire.RunEvent {
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
	fates, ran := map[string]*spoiled{}, map[string]bool{}
	r := newRig(t, 3, func(r *rig, cfg *Section) {
		r.runAll(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
			prompt := string(req.GetBody())
			evs, how, place := events(req, tokensOf(prompt)...), "none", 0
			mu.Lock()
			if f := fates[prompt]; f != nil && len(f.how) > 0 {
				how, place, f.how, f.place = f.how[0], f.place[0], f.how[1:], f.place[1:]
			}
			if how != "refused" {
				ran[prompt] = true
			}
			mu.Unlock()
			switch how {
			case "late":
				time.Sleep(time.Duration(place) * time.Millisecond)
			case "refused":
				evs = []*wire.RunEvent{refusal(req, wire.Reason_REASON_QUEUE_FULL)}
			}
			evs = mutate(evs, how, place)
			if prompt[len(prompt)-1]%2 == 0 {
				evs = merge(evs)
			}
			for _, ev := range evs {
				if err := send(ev); err != nil {
					return err
				}
			}
			return nil
		})
	})
	var serial, whole, failed atomic.Int64
	rapid.Check(t, func(t *rapid.T) {
		var wg sync.WaitGroup
		for range rapid.IntRange(1, 4).Draw(t, "callers") {
			prompt := fmt.Sprintf("p%d", serial.Add(1))
			n := rapid.IntRange(0, 4).Draw(t, "spoiled")
			f := &spoiled{
				how:   rapid.SliceOfN(rapid.SampledFrom(spoils), n, n).Draw(t, "how"),
				place: rapid.SliceOfN(rapid.IntRange(0, 7), n, n).Draw(t, "place"),
			}
			mu.Lock()
			fates[prompt] = f
			mu.Unlock()
			kind := rapid.SampledFrom([]string{"json", "stream", "plain"}).Draw(t, "kind")
			wg.Go(func() {
				// Before the end record, altered text and renumbered chunks cannot be
				// detected.
				exact := !slices.Contains(f.how, "changed") && !slices.Contains(f.how, "short")
				outcome, ok := checkAnswer(t, r, kind, prompt, exact)
				if ok {
					whole.Add(1)
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
		r.server.routing.mu.Lock()
		r.server.routing.retryBudget.Earn(10000)
		r.server.routing.mu.Unlock()
	})
	t.Logf("%d complete responses, %d errors", whole.Load(), failed.Load())
	assert.Assert(t, whole.Load() > 10 && failed.Load() > 10)
}

// checkAnswer sends a prompt and reports whether the response was complete. A response
// that looks complete but is wrong fails the test. If exact is set, the text before an
// error must be a prefix of the expected one.
func checkAnswer(t *rapid.T, r *rig, kind, prompt string, exact bool) (outcome string, ok bool) {
	want := strings.Join(tokensOf(prompt), "")
	var got result
	text := ""
	switch kind {
	case "plain":
		got = r.send("PUT", "/v1/call/ledger/orders", prompt, "Bulrush-Deadline", "5000")
		text = got.body
	case "json":
		got = r.generate(prompt, "Bulrush-Deadline", "5000")
		var out struct{ Text string }
		_ = json.Unmarshal([]byte(got.body), &out)
		text = out.Text
	case "stream":
		got = r.generate(prompt, "Accept", "text/event-stream", "Bulrush-Deadline", "5000")
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

// cutConn is a connection that closes after the given numbers of bytes written and
// read.
type cutConn struct {
	net.Conn
	writes, reads int
}

var errCut = errors.New("cut")

func (c *cutConn) Write(b []byte) (int, error) {
	if len(b) > c.writes {
		n, _ := c.Conn.Write(b[:c.writes])
		c.writes = 0
		_ = c.Close()
		return n, errCut
	}
	c.writes -= len(b)
	return c.Conn.Write(b)
}

func (c *cutConn) Read(b []byte) (int, error) {
	if c.reads <= 0 {
		_ = c.Close()
		return 0, errCut
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
			return nil, errCut
		}
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr.String())
		return &cutConn{c, int(writes.Load()), int(reads.Load())}, err
	}
	ran := map[string]int{}
	var mu sync.Mutex
	refuseFirst := false
	r := newRig(t, 2, func(r *rig, _ *Section) {
		r.runAll(func(req *wire.RunRequest, send func(*wire.RunEvent) error) error {
			mu.Lock()
			refused := refuseFirst
			refuseFirst = false
			if !refused {
				ran[req.GetClaimKey()]++
			}
			mu.Unlock()
			if refused {
				return send(refusal(req, wire.Reason_REASON_LEAVING))
			}
			return answerWith("paid")(req, send)
		})
	})
	// Only connections to agents are interrupted.
	r.server.pool = link.NewPool(link.WithDial(dial))
	outcomes := map[string]int{}
	try := func(w, rd int64, refused bool) {
		writes.Store(w)
		reads.Store(rd)
		mu.Lock()
		refuseFirst = refused
		mu.Unlock()
		key := fmt.Sprintf("k%d/%d/%t", w, rd, refused)
		got := r.send("POST", "/v1/call/ledger/pay", key, "Idempotency-Key", key,
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
		// Penalties from this case would make the targets unusable in the next one.
		r.server.routing.mu.Lock()
		for i := range r.agents {
			r.server.routing.table.Update([]*wire.TargetRecord{{Target: fmt.Sprintf("t%ds", i), Removed: true}}, time.Now())
		}
		r.server.routing.table.Update(r.control.targets, time.Now())
		r.server.routing.mu.Unlock()
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

package gate

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/site"
	"bulrushpath.example/lib/wire"
)

// crashWorld is a fixture whose targets crash on the requests of some customers. A target that has crashed starts
// again at its address as another process.
type crashWorld struct {
	*fixture
	mu sync.Mutex
	// deadly holds the requests that crash targets, and reached how many times each has reached one.
	deadly  map[string]bool
	reached map[string]int
}

// requestName names the requests of a customer to a path, or with a part, in the world's maps.
func requestName(customer, path string) string { return customer + " " + path }

func newCrashWorld(t testT, service string, targets int) *crashWorld {
	w := &crashWorld{deadly: make(map[string]bool), reached: make(map[string]int)}
	var handlers []http.HandlerFunc
	for i := range targets {
		handlers = append(handlers, func(rw http.ResponseWriter, r *http.Request) {
			switch {
			case w.arrive(r):
				w.restart(i)
				panic(http.ErrAbortHandler)
			case service == "engines":
				writeEvents(rw, 1, 2)
			default:
				respondSealed(http.StatusOK, "ok")(rw, r)
			}
		})
	}
	w.fixture = newFixture(t, service, handlers...)
	return w
}

// arrive records a request that has reached a target, and reports whether it crashes the target: it is deadly itself,
// or a part of its prompt is.
func (w *crashWorld) arrive(r *http.Request) (crashes bool) {
	customer := r.Header.Get("T-Customer")
	names := []string{requestName(customer, r.URL.Path)}
	parts := r.Header.Get("T-Parts")
	for _, part := range parts[:max(len(parts)-1, 0)] {
		names = append(names, requestName(customer, string(part)))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.reached[name]++
		crashes = crashes || w.deadly[name]
	}
	return crashes
}

// restart makes control list a new process of the target.
func (w *crashWorld) restart(i int) {
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	next := proto.CloneOf(w.control.targets[i])
	next.BornMillis++
	w.control.targets[i] = next
}

func (w *crashWorld) reachedBy(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reached[name]
}

// send sends a request of a customer with the given key and reports to control. It returns the status.
func (w *crashWorld) send(key, path string, change func(r *http.Request)) int {
	w.t.Helper()
	return w.sendThrough(w.fixture, key, path, change)
}

// sendThrough does the same through an instance, which also reports whenever the request asks for it.
func (w *crashWorld) sendThrough(fx *fixture, key, path string, change func(r *http.Request)) (status int) {
	w.t.Helper()
	done := make(chan error, 1)
	go func() {
		res, _, err := fx.do(w.t.Context(), http.MethodPost, path, "body", func(r *http.Request) {
			keyed(key)(r)
			if change != nil {
				change(r)
			}
		})
		if err == nil {
			status = res.StatusCode
		}
		done <- err
	}()
	for {
		select {
		case err := <-done:
			assert.NilError(w.t, err)
			assert.NilError(w.t, fx.gateway.report(w.t.Context()))
			return status
		case <-fx.gateway.reportNow:
			assert.NilError(w.t, fx.gateway.report(w.t.Context()))
		}
	}
}

// Guards against a deadly request of one customer that is forgotten because the equal request of another one is
// sound (review/11), and against the sound one that is refused with the deadly one. A key that is renewed or
// another one of the same customer changes nothing.
func TestCustomersShareNoVerdict(t *testing.T) {
	for _, sharers := range []bool{false, true} {
		t.Run(fmt.Sprint("sound requests between: ", sharers), func(t *testing.T) {
			w := newCrashWorld(t, "plain", 6)
			w.setCustomers(customer("a", "a1", "a2"), customer("b", "b1"))
			deadly, sound := requestName("a", "/once/x"), requestName("b", "/once/x")
			w.deadly[deadly] = true
			for i := range 12 {
				want := http.StatusBadGateway
				if i >= 3 {
					want = http.StatusServiceUnavailable
				}
				assert.Equal(t, w.send([]string{"a1", "a2"}[i%2], "/once/x", nil), want, "request %d", i)
				if sharers {
					assert.Equal(t, w.send("b1", "/once/x", nil), http.StatusOK)
				}
			}
			w.setCustomers(customer("a", "a3"), customer("b", "b1"))
			assert.Equal(t, w.send("a3", "/once/x", nil), http.StatusServiceUnavailable, "with a renewed key")
			assert.Equal(t, w.reachedBy(deadly), 3)
			assert.Equal(t, w.send("b1", "/once/x", nil), http.StatusOK)
			assert.Assert(t, w.reachedBy(sound) > 0)
		})
	}
}

// Guards against reports of an instance of an earlier build, whose fingerprints leave the customer out: what it
// completes must not clear a customer's deadly request, and what it has lost must not block other customers.
func TestReportsOfEarlierBuilds(t *testing.T) {
	w := newCrashWorld(t, "plain", 6)
	w.setCustomers(customer("a", "a1"), customer("b", "b1"))
	w.deadly[requestName("a", "/once/x")] = true
	earlier := poison.FingerprintOf([]byte("body"), "a.example POST /once/x", "/")
	report := func(change func(req *wire.FleetRequest)) {
		req, _ := w.gateway.buildReport()
		change(req)
		_, err := w.control.Report(t.Context(), req)
		assert.NilError(t, err)
		assert.NilError(t, w.gateway.report(t.Context()))
	}
	for range 3 {
		assert.Equal(t, w.send("a1", "/once/x", nil), http.StatusBadGateway)
	}
	report(func(req *wire.FleetRequest) { req.Completed = [][]byte{earlier[:]} })
	assert.Equal(t, w.send("a1", "/once/x", nil), http.StatusServiceUnavailable)
	for i := range 3 {
		report(func(req *wire.FleetRequest) {
			req.Lost = []*wire.LostRequest{{Fingerprint: earlier[:], Target: fmt.Sprint("lost", i), BornMillis: 1}}
		})
	}
	assert.Equal(t, w.send("b1", "/once/x", nil), http.StatusOK)
	assert.Equal(t, w.send("a1", "/once/x", nil), http.StatusServiceUnavailable)
}

// Plays drawn requests of three customers to the same paths, some of which crash their targets, with reports that
// are lost or arrive twice, changes of leader, and keys that are renewed. Guards against a deadly request that
// reaches targets once control has told of its third loss, a sound one that is refused, and verdicts on one
// customer that another one's requests change.
func TestDrawnCustomers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCrashWorld(t, "plain", 4)
		names, paths := []string{"a", "b", "c"}, []string{"/once/x", "/once/y"}
		generation := 0
		setKeys := func() {
			var list []site.Customer
			for _, n := range names {
				list = append(list, customer(n, fmt.Sprint(n, generation)))
			}
			w.setCustomers(list...)
		}
		setKeys()
		for _, n := range names {
			for _, p := range paths {
				w.deadly[requestName(n, p)] = rapid.IntRange(0, 2).Draw(t, "deadly") == 0
			}
		}
		known := make(map[string]int) // the losses of which control has told
		sent := make(map[string]int)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"send", "send", "send", "send", "lose", "double", "leader", "keys"}).Draw(t, "step") {
			case "send":
				n, p := rapid.SampledFrom(names).Draw(t, "customer"), rapid.SampledFrom(paths).Draw(t, "path")
				name := requestName(n, p)
				want := http.StatusOK
				switch {
				case known[name] >= 3:
					want = http.StatusServiceUnavailable
				case w.deadly[name]:
					want = http.StatusBadGateway
				}
				assert.Equal(t, w.send(fmt.Sprint(n, generation), p, nil), want, "%s, lost %d times", name, known[name])
				if want == http.StatusBadGateway {
					sent[name]++
				}
				known[name] = sent[name]
			case "lose":
				w.control.setReply(func() error { return errors.New("lost") })
				assert.Assert(t, w.gateway.report(t.Context()) != nil)
				w.control.setReply(nil)
				assert.NilError(t, w.gateway.report(t.Context()))
			case "double":
				assert.NilError(t, w.gateway.report(t.Context()))
			case "leader":
				w.control.mu.Lock()
				next := poison.LossCounter{}
				next.Load(time.Now(), w.control.count.Save())
				w.control.count, w.control.term = next, max(w.control.term, 1)+1
				w.control.mu.Unlock()
				assert.NilError(t, w.gateway.report(t.Context()))
			case "keys":
				generation++
				setKeys()
			}
		}
		for name, n := range w.reached {
			assert.Assert(t, !w.deadly[name] || n <= 3, "%s reached targets %d times", name, n)
		}
	})
}

// Guards against a caller that has its deadly request counted anew by another spelling of the host, by other
// headers, another id or deadline, or a body of another framing.
func TestCallerThatVariesItself(t *testing.T) {
	hosts := []string{"a.example", "A.example", "a.example:80", "a.EXAMPLE:8080"}
	for _, c := range []struct {
		name string
		vary func(r *http.Request, n int)
	}{
		{"host", func(r *http.Request, n int) { r.Host = hosts[n%len(hosts)] }},
		{"headers", func(r *http.Request, n int) { r.Header.Set("User-Agent", fmt.Sprint("agent ", n)) }},
		{"model of a plain service", func(r *http.Request, n int) { r.Header.Set("T-Model", fmt.Sprint("m", n)) }},
		{"id and deadline", func(r *http.Request, n int) {
			r.Header.Set("T-Id", fmt.Sprint("r", n))
			r.Header.Set("T-Deadline", fmt.Sprint(1000+n))
		}},
		{"framing", func(r *http.Request, n int) { r.ContentLength = []int64{4, -1}[n%2] }},
		{"key", func(r *http.Request, n int) { keyed(fmt.Sprint("a", 1+n%2))(r) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newCrashWorld(t, "plain", 6)
			w.setCustomers(customer("a", "a1", "a2"))
			deadly := requestName("a", "/once/x")
			w.deadly[deadly] = true
			for n := range 8 {
				w.send("a1", "/once/x", func(r *http.Request) { c.vary(r, n) })
			}
			assert.Equal(t, w.reachedBy(deadly), 3)
		})
	}
}

package gate

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/site"
)

// withParts returns a change of a request that sets its parts; n tells it from others.
func withParts(parts string, n int) func(r *http.Request) {
	return func(r *http.Request) {
		r.Header.Set("T-Id", fmt.Sprint("r", n))
		r.Header.Set("T-Parts", parts+"~")
	}
}

// Guards against a part that crashes targets in the prompts of one customer and is cleared by another customer's
// answers, and against prompts of the other customer that are refused with it: the part is in both.
func TestCustomersShareNoParts(t *testing.T) {
	for _, sound := range []string{"between", "afterwards"} {
		t.Run("sound prompts "+sound, func(t *testing.T) {
			w := newCrashWorld(t, "engines", 6)
			w.setCustomers(customer("a", "a1"), customer("b", "b1"))
			deadly := requestName("a", "X")
			w.deadly[deadly] = true
			w.control.trials = 100
			for n := range 8 {
				blocked := w.reachedBy(deadly) == 3
				status := w.send("a1", fmt.Sprint("/stream/", n), withParts("SX", n))
				assert.Equal(t, status == http.StatusServiceUnavailable, blocked, "request %d", n)
				if sound == "between" {
					assert.Equal(t, w.send("b1", fmt.Sprint("/stream/", n), withParts("SX", 100+n)), http.StatusOK)
				}
			}
			assert.Equal(t, w.reachedBy(deadly), 3)
			assert.Equal(t, w.send("b1", "/stream/x", withParts("SX", 200)), http.StatusOK)
			assert.Equal(t, w.send("a1", "/stream/x", withParts("S", 201)), http.StatusOK, "without the part")
		})
	}
}

// Guards against a part that crashes targets whoever uses it, and that each customer may try anew.
func TestPartDeadlyForAllCustomers(t *testing.T) {
	w := newCrashWorld(t, "engines", 6)
	names := []string{"a", "b", "c", "d"}
	var list []site.Customer
	for _, n := range names {
		list = append(list, customer(n, n+"1"))
		w.deadly[requestName(n, "X")] = true
	}
	w.setCustomers(list...)
	w.control.trials = 100
	for n := range 8 {
		w.send(names[n%len(names)]+"1", fmt.Sprint("/stream/", n), withParts("X", n))
	}
	reached := 0
	for _, n := range names {
		reached += w.reachedBy(requestName(n, "X"))
	}
	assert.Equal(t, reached, 3)
	assert.Equal(t, w.send("a1", "/stream/x", withParts("S", 200)), http.StatusOK)
}

// Plays drawn prompts of three customers through two instances. Parts may be deadly for some customers. The leader
// changes, and control allows trials at times. Guards against a deadly part that takes more processes than it takes to
// block it, whichever customers use it, and against customers whose prompts are refused although only one other
// customer's crash targets.
func TestDrawnCustomerParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCrashWorld(t, "engines", 4)
		instances := []*fixture{w.fixture, w.another("e2")}
		names, parts := []string{"a", "b", "c"}, []string{"X", "Y"}
		for _, fx := range instances {
			fx.setCustomers(customer("a", "a"), customer("b", "b"), customer("c", "c"))
		}
		suspects := names[:rapid.IntRange(1, 3).Draw(t, "customers with deadly parts")]
		for _, n := range suspects {
			for _, p := range parts {
				w.deadly[requestName(n, p)] = rapid.Bool().Draw(t, "deadly")
			}
		}
		for n := range rapid.IntRange(5, 50).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"send", "send", "send", "send", "trial", "leader"}).Draw(t, "step") {
			case "send":
				who := rapid.SampledFrom(names).Draw(t, "customer")
				prompt := rapid.SampledFrom([]string{"X", "Y", "XY", "S"}).Draw(t, "parts")
				for _, fx := range instances {
					assert.NilError(t, fx.gateway.report(t.Context()))
				}
				fx := instances[rapid.IntRange(0, 1).Draw(t, "instance")]
				sound := len(suspects) == 1 && who != suspects[0]
				status := w.sendThrough(fx, who, fmt.Sprint("/stream/", n), func(r *http.Request) {
					withParts(prompt, n)(r)
					if !sound {
						r.Header.Set("T-Deadline", "100") // It may wait for a trial.
					}
				})
				if sound {
					assert.Equal(t, status, http.StatusOK, "%s of %s", prompt, who)
				}
			case "trial":
				w.control.mu.Lock()
				w.control.trials++
				w.control.mu.Unlock()
			case "leader":
				w.control.mu.Lock()
				var next poison.PartCounter
				next.Load(time.Now(), w.control.parts.Save())
				next.LoadOfCustomers(time.Now(), w.control.parts.SaveOfCustomers())
				w.control.parts, w.control.term = next, max(w.control.term, 1)+1
				w.control.mu.Unlock()
			}
		}
		for _, p := range parts {
			reached, customers := 0, 0
			for _, n := range suspects {
				if name := requestName(n, p); w.deadly[name] {
					reached += w.reachedBy(name)
					customers++
				}
			}
			// Prompts with both parts don't tell which one is deadly: the next prompt with one of them does.
			limit := 3*customers + 1
			assert.Assert(t, reached <= limit, "%s reached targets %d times, of %d customers", p, reached, customers)
		}
	})
}

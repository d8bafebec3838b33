package route

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/wire"
)

// queueSim is a discrete-event simulation of entry instances that dispatch to
// targets, each with a FIFO queue and a number of slots. Two targets are ten times
// slower for half of the time, and queue reports arrive 2 s late.
type queueSim struct {
	rng           *rand.Rand
	now           time.Time
	events        eventHeap
	targets       []*simTarget
	responseTimes []time.Duration
}

type simTarget struct {
	name    string
	busy    int
	queue   []*simRequest
	history []simLoad
}

type simLoad struct {
	at   time.Time
	wait time.Duration
}

type simRequest struct {
	arrived time.Time
	entry   int
	target  int
	work    time.Duration
	first   bool
}

type simEvent struct {
	at  time.Time
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	simSlots       = 8
	simEntries     = 4
	simServiceTime = 100 * time.Millisecond
	simSlowdown    = 10
	simReportDelay = 2 * time.Second
)

func (m *queueSim) schedule(d time.Duration, run func()) {
	heap.Push(&m.events, simEvent{m.now.Add(d), run})
}

// slow reports whether target i is a straggler. In every other period of 5 s two
// targets are, and the pair changes each time.
func (m *queueSim) slow(i int) bool {
	period := m.now.Unix() / 5
	if period%2 == 0 {
		return false
	}
	first := int(period*7) % len(m.targets)
	return i == first || i == (first+3)%len(m.targets)
}

// policy selects targets. first is called at the first chunk of a request and
// done at its end.
type policy struct {
	pick  func(entry int, prefix, fp uint64) int
	first func(r *simRequest, took time.Duration)
	done  func(r *simRequest, reported time.Duration)
}

func (m *queueSim) arrive(p policy, rate float64, remaining int) {
	if remaining == 0 {
		return
	}
	r := &simRequest{arrived: m.now, entry: m.rng.IntN(simEntries)}
	r.work = time.Duration(float64(simServiceTime) * math.Exp(m.rng.NormFloat64()-0.5))
	prefix := uint64(math.Pow(m.rng.Float64(), 3) * 300)
	r.target = p.pick(r.entry, hashBytes(1, []byte{byte(prefix), byte(prefix >> 8)}), m.rng.Uint64())
	tg := m.targets[r.target]
	tg.queue = append(tg.queue, r)
	m.startQueued(p, r.target)
	m.schedule(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(p, rate, remaining-1) })
}

func (m *queueSim) startQueued(p policy, i int) {
	tg := m.targets[i]
	for tg.busy < simSlots && len(tg.queue) > 0 {
		r := tg.queue[0]
		tg.queue = tg.queue[1:]
		tg.busy++
		work := r.work
		if m.slow(i) {
			work *= simSlowdown
		}
		m.schedule(work/10, func() {
			r.first = true
			p.first(r, m.now.Sub(r.arrived))
		})
		m.schedule(work, func() {
			tg.busy--
			m.responseTimes = append(m.responseTimes, m.now.Sub(r.arrived))
			p.done(r, m.report(tg))
			m.startQueued(p, i)
		})
	}
	tg.history = append(tg.history, simLoad{m.now, time.Duration(len(tg.queue)) * simServiceTime / simSlots})
}

// report returns the expected wait of tg as of simReportDelay ago.
func (m *queueSim) report(tg *simTarget) time.Duration {
	at := m.now.Add(-simReportDelay)
	i, _ := slices.BinarySearchFunc(tg.history, at, func(l simLoad, t time.Time) int { return l.at.Compare(t) })
	if i == 0 {
		return 0
	}
	return tg.history[i-1].wait
}

// simulate returns the 50th and 99th percentiles of the response time.
func simulate(n int, load float64, requests int, build func(m *queueSim) policy) (p50, p99 time.Duration) {
	m := &queueSim{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
	for i := range n {
		m.targets = append(m.targets, &simTarget{name: fmt.Sprintf("t%d", i)})
	}
	rate := load * float64(n*simSlots) / simServiceTime.Seconds()
	p := build(m)
	m.arrive(p, rate, requests)
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.run()
	}
	slices.Sort(m.responseTimes)
	return m.responseTimes[len(m.responseTimes)/2], m.responseTimes[len(m.responseTimes)*99/100]
}

func noop(*simRequest, time.Duration) {}

func randomPolicy(m *queueSim) policy {
	return policy{func(int, uint64, uint64) int { return m.rng.IntN(len(m.targets)) }, noop, noop}
}

func roundRobinPolicy(m *queueSim) policy {
	next := make([]int, simEntries)
	return policy{func(e int, _, _ uint64) int {
		next[e]++
		return (next[e] + e*5) % len(m.targets)
	}, noop, noop}
}

func leastInFlightPolicy(m *queueSim) policy {
	own := make([][]int, simEntries)
	for e := range own {
		own[e] = make([]int, len(m.targets))
	}
	return policy{func(e int, _, _ uint64) int {
		best := m.rng.IntN(len(m.targets))
		for i, n := range own[e] {
			if n < own[e][best] {
				best = i
			}
		}
		own[e][best]++
		return best
	}, noop, func(r *simRequest, _ time.Duration) { own[r.entry][r.target]-- }}
}

func tablePolicy(m *queueSim) policy {
	tables := make([]*Table, simEntries)
	index := map[string]int{}
	for e := range tables {
		tables[e] = New("a")
		for i, tg := range m.targets {
			index[tg.name] = i
			tables[e].Update([]*wire.TargetRecord{record(tg.name, 1, wire.Phase_PHASE_READY, "1")}, m.now)
		}
	}
	return policy{
		pick: func(e int, prefix, fp uint64) int {
			ch, _ := tables[e].Pick(&Query{Key: modelKey, Version: "1", PromptHash: prefix, FingerprintHash: fp}, m.now)
			tables[e].Begin(ch.Target, m.now)
			return index[ch.Target.Name]
		},
		first: func(r *simRequest, took time.Duration) {
			t := tables[r.entry]
			t.RecordFirstChunk(t.Target(m.targets[r.target].name), took, m.now)
		},
		done: func(r *simRequest, reported time.Duration) {
			t := tables[r.entry]
			tg := t.Target(m.targets[r.target].name)
			t.Finish(tg, r.first, m.now)
			t.ReportLoad(tg, &wire.Load{Slots: simSlots, WaitMicros: uint64(reported.Microseconds())}, m.now)
		},
	}
}

// Guards against a p99 that is too high while some targets are stragglers and load
// reports are late: it must stay below half of that of random and round-robin
// selection, and below 5/4 of that of least-in-flight selection. The simulation is
// deterministic.
func TestTailLatencyWithStragglers(t *testing.T) {
	for _, load := range []float64{0.5, 0.7} {
		p99 := map[string]time.Duration{}
		for _, x := range []struct {
			name  string
			build func(m *queueSim) policy
		}{
			{"random", randomPolicy},
			{"roundRobin", roundRobinPolicy},
			{"leastInFlight", leastInFlightPolicy},
			{"table", tablePolicy},
		} {
			p50, p := simulate(20, load, 60_000, x.build)
			p99[x.name] = p
			t.Logf("load %.1f %-14s p50 %v p99 %v", load, x.name, p50.Round(time.Millisecond), p.Round(time.Millisecond))
		}
		assert.Assert(t, p99["table"] < p99["random"]/2)
		assert.Assert(t, p99["table"] < p99["roundRobin"]/2)
		assert.Assert(t, p99["table"] < p99["leastInFlight"]*5/4)
	}
}

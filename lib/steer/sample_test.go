package steer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// plainPool simulates entry instances that send short requests to the replicas of a plain
// service and know each other's load from reports only.
type plainPool struct {
	now     time.Time
	entries [][]*Target
	// reported holds the load of each entry instance at each target as of its last report.
	reported [][]int
	running  []int
	slots    int
	ends     endings
	arrived  int
	rejected int
	perPool  []int
}

// ending is the end of a request of an entry instance at a target.
type ending struct {
	at            time.Time
	entry, target int
}

type endings []ending

func (h endings) Len() int           { return len(h) }
func (h endings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endings) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newPlainPool(entries, targets, slots int) *plainPool {
	p := &plainPool{now: start, running: make([]int, targets), perPool: make([]int, targets), slots: slots}
	for range entries {
		var list []*Target
		for i := range targets {
			list = append(list, &Target{ID: fmt.Sprint("t", i), Zone: "a", Ready: true, Slots: slots})
		}
		p.entries = append(p.entries, list)
		p.reported = append(p.reported, make([]int, targets))
	}
	return p
}

// run lets requests arrive for d, each of which takes work. Each entry instance learns the load
// of the others once per period.
func (p *plainPool) run(rng *rand.Rand, d, work, period time.Duration, perSecond float64) {
	nextReport := make([]time.Time, len(p.entries))
	for i := range nextReport {
		nextReport[i] = p.now.Add(time.Duration(rng.Int64N(int64(period))))
	}
	r := &Request{}
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		for len(p.ends) > 0 && !p.ends[0].at.After(p.now) {
			x := heap.Pop(&p.ends).(ending)
			p.running[x.target]--
			p.entries[x.entry][x.target].EndRequest(r, 0, true)
		}
		for i, at := range nextReport {
			if at.After(p.now) {
				continue
			}
			nextReport[i] = at.Add(period)
			p.report(i)
		}
		p.send(rng.IntN(len(p.entries)), r, work)
	}
}

// report exchanges the load of an entry instance for that of all others, as of their last
// reports.
func (p *plainPool) report(entry int) {
	for j, t := range p.entries[entry] {
		p.reported[entry][j] = t.Own.Running
		t.Others.Running = -t.Own.Running
		for _, running := range p.reported {
			t.Others.Running += running[j]
		}
	}
}

func (p *plainPool) send(entry int, r *Request, work time.Duration) {
	p.arrived++
	targets := p.entries[entry]
	c := Pick(p.now, Selection{Zone: "a"}, r, targets, skipNone)
	for i, t := range targets {
		if t != c.Target {
			continue
		}
		p.perPool[i]++
		if p.running[i] >= p.slots+p.slots/2 {
			p.rejected++
			return
		}
		p.running[i]++
		t.StartRequest(p.now, r, Selection{}, 0)
		t.AddFirstOutput(p.now, work, work, 0)
		heap.Push(&p.ends, ending{p.now.Add(work), entry, i})
	}
}

// Guards against many entry instances that choose the same target of a small pool from news that
// is older than its requests last. The pattern: 105 entry instances, 6 replicas of 6 slots and a
// few places in their queues, half of what they can do is asked, requests of 60 ms, reports twice
// a second.
func TestManyEntriesSpreadOverASmallPool(t *testing.T) {
	for _, c := range []struct{ entries, targets int }{{105, 6}, {105, 3}, {24, 3}, {8, 3}} {
		t.Run(fmt.Sprintf("%d entries, %d targets", c.entries, c.targets), func(t *testing.T) {
			p := newPlainPool(c.entries, c.targets, 6)
			p.run(rand.New(rand.NewPCG(1, 2)), 20*time.Second, 60*time.Millisecond, 525*time.Millisecond, 46*float64(c.targets))
			assert.Assert(t, 30*p.rejected < p.arrived, "%d of %d rejected; %v", p.rejected, p.arrived, p.perPool)
		})
	}
}

// Guards against a sample of slow, failing or limited targets while there are others.
func TestSampleLeavesOutBadTargets(t *testing.T) {
	p := newPlainPool(1, 6, 6)
	targets := p.entries[0]
	for i := range 3 {
		for range 5 {
			targets[0].AddFailure(start, false)
			targets[1].addOutcome(start, false, maxSampleSlowdown)
		}
		targets[2].Limit = 1
		now := start.Add(time.Duration(i))
		for j := range 50 {
			c := Pick(now.Add(time.Duration(j)), Selection{Zone: "a"}, &Request{}, targets, skipNone)
			assert.Assert(t, c.Target != targets[0] && c.Target != targets[1] && c.Target != targets[2], c.Target.ID)
		}
	}
	only := targets[:3]
	assert.Assert(t, Pick(start, Selection{Zone: "a"}, &Request{}, only, skipNone).Target != nil)
}

package admit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1e9, 0)

// stateMachine drives an Admission with random events and tracks the expected state.
type stateMachine struct {
	a         *Admission
	now       time.Time
	next      uint64
	reqs      map[uint64]Request
	waiting   map[uint64]bool
	running   map[uint64]bool
	reclaimed map[uint64]bool
}

func (m *stateMachine) check(t *rapid.T) {
	t.Helper()
	cfg := m.a.Config()
	for range 50 {
		before := m.counts()
		s := m.a.Step(m.now)
		for _, r := range s.Refuse {
			assert.Assert(t, m.waiting[r.ID], "refused %d, which is not waiting", r.ID)
			delete(m.waiting, r.ID)
		}
		for _, id := range s.Start {
			assert.Assert(t, m.waiting[id], "started %d, which is not waiting", id)
			delete(m.waiting, id)
			m.running[id] = true
			r := m.reqs[id]
			if r.Team != "own" {
				for w := range m.waiting {
					assert.Assert(t, m.reqs[w].Team != "own" || slices.Contains(s.Start, w), "borrowed request started while one of the owner waits")
				}
			}
		}
		after := m.counts()
		assert.Assert(t, len(m.running) <= max(cfg.Slots, before.all), "%d running in %d slots", len(m.running), cfg.Slots)
		assert.Assert(t, after.borrowed <= max(cfg.borrowLimit(), before.borrowed), "%d borrowed, limit %d", after.borrowed, cfg.borrowLimit())
		assert.Assert(t, after.long <= max(cfg.longLimit(true), before.long), "%d long of %d slots", after.long, cfg.Slots)
		assert.Assert(t, after.exclusive == 0 || after.all == 1, "a request that must run alone shares the target")
		assert.Assert(t, len(m.waiting) <= cfg.QueueLimit)
		for _, id := range s.Reclaim {
			r := m.reqs[id]
			assert.Assert(t, m.running[id] && r.Team != "own" && r.Idempotent && !m.reclaimed[id])
			m.reclaimed[id] = true
		}
		if len(s.Start)+len(s.Refuse)+len(s.Reclaim) == 0 {
			m.checkReclaimed(t)
			return
		}
	}
	t.Fatal("Step still returns actions after 50 calls")
}

// checkReclaimed fails if the owner waits only for a slot, or the limit on borrowed
// work is exceeded, while a borrowed request could be reclaimed.
func (m *stateMachine) checkReclaimed(t *rapid.T) {
	c := m.counts()
	reclaimable, reclaimed := 0, 0
	for id := range m.running {
		if r := m.reqs[id]; r.Team != "own" {
			if m.reclaimed[id] {
				reclaimed++
			} else if r.Idempotent {
				reclaimable++
			}
		}
	}
	need := c.borrowed - m.a.Config().borrowLimit()
	if c.all >= m.a.Config().Slots {
		short := 0
		for id := range m.waiting {
			if m.reqs[id].Team == "own" && m.a.requests[id].class == Short {
				short++
			}
		}
		need = max(need, short)
	}
	assert.Assert(t, reclaimable == 0 || reclaimed >= need, "%d reclaimed, %d more reclaimable, %d needed", reclaimed, reclaimable, need)
}

type counts struct{ all, borrowed, long, exclusive int }

func (m *stateMachine) counts() counts {
	var c counts
	for id := range m.running {
		c.all++
		if m.reqs[id].Team != "own" {
			c.borrowed++
		}
		if m.a.requests[id].class == Long {
			c.long++
		}
		if m.reqs[id].Exclusive {
			c.exclusive++
		}
	}
	return c
}

// Guards against exceeding limits, also right after a configuration change; against
// refusing requests that have started; and against reclaiming requests that belong
// to the owner or are not idempotent.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := func(k int) int { return rapid.IntRange(0, k).Draw(t, "n") }
		m := &stateMachine{now: epoch, reqs: map[uint64]Request{}, waiting: map[uint64]bool{}, running: map[uint64]bool{}, reclaimed: map[uint64]bool{}}
		config := func() Config {
			return Config{
				Slots: 1 + n(5), QueueLimit: 1 + n(5), ShortMaxTokens: 10, LongSlotPercent: uint32(n(100)),
				LendPercent: uint32(n(120)), Team: "own", AgeBound: time.Second, AgeStep: time.Second,
			}
		}
		m.a = New(config())
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				m.next++
				r := Request{
					ID: m.next, Team: []string{"own", "own", "other"}[n(2)], Model: "m", Priority: n(12),
					Deadline: m.now.Add(time.Duration(n(20)) * time.Second), MaxTokens: uint32(n(20)),
					Exclusive: n(8) == 0, Idempotent: n(2) > 0,
				}
				m.reqs[m.next] = r
				if _, ok := m.a.Submit(m.now, r); ok {
					m.waiting[m.next] = true
				}
			},
			"done": func(*rapid.T) {
				if len(m.running) > 0 {
					ids := sorted(m.running)
					id := ids[n(len(ids)-1)]
					delete(m.running, id)
					m.a.Done(m.now, id, n(3) > 0, uint32(n(30)))
				}
			},
			"cancel": func(*rapid.T) {
				id := uint64(n(int(m.next)))
				assert.Equal(t, m.a.Cancel(id), m.waiting[id])
				delete(m.waiting, id)
			},
			"grow":      func(*rapid.T) { m.a.RecordToken(m.now, uint64(n(int(m.next))), uint32(n(20))) },
			"time":      func(*rapid.T) { m.now = m.now.Add(time.Duration(n(3000)) * time.Millisecond) },
			"configure": func(*rapid.T) { m.a.Configure(config()) },
			"":          func(t *rapid.T) { m.check(t) },
		})
	})
}

func sorted(set map[uint64]bool) []uint64 {
	var ids []uint64
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Guards against starvation of a long request of any priority under a steady
// stream of short requests of the highest priority.
func TestEveryAdmittedRequestIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Config{
			Slots: rapid.IntRange(1, 4).Draw(t, "slots"), QueueLimit: 1000, ShortMaxTokens: 10,
			LongSlotPercent: 25, AgeBound: 2 * time.Second, AgeStep: time.Second,
		})
		slots := a.Config().Slots
		now, far := epoch, epoch.Add(time.Hour)
		_, ok := a.Submit(now, Request{ID: 1, Priority: rapid.IntRange(0, 9).Draw(t, "p"), Deadline: far, MaxTokens: 500})
		assert.Assert(t, ok)
		ends := map[uint64]time.Time{}
		for i := range 400 {
			now = now.Add(100 * time.Millisecond)
			for id, at := range ends {
				if !at.After(now) {
					a.Done(now, id, true, 0)
					delete(ends, id)
				}
			}
			for k := range slots + 1 {
				// These have the earlier deadline, so only age can put the long request first.
				a.Submit(now, Request{ID: uint64(10*i + k + 2), Priority: 9, Deadline: far.Add(-time.Minute), MaxTokens: 1})
			}
			for _, id := range a.Step(now).Start {
				if id == 1 {
					return
				}
				ends[id] = now.Add(100 * time.Millisecond)
			}
		}
		t.Fatal("the long request never started")
	})
}

// Guards against lent slots that the owner does not get back, and against
// reclaiming more slots than the owner needs, in another order than newest first,
// or requests that are not idempotent.
func TestOwnerReclaimsNewestFirst(t *testing.T) {
	a := New(Config{Slots: 4, QueueLimit: 8, ShortMaxTokens: 10, LendPercent: 75, Team: "own"})
	at := epoch.Add(time.Hour)
	for id := range uint64(3) {
		_, ok := a.Submit(epoch, Request{ID: id + 1, Team: "other", Deadline: at, Idempotent: id != 2})
		assert.Assert(t, ok)
		a.Step(epoch)
	}
	_, ok := a.Submit(epoch, Request{ID: 4, Team: "other", Deadline: at})
	assert.Assert(t, ok)
	assert.Equal(t, len(a.Step(epoch).Start), 0, "the limit on borrowed work is 3 of 4 slots")
	for id := range uint64(2) {
		_, ok = a.Submit(epoch, Request{ID: id + 5, Team: "own", Deadline: at})
		assert.Assert(t, ok)
	}
	s := a.Step(epoch)
	assert.DeepEqual(t, s.Start, []uint64{5})
	assert.DeepEqual(t, s.Reclaim, []uint64{2})
	ref, ok := a.Submit(epoch, Request{ID: 9, Team: "other", Deadline: at})
	assert.Assert(t, !ok && ref.Reason == ReasonLentLimit, "borrowed request admitted while the owner waits")
}

// Guards against a request that must run alone blocking short requests until long
// ones have ended, and against its starvation.
func TestAloneLetsShortWorkPass(t *testing.T) {
	a := New(Config{Slots: 3, QueueLimit: 8, ShortMaxTokens: 10, LongSlotPercent: 100, AgeBound: time.Second})
	a.history.add(Request{}, Short, 10, 5, 100*time.Millisecond)
	a.history.add(Request{}, Long, 10, 500, time.Minute)
	submit := func(id uint64, tokens uint32, alone bool) []uint64 {
		_, ok := a.Submit(epoch, Request{ID: id, MaxTokens: tokens, Exclusive: alone, Deadline: epoch.Add(time.Hour + time.Duration(id))})
		assert.Assert(t, ok)
		return a.Step(epoch).Start
	}
	assert.DeepEqual(t, submit(1, 500, false), []uint64{1})
	assert.Equal(t, len(submit(2, 5, true)), 0)
	assert.DeepEqual(t, submit(3, 5, false), []uint64{3})
	assert.Equal(t, len(submit(4, 500, false)), 0, "long request started while the slots drain")
	a.Done(epoch, 1, false, 0)
	assert.Equal(t, len(submit(5, 5, false)), 0, "short request started although only short ones are left to drain")
	a.Done(epoch, 3, false, 0)
	assert.DeepEqual(t, a.Step(epoch).Start, []uint64{2})
}

// Guards against classifying by the declared maximum alone when callers declare
// far more than they use.
func TestClassFollowsHistory(t *testing.T) {
	a := New(Config{Slots: 1, QueueLimit: 1, ShortMaxTokens: 100})
	r := Request{Model: "m", MaxTokens: 4096}
	assert.Equal(t, a.history.class(r, 100), Long)
	for range 20 {
		a.history.add(r, Long, 100, 10, time.Second)
	}
	assert.Equal(t, a.history.class(r, 100), Short)
	r.PromptBytes = 4 * 16 * 200
	assert.Equal(t, a.history.class(r, 100), Long)
}

// Guards against a reported wait that reveals a straggler only once a queue has
// formed, or that stays high after the target has recovered.
func TestLoadShowsStraggler(t *testing.T) {
	a := New(Config{Slots: 4, QueueLimit: 8, ShortMaxTokens: 1000})
	now := epoch
	a.history.add(Request{}, Short, 1000, 25, time.Second)
	_, ok := a.Submit(now, Request{ID: 1, Deadline: now.Add(time.Hour)})
	assert.Assert(t, ok && len(a.Step(now).Start) == 1)
	run := func(gap time.Duration, tokens int) time.Duration {
		for range tokens {
			now = now.Add(gap)
			a.RecordToken(now, 1, 1)
		}
		return a.Load(now).Wait
	}
	assert.Equal(t, run(40*time.Millisecond, 200), time.Duration(0))
	slow := run(400*time.Millisecond, 2)
	t.Logf("queue empty, tokens 10 times slower: wait %s after 2 tokens", slow)
	assert.Assert(t, slow > 4*time.Second)
	assert.Equal(t, run(40*time.Millisecond, 100), time.Duration(0))
	now = now.Add(2 * time.Second)
	assert.Equal(t, a.Load(now).Wait, 9*time.Second, "no token for 50 times the usual interval")
}

// job is a simulated request that holds its slot for service.
type job struct {
	Request
	at      time.Time
	service time.Duration
}

// outcome holds the results of a simulation: response times and counts of jobs
// completed by their deadlines.
type outcome struct {
	short, long    []time.Duration
	good, goodLong int
	// refused counts refusals; late counts completions after the deadline.
	refused, late int
}

func p99(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)*99/100]
}

// newWorkload generates Poisson arrivals; 5% of the jobs are 50 times longer.
func newWorkload(seed uint64, n int, gap, deadline time.Duration) []job {
	r := rand.New(rand.NewPCG(seed, 7))
	now := epoch
	var out []job
	for i := range n {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(gap)))
		j := job{at: now, service: 20 * time.Millisecond}
		j.Request = Request{ID: uint64(i + 1), Model: "m", MaxTokens: 20, Priority: 5}
		if r.IntN(20) == 0 {
			j.service *= 50
			j.MaxTokens *= 50
		}
		j.Deadline = now.Add(deadline + 3*j.service)
		out = append(out, j)
	}
	return out
}

// simulateFIFO simulates a FIFO queue that admits every job.
func simulateFIFO(jobs []job, slots int) outcome {
	free := make([]time.Time, slots)
	var o outcome
	for _, j := range jobs {
		i := 0
		for k := range free {
			if free[k].Before(free[i]) {
				i = k
			}
		}
		start := j.at
		if free[i].After(start) {
			start = free[i]
		}
		free[i] = start.Add(j.service)
		o.add(j, free[i])
	}
	return o
}

func (o *outcome) add(j job, end time.Time) {
	if j.MaxTokens <= 100 {
		o.short = append(o.short, end.Sub(j.at))
	} else {
		o.long = append(o.long, end.Sub(j.at))
	}
	switch {
	case end.After(j.Deadline):
		o.late++
	case j.MaxTokens > 100:
		o.goodLong++
		fallthrough
	default:
		o.good++
	}
}

// simulateAdmission simulates an Admission.
func simulateAdmission(jobs []job, slots int) outcome {
	a := New(Config{
		Slots: slots, QueueLimit: 256, ShortMaxTokens: 100, LongSlotPercent: 50,
		AgeBound: 2 * time.Second, AgeStep: time.Second,
	})
	type end struct {
		at time.Time
		j  job
	}
	var o outcome
	var ends []end
	byID := map[uint64]job{}
	step := func(now time.Time) {
		s := a.Step(now)
		o.refused += len(s.Refuse)
		for _, id := range s.Start {
			ends = append(ends, end{now.Add(byID[id].service), byID[id]})
		}
		slices.SortFunc(ends, func(x, y end) int { return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.j.ID, y.j.ID)) })
	}
	finish := func(until time.Time) {
		for len(ends) > 0 && !ends[0].at.After(until) {
			e := ends[0]
			ends = ends[1:]
			a.Done(e.at, e.j.ID, true, e.j.MaxTokens)
			o.add(e.j, e.at)
			step(e.at)
		}
	}
	for _, j := range jobs {
		finish(j.at)
		byID[j.ID] = j
		if _, ok := a.Submit(j.at, j.Request); !ok {
			o.refused++
		}
		step(j.at)
	}
	finish(epoch.Add(24 * time.Hour))
	return o
}

// Guards against admission control that serves short requests no better than a
// FIFO queue. Time is simulated: 8 slots, mean service time 69 ms.
func TestShortWorkIsNotBehindLongWork(t *testing.T) {
	// 80% load: 8 slots / 69 ms = 116/s at capacity.
	gap := time.Second * 10 / (1160 * 8 / 10)
	jobs := newWorkload(1, 40000, gap, 10*time.Second)
	base, got := simulateFIFO(jobs, 8), simulateAdmission(jobs, 8)
	before, after := p99(base.short), p99(got.short)
	t.Logf("p99 of short requests at 80%% load: FIFO %s, admission %s, ratio %.3f; of long requests: FIFO %s, admission %s; refused %d of %d",
		before, after, after.Seconds()/before.Seconds(), p99(base.long), p99(got.long), got.refused, len(jobs))
	assert.Assert(t, after < before/4)
	assert.Assert(t, got.good > len(jobs)*97/100, fmt.Sprint(got.good))
}

// Guards against spending capacity on requests that miss their deadlines at twice
// the capacity. Goodput counts the jobs completed by their deadlines.
func TestGoodputAtTwiceTheCapacity(t *testing.T) {
	jobs := newWorkload(2, 40000, time.Second*10/(1160*2), 500*time.Millisecond)
	base, got := simulateFIFO(jobs, 8), simulateAdmission(jobs, 8)
	t.Logf("goodput at 2x capacity: FIFO %d (%d long), admission %d (%d long) of %d; refused %d, late %d",
		base.good, base.goodLong, got.good, got.goodLong, len(jobs), got.refused, got.late)
	assert.Assert(t, got.good > 20*base.good)
	// The wait estimate refused 3,000 more when it let waiting long requests occupy
	// slots that short ones can use.
	assert.Assert(t, got.good > len(jobs)*7/10, fmt.Sprint(got.good))
	assert.Assert(t, got.late*50 < got.good, "completed after the deadline: %d", got.late)
}

package engine

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"bulrushpath.example/standin/answer"
)

// artifact identifies a loadable copy; adapter is empty for the model itself.
type artifact struct {
	model, version, adapter string
}

// request is one queued or running generation.
type request struct {
	id       string
	art      artifact
	prompt   string
	priority int
	text     answer.Text
	// next is the index of the next token to emit; limit is one past the last index.
	next, limit int
	// cutAt is the index before which the stream is aborted; -1 for none.
	cutAt int
	// marked is true if the prompt contains the crash marker: the engine crashes
	// instead of emitting the first token and stays down for down.
	marked bool
	down   time.Duration
	// ready is the end of the prefill.
	ready time.Time
	// out is buffered for all tokens, so that a slow reader never blocks the batch.
	// It is closed after the last token or when the request is aborted.
	out    chan int
	broken bool
}

// boot is the state of an engine between two crashes.
type boot struct {
	e      *Engine
	id     string
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	mu      sync.Mutex
	active  []*request
	waiting []*request
	cache   prefixCache
	report  loadReport
	leaving bool
	memory  memory
	// crashed is guarded by e.mu.
	crashed bool
}

func newBoot(e *Engine, id string) *boot {
	ctx, cancel := context.WithCancel(context.Background())
	b := &boot{
		e: e, id: id, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		cache:  newPrefixCache(e.cfg.CacheBlocks),
		memory: newMemory(),
	}
	b.report.note(time.Now(), 0, 0)
	b.wg.Go(b.run)
	return b
}

// stop cancels all work and waits for its goroutines.
func (b *boot) stop() {
	b.cancel()
	// spawn checks ctx and adds to wg under mu. After this lock it can only see the
	// cancelled ctx, so wg does not grow during Wait.
	b.mu.Lock()
	b.mu.Unlock() //nolint:staticcheck // empty on purpose, see above
	b.wg.Wait()
}

// spawn runs fn in a goroutine unless the boot has ended.
func (b *boot) spawn(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() == nil {
		b.wg.Go(fn)
	}
}

func (b *boot) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// run is the batch loop: each step emits one token of every running request.
func (b *boot) run() {
	for {
		step, emit := b.plan(time.Now())
		if step == 0 {
			select {
			case <-b.ctx.Done():
				return
			case <-b.wake:
			}
			continue
		}
		select {
		case <-b.ctx.Done():
			return
		case <-time.After(step):
		}
		if emit {
			b.emit(time.Now())
		}
	}
}

// plan fills free slots from the queue and returns the duration of the next step,
// or 0 if nothing runs. emit is false while the engine is stalled.
func (b *boot) plan(now time.Time) (step time.Duration, emit bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.active) < b.e.cfg.Slots && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.admit(r, now)
	}
	b.report.note(now, len(b.active), len(b.waiting))
	if len(b.active) == 0 {
		return 0, false
	}
	factor, stall := b.e.faults.pace(now)
	if stall > 0 {
		return min(stall, 20*time.Millisecond), false
	}
	batch := 1 + b.e.cfg.BatchCost*float64(len(b.active)-1)
	return max(time.Microsecond, time.Duration(float64(b.e.cfg.TokenTime)*batch*factor)), true
}

func (b *boot) admit(r *request, now time.Time) {
	cfg := b.e.cfg
	uncached := b.cache.use(r.art, r.prompt)
	prefill := cfg.FirstTime + time.Duration(float64(cfg.PrefillTime)*float64(uncached)/1024)
	adapters := 0
	for _, a := range b.active {
		if a.art.adapter != "" {
			adapters++
		}
	}
	if r.art.adapter != "" {
		prefill += adapterTime(cfg, r, adapters+1)
	}
	factor, _ := b.e.faults.pace(now)
	r.ready = now.Add(time.Duration(float64(prefill) * factor))
	b.active = append(b.active, r)
	same := 0
	for _, a := range b.active {
		if a.art.model == r.art.model {
			same++
		}
	}
	b.e.audit.update(func(a *Audit) {
		a.Generations++
		a.MaxRunning[r.art.model] = max(a.MaxRunning[r.art.model], same)
		if r.next > 0 {
			a.Resumed++
		}
		if r.marked {
			a.MarkedRuns++
		}
	})
}

// adapterTime returns the time that an adapter adds to the prefill of r: a value
// between AdapterMin and AdapterMax, derived from a hash of adapter and request id,
// and scaled in proportion to inFlight above AdapterLimit.
func adapterTime(cfg Config, r *request, inFlight int) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.art.adapter + r.id))
	share := float64(h.Sum32()%1000) / 1000
	d := float64(cfg.AdapterMin) + share*float64(cfg.AdapterMax-cfg.AdapterMin)
	if cfg.AdapterLimit > 0 && inFlight > cfg.AdapterLimit {
		d *= float64(inFlight) / float64(cfg.AdapterLimit)
	}
	return time.Duration(d)
}

// emit emits the next token of every request whose prefill has finished.
func (b *boot) emit(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = slices.DeleteFunc(b.active, func(r *request) bool {
		if now.Before(r.ready) {
			return false
		}
		if r.marked {
			b.e.crash(b, r.down)
			return false
		}
		if r.cutAt >= 0 && r.next >= r.cutAt {
			r.broken = true
			close(r.out)
			return true
		}
		if r.next < r.limit {
			r.out <- r.next
			r.next++
		}
		if r.next < r.limit {
			return false
		}
		close(r.out)
		b.e.audit.update(func(a *Audit) { a.Finished++ })
		return true
	})
}

// enqueue inserts r into the queue, which is ordered by priority and then arrival.
// The caller holds b.mu.
func (b *boot) enqueue(r *request) {
	at, _ := slices.BinarySearchFunc(b.waiting, r, func(have, add *request) int {
		if have.priority >= add.priority {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, r)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// drop removes a request whose client has disconnected.
func (b *boot) drop(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	is := func(x *request) bool { return x == r }
	b.active = slices.DeleteFunc(b.active, is)
	b.waiting = slices.DeleteFunc(b.waiting, is)
}

// breakUsers aborts the requests that use an artifact about to be unloaded. An
// unloaded model also aborts the requests with one of its adapters. The caller
// holds b.mu.
func (b *boot) breakUsers(art artifact) {
	uses := func(r *request) bool {
		used := r.art == art || (art.adapter == "" && r.art.model == art.model && r.art.version == art.version)
		if used {
			r.broken = true
			close(r.out)
			b.e.audit.update(func(a *Audit) { a.UnloadsInUse++ })
		}
		return used
	}
	b.active = slices.DeleteFunc(b.active, uses)
	b.waiting = slices.DeleteFunc(b.waiting, uses)
}

// loadReport keeps past load samples, so that the load can be reported with a lag.
type loadReport struct {
	samples []loadSample
}

type loadSample struct {
	at              time.Time
	running, queued int
}

// reportKept limits the stored samples.
const reportKept = 4096

func (l *loadReport) note(now time.Time, running, queued int) {
	if n := len(l.samples); n > 0 && l.samples[n-1].running == running && l.samples[n-1].queued == queued {
		return
	}
	if len(l.samples) == reportKept {
		l.samples = append(l.samples[:0], l.samples[reportKept/2:]...)
	}
	l.samples = append(l.samples, loadSample{now, running, queued})
}

// at returns the newest sample that is at least lag old.
func (l *loadReport) at(now time.Time, lag time.Duration) loadSample {
	seen := now.Add(-lag)
	for i := len(l.samples) - 1; i >= 0; i-- {
		if !l.samples[i].at.After(seen) {
			s := l.samples[i]
			s.at = seen
			return s
		}
	}
	return loadSample{at: seen}
}

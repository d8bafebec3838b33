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
	// abortAt is the index before which the stream is aborted; -1 for none.
	abortAt int
	// crash is true if the prompt contains the crash marker: the engine crashes
	// instead of emitting the first token and stays down for downtime.
	crash    bool
	downtime time.Duration
	// ready is the end of the prefill.
	ready time.Time
	// tokens is buffered for all tokens, so that a slow reader never blocks the batch.
	// It is closed after the last token or when the request is aborted.
	tokens  chan int
	aborted bool
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
	running []*request
	queued  []*request
	cache   prefixCache
	history loadHistory
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
	b.history.record(time.Now(), 0, 0)
	b.wg.Go(b.runBatches)
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

// runBatches is the batch loop: each step emits one token of every running request.
func (b *boot) runBatches() {
	for {
		step, emit := b.nextStep(time.Now())
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
			b.emitTokens(time.Now())
		}
	}
}

// nextStep fills free slots from the queue and returns the duration of the next step,
// or 0 if nothing runs. emit is false while the engine is stalled.
func (b *boot) nextStep(now time.Time) (step time.Duration, emit bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.running) < b.e.cfg.Slots && len(b.queued) > 0 {
		r := b.queued[0]
		b.queued = b.queued[1:]
		b.admit(r, now)
	}
	b.history.record(now, len(b.running), len(b.queued))
	if len(b.running) == 0 {
		return 0, false
	}
	factor, stall := b.e.faults.slowdown(now)
	if stall > 0 {
		return min(stall, 20*time.Millisecond), false
	}
	batch := 1 + b.e.cfg.BatchCost*float64(len(b.running)-1)
	return max(time.Microsecond, time.Duration(float64(b.e.cfg.TokenTime)*batch*factor)), true
}

func (b *boot) admit(r *request, now time.Time) {
	cfg := b.e.cfg
	uncached := b.cache.insert(r.art, r.prompt)
	prefill := cfg.FirstTokenTime + time.Duration(float64(cfg.PrefillTime)*float64(uncached)/1024)
	adapters := 0
	for _, a := range b.running {
		if a.art.adapter != "" {
			adapters++
		}
	}
	if r.art.adapter != "" {
		prefill += adapterTime(cfg, r, adapters+1)
	}
	factor, _ := b.e.faults.slowdown(now)
	r.ready = now.Add(time.Duration(float64(prefill) * factor))
	b.running = append(b.running, r)
	sameModel := 0
	for _, a := range b.running {
		if a.art.model == r.art.model {
			sameModel++
		}
	}
	b.e.audit.update(func(a *Audit) {
		a.Generations++
		a.MaxRunning[r.art.model] = max(a.MaxRunning[r.art.model], sameModel)
		if r.next > 0 {
			a.Resumed++
		}
		if r.crash {
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

// emitTokens emits the next token of every request whose prefill has finished.
func (b *boot) emitTokens(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = slices.DeleteFunc(b.running, func(r *request) bool {
		if now.Before(r.ready) {
			return false
		}
		if r.crash {
			b.e.crash(b, r.downtime)
			return false
		}
		if r.abortAt >= 0 && r.next >= r.abortAt {
			r.aborted = true
			close(r.tokens)
			return true
		}
		if r.next < r.limit {
			r.tokens <- r.next
			r.next++
		}
		if r.next < r.limit {
			return false
		}
		close(r.tokens)
		b.e.audit.update(func(a *Audit) { a.Finished++ })
		return true
	})
}

// enqueue inserts r into the queue, which is ordered by priority and then arrival.
// The caller holds b.mu.
func (b *boot) enqueue(r *request) {
	at, _ := slices.BinarySearchFunc(b.queued, r, func(queued, added *request) int {
		if queued.priority >= added.priority {
			return -1
		}
		return 1
	})
	b.queued = slices.Insert(b.queued, at, r)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// remove drops a request whose client has disconnected.
func (b *boot) remove(r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	isRequest := func(x *request) bool { return x == r }
	b.running = slices.DeleteFunc(b.running, isRequest)
	b.queued = slices.DeleteFunc(b.queued, isRequest)
}

// abortUsers aborts the requests that use an artifact about to be unloaded. An
// unloaded model also aborts the requests with one of its adapters. The caller
// holds b.mu.
func (b *boot) abortUsers(art artifact) {
	uses := func(r *request) bool {
		used := r.art == art || (art.adapter == "" && r.art.model == art.model && r.art.version == art.version)
		if used {
			r.aborted = true
			close(r.tokens)
			b.e.audit.update(func(a *Audit) { a.UnloadsInUse++ })
		}
		return used
	}
	b.running = slices.DeleteFunc(b.running, uses)
	b.queued = slices.DeleteFunc(b.queued, uses)
}

// loadHistory keeps past load samples, so that the load can be reported with a lag.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at              time.Time
	running, queued int
}

// maxLoadSamples limits the stored samples.
const maxLoadSamples = 4096

func (l *loadHistory) record(now time.Time, running, queued int) {
	if n := len(l.samples); n > 0 && l.samples[n-1].running == running && l.samples[n-1].queued == queued {
		return
	}
	if len(l.samples) == maxLoadSamples {
		l.samples = append(l.samples[:0], l.samples[maxLoadSamples/2:]...)
	}
	l.samples = append(l.samples, loadSample{now, running, queued})
}

// sampleAt returns the load as it was lag before now, or no load if there is no sample
// that old.
func (l *loadHistory) sampleAt(now time.Time, lag time.Duration) loadSample {
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

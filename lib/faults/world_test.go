package faults

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/member"
	"bulrushpath.example/lib/wire"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// span is the duration of one history in virtual time.
const span = 100 * time.Second

type event struct {
	at  time.Time
	seq int
	do  func()
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// proc is a simulated process: part of the system, an operator's client or an engine.
type proc struct {
	name string
	// life changes when the process is started or killed. Events scheduled for an
	// earlier value are dropped.
	life         int
	down, paused bool
	// cut drops the messages to and from other control instances, alone drops all
	// messages.
	cut, alone bool
	// held holds the events that are deferred to the end of the pause.
	held []func()
	// lag is how far the clock is behind, because it may stop during a pause.
	lag time.Duration
	// guess is the index of the control instance to call first.
	guess int
}

// world is the state of one history: processes, network, virtual time and oracles.
type world struct {
	rng   *rand.Rand
	now   time.Time
	queue queue
	seq   int
	trace []string
	// failure is the first violation; empty if there is none.
	failure string

	controls  []*control
	engines   []*engine
	agents    []*agent
	entries   []*entry
	operators []*operator
	cfgSeq    uint64
	// Until badNet, messages may be lost or delayed. Until badCommands, engine commands
	// may be lost, delayed or duplicated.
	badNet, badCommands time.Time

	oracle oracle
}

func (w *world) pick(n int) int          { return w.rng.IntN(n) }
func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }
func (w *world) clock(p *proc) time.Time { return w.now.Add(-p.lag) }
func (w *world) logf(f string, a ...any) { w.trace = append(w.trace, w.stamp()+fmt.Sprintf(f, a...)) }

func (w *world) stamp() string { return fmt.Sprintf("%8.3f ", w.now.Sub(epoch).Seconds()) }

// ms returns a random duration between low and high, in milliseconds.
func (w *world) ms(low, high int) time.Duration {
	return time.Duration(low*1000+w.rng.IntN((high-low)*1000)) * time.Microsecond
}

func (w *world) failf(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
		w.logf("VIOLATION %s", w.failure)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{w.now.Add(d), w.seq, do})
}

// later runs do in p after d, unless p is killed or restarted first.
func (w *world) later(p *proc, d time.Duration, do func()) {
	life := p.life
	w.after(d, func() { w.run(p, life, do) })
}

// run runs do in p, or defers it if p is paused. It drops do if p is down or is no longer
// in the given life.
func (w *world) run(p *proc, life int, do func()) {
	switch {
	case p.life != life || p.down:
	case p.paused:
		p.held = append(p.held, func() { w.run(p, life, do) })
	default:
		do()
	}
}

// every runs do in p immediately and then once per period, with some jitter, until p is
// killed or restarted.
func (w *world) every(p *proc, period time.Duration, do func()) {
	do()
	w.later(p, period+w.ms(0, 20), func() { w.every(p, period, do) })
}

// send delivers a message over a connection: to the current life of to, or not at all.
func (w *world) send(from, to *proc, do func()) {
	delay := w.ms(1, 4)
	if w.now.Before(w.badNet) {
		if w.chance(8) {
			return
		}
		if w.chance(8) {
			delay += w.ms(1, 4000)
		}
	}
	if w.severed(from, to) || to.down {
		return
	}
	w.later(to, delay, func() {
		if !w.severed(from, to) {
			do()
		}
	})
}

func (w *world) severed(from, to *proc) bool {
	return from.alone || to.alone || (from.cut || to.cut) && w.isControl(from) && w.isControl(to)
}

func (w *world) isControl(p *proc) bool { return p.name[0] == 'c' }

func (w *world) kill(p *proc) {
	p.down, p.paused, p.held = true, false, nil
	p.life++
}

// resume ends a pause. The deferred events run over the next 300 ms, while the clock may
// still be behind, so that newer messages may overtake them.
func (w *world) resume(p *proc) {
	if !p.paused {
		return
	}
	p.paused = false
	held := p.held
	p.held = nil
	for _, do := range held {
		w.after(w.ms(0, 300), do)
	}
	w.after(w.ms(1, 3000), func() { p.lag = 0 })
}

// ask calls the control leader and retries at the next instance after a refusal or a
// timeout. done receives nil if there is no reply within limit.
func ask[R any](w *world, p *proc, limit time.Duration, call func(c *control, answer func(*R)), done func(*R)) {
	ended, end := false, w.now.Add(limit)
	finish := func(r *R) {
		if !ended {
			ended = true
			done(r)
		}
	}
	var try func()
	try = func() {
		if ended {
			return
		}
		if !w.now.Before(end) {
			finish(nil)
			return
		}
		c, moved := w.controls[p.guess], false
		next := func(pause time.Duration) {
			if !moved {
				moved = true
				p.guess = (c.index + 1) % len(w.controls)
				w.later(p, pause, try)
			}
		}
		w.send(p, &c.proc, func() {
			call(c, func(r *R) {
				w.send(&c.proc, p, func() {
					if r == nil {
						next(w.ms(30, 150))
					} else {
						finish(r)
					}
				})
			})
		})
		w.later(p, min(700*time.Millisecond, end.Sub(w.now)), func() { next(0) })
	}
	try()
}

// publication is the first reply that a publisher received.
type publication struct {
	reply *wire.PublishReply
	base  uint64
}

// oracle holds the observations by which a history is checked, and counts its events.
type oracle struct {
	// configs holds the content of each version that a process has held.
	configs map[uint64]*wire.Config
	// accepted is the highest version that was reported to a publisher as accepted.
	accepted     uint64
	publications map[string]publication
	winners      map[uint64]string
	held         map[string]uint64

	incarnations map[string]string
	runs         map[string]int
	attempts     map[string]int
	notRun       map[string]bool
	crashes      map[string]int

	// armed holds, by model, the number of its copies lost since it last had two settled
	// copies.
	armed  map[string]int
	lossAt time.Time

	published, conflicts, resent, completed, refused, unknown, losses, loads, unloads, terms, blocked int
}

func newOracle() oracle {
	return oracle{
		configs: map[uint64]*wire.Config{}, publications: map[string]publication{}, winners: map[uint64]string{},
		held: map[string]uint64{}, incarnations: map[string]string{}, runs: map[string]int{},
		attempts: map[string]int{}, notRun: map[string]bool{}, crashes: map[string]int{}, armed: map[string]int{},
	}
}

// holds checks the configuration that a process has received. For a first read, floor is
// the highest version accepted when the process sent its request.
func (w *world) holds(name string, cfg *wire.Config, floor uint64) {
	o, v := &w.oracle, cfg.GetVersion()
	if v < o.held[name] {
		w.failf("%s reverted from version %d to %d", name, o.held[name], v)
	}
	if v < floor {
		w.failf("%s reads version %d first, although version %d was accepted before", name, v, floor)
	}
	o.held[name] = v
	w.content(name, cfg)
}

// content checks that a version has the same content at all processes.
func (w *world) content(name string, cfg *wire.Config) {
	old, ok := w.oracle.configs[cfg.GetVersion()]
	if !ok {
		w.oracle.configs[cfg.GetVersion()] = proto.CloneOf(cfg)
	} else if !proto.Equal(old, cfg) {
		w.failf("version %d at %s differs from its earlier content", cfg.GetVersion(), name)
	}
}

// told checks the reply to a publication.
func (w *world) told(id string, req *wire.PublishRequest, r *wire.PublishReply) {
	o := &w.oracle
	if p, ok := o.publications[id]; ok {
		o.resent++
		if !proto.Equal(p.reply, r) {
			w.failf("publication %s was answered %v, then %v", id, p.reply, r)
		}
		return
	}
	o.publications[id] = publication{r, req.GetBaseVersion()}
	if r.GetOutcome() != wire.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED {
		o.conflicts++
		return
	}
	o.published++
	if other, ok := o.winners[req.GetBaseVersion()]; ok && other != id {
		w.failf("publications %s and %s were both accepted on base version %d", other, id, req.GetBaseVersion())
	}
	o.winners[req.GetBaseVersion()] = id
	cfg := proto.CloneOf(req.GetConfig())
	cfg.Version = r.GetVersion()
	w.content("publisher", cfg)
	o.accepted = max(o.accepted, r.GetVersion())
}

// registered checks that an incarnation is given to a single agent process.
func (w *world) registered(target string, nonce []byte, inc uint64) {
	key := fmt.Sprintf("%s %d", target, inc)
	if old, ok := w.oracle.incarnations[key]; ok && !bytes.Equal([]byte(old), nonce) {
		w.failf("incarnation %s was assigned twice", key)
	}
	w.oracle.incarnations[key] = string(nonce)
}

// ran records and checks an execution of a non-idempotent request.
func (w *world) ran(key, attempt string) {
	o := &w.oracle
	o.runs[key]++
	o.attempts[attempt]++
	if o.runs[key] > 1 {
		w.failf("request %s ran %d times", key, o.runs[key])
	}
	if o.notRun[attempt] {
		w.failf("attempt %s of %s ran after its caller received not-run", attempt, key)
	}
}

// toldNotRun records and checks a not-run answer to a caller.
func (w *world) toldNotRun(key, attempt string) {
	w.oracle.refused++
	w.oracle.notRun[attempt] = true
	if w.oracle.attempts[attempt] > 0 {
		w.failf("caller of %s received not-run, but attempt %s ran", key, attempt)
	}
}

// checkMemory checks that the memory of an engine is not overcommitted.
func (w *world) checkMemory(e *engine) {
	if used := e.used(); used > e.memory {
		w.failf("%s holds %d bytes of %d (boot %d): %v", e.name, used, e.memory, e.boot, e.resident)
	}
}

// noticeTime is how long announcements from before a loss may remain in effect.
const noticeTime = member.Lease

// noticed reports whether the leader has detected all losses so far, that is, counts no
// lost copy of the model.
func (w *world) noticed(live []*wire.Announcement, model string) bool {
	if w.now.Sub(w.oracle.lossAt) < noticeTime {
		return false
	}
	for _, a := range live {
		if a.GetPhase() != wire.Phase_PHASE_READY {
			continue
		}
		e := w.engines[a.GetTarget()[1]-'0']
		if !e.holdsModel(model) && slices.ContainsFunc(a.GetResident(),
			func(c *wire.Copy) bool { return c.GetModel() == model }) {
			return false
		}
	}
	return true
}

// checkModels checks that a model with two settled copies stays resident when one target
// is lost, and also when another is lost after the leader has detected the first loss.
// Copies that a current plan or pending command removes are not settled.
func (w *world) checkModels() {
	lead := w.leader()
	var live []*wire.Announcement
	if lead != nil {
		live = lead.table.Live(lead.now())
	}
	cfg := w.oracle.configs[w.oracle.accepted]
	for _, m := range cfg.GetModels() {
		total, settled := 0, 0
		for _, e := range w.engines {
			if e.holdsModel(m.GetName()) {
				total++
				if lead != nil && w.settled(lead, e, m.GetName()) {
					settled++
				}
			}
		}
		losses, armed := w.oracle.armed[m.GetName()]
		if settled >= 2 && w.noticed(live, m.GetName()) {
			w.oracle.armed[m.GetName()] = 0
		} else if armed && losses <= 1 && total == 0 {
			w.failf("model %s is resident nowhere after %d losses", m.GetName(), losses)
		}
	}
}

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

// historyLength is the duration of one history in virtual time.
const historyLength = 100 * time.Second

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

// process is a simulated process: part of the system, an operator's client or an engine.
type process struct {
	name string
	// generation changes when the process is started or killed. Events scheduled for an
	// earlier value are dropped.
	generation   int
	down, paused bool
	// partitioned drops the messages to and from other control instances, isolated drops all
	// messages.
	partitioned, isolated bool
	// deferred holds the events that wait for the end of the pause.
	deferred []func()
	// clockLag is how far the clock is behind, because it may stop during a pause.
	clockLag time.Duration
	// nextControl is the index of the control instance to call first.
	nextControl int
}

// simulation is the state of one history: processes, network, virtual time and oracles.
type simulation struct {
	rng   *rand.Rand
	now   time.Time
	queue queue
	seq   int
	log   []string
	// failure is the first violation; empty if there is none.
	failure string

	controls  []*control
	engines   []*engine
	agents    []*agent
	entries   []*entry
	operators []*operator
	cfgSeq    uint64
	// Until lossyNetworkUntil, messages may be lost or delayed. Until
	// lossyCommandsUntil, engine commands may be lost, delayed or duplicated.
	lossyNetworkUntil, lossyCommandsUntil time.Time

	oracle oracle
}

func (s *simulation) randN(n int) int                { return s.rng.IntN(n) }
func (s *simulation) chance(percent int) bool        { return s.rng.IntN(100) < percent }
func (s *simulation) localTime(p *process) time.Time { return s.now.Add(-p.clockLag) }
func (s *simulation) logf(f string, a ...any)        { s.log = append(s.log, s.stamp()+fmt.Sprintf(f, a...)) }

func (s *simulation) stamp() string { return fmt.Sprintf("%8.3f ", s.now.Sub(epoch).Seconds()) }

// randomDelay returns a random duration between low and high, in milliseconds.
func (s *simulation) randomDelay(low, high int) time.Duration {
	return time.Duration(low*1000+s.rng.IntN((high-low)*1000)) * time.Microsecond
}

func (s *simulation) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
		s.logf("VIOLATION %s", s.failure)
	}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, &event{s.now.Add(d), s.seq, do})
}

// schedule runs do in p after d, unless p is killed or restarted first.
func (s *simulation) schedule(p *process, d time.Duration, do func()) {
	generation := p.generation
	s.after(d, func() { s.runIn(p, generation, do) })
}

// runIn runs do in p, or defers it if p is paused. It drops do if p is down or is no longer
// in the given generation.
func (s *simulation) runIn(p *process, generation int, do func()) {
	switch {
	case p.generation != generation || p.down:
	case p.paused:
		p.deferred = append(p.deferred, func() { s.runIn(p, generation, do) })
	default:
		do()
	}
}

// every runs do in p immediately and then once per period, with some jitter, until p is
// killed or restarted.
func (s *simulation) every(p *process, period time.Duration, do func()) {
	do()
	s.schedule(p, period+s.randomDelay(0, 20), func() { s.every(p, period, do) })
}

// send delivers a message over a connection: to the current generation of to, or not at
// all.
func (s *simulation) send(from, to *process, do func()) {
	delay := s.randomDelay(1, 4)
	if s.now.Before(s.lossyNetworkUntil) {
		if s.chance(8) {
			return
		}
		if s.chance(8) {
			delay += s.randomDelay(1, 4000)
		}
	}
	if s.disconnected(from, to) || to.down {
		return
	}
	s.schedule(to, delay, func() {
		if !s.disconnected(from, to) {
			do()
		}
	})
}

func (s *simulation) disconnected(from, to *process) bool {
	return from.isolated || to.isolated || (from.partitioned || to.partitioned) && s.isControl(from) && s.isControl(to)
}

func (s *simulation) isControl(p *process) bool { return p.name[0] == 'c' }

func (s *simulation) kill(p *process) {
	p.down, p.paused, p.deferred = true, false, nil
	p.generation++
}

// resume ends a pause. The deferred events run over the next 300 ms, while the clock may
// still be behind, so that newer messages may overtake them.
func (s *simulation) resume(p *process) {
	if !p.paused {
		return
	}
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, do := range deferred {
		s.after(s.randomDelay(0, 300), do)
	}
	s.after(s.randomDelay(1, 3000), func() { p.clockLag = 0 })
}

// callLeader calls the control leader and retries at the next instance after a refusal or a
// timeout. done receives nil if there is no reply within limit.
func callLeader[R any](sim *simulation, p *process, limit time.Duration, call func(c *control, answer func(*R)), done func(*R)) {
	ended, end := false, sim.now.Add(limit)
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
		if !sim.now.Before(end) {
			finish(nil)
			return
		}
		c, moved := sim.controls[p.nextControl], false
		next := func(pause time.Duration) {
			if !moved {
				moved = true
				p.nextControl = (c.index + 1) % len(sim.controls)
				sim.schedule(p, pause, try)
			}
		}
		sim.send(p, &c.process, func() {
			call(c, func(r *R) {
				sim.send(&c.process, p, func() {
					if r == nil {
						next(sim.randomDelay(30, 150))
					} else {
						finish(r)
					}
				})
			})
		})
		sim.schedule(p, min(700*time.Millisecond, end.Sub(sim.now)), func() { next(0) })
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
	accepted       uint64
	publications   map[string]publication
	acceptedByBase map[uint64]string
	heldVersions   map[string]uint64

	incarnations map[string]string
	runs         map[string]int
	attempts     map[string]int
	notRun       map[string]bool
	crashes      map[string]int

	// copyLosses holds, by model, the number of its copies lost since it last had two settled
	// copies.
	copyLosses map[string]int
	lastLossAt time.Time

	published, conflicts, resent, completed, refused, unknown, losses, loads, unloads, terms, blocked int
}

func newOracle() oracle {
	return oracle{
		configs: map[uint64]*wire.Config{}, publications: map[string]publication{}, acceptedByBase: map[uint64]string{},
		heldVersions: map[string]uint64{}, incarnations: map[string]string{}, runs: map[string]int{},
		attempts: map[string]int{}, notRun: map[string]bool{}, crashes: map[string]int{}, copyLosses: map[string]int{},
	}
}

// checkReadConfig checks the configuration that a process has received. For a first
// read, floor is the highest version accepted when the process sent its request.
func (s *simulation) checkReadConfig(name string, cfg *wire.Config, floor uint64) {
	o, v := &s.oracle, cfg.GetVersion()
	if v < o.heldVersions[name] {
		s.failf("%s reverted from version %d to %d", name, o.heldVersions[name], v)
	}
	if v < floor {
		s.failf("%s reads version %d first, although version %d was accepted before", name, v, floor)
	}
	o.heldVersions[name] = v
	s.checkContent(name, cfg)
}

// checkContent checks that a version has the same content at all processes.
func (s *simulation) checkContent(name string, cfg *wire.Config) {
	old, ok := s.oracle.configs[cfg.GetVersion()]
	if !ok {
		s.oracle.configs[cfg.GetVersion()] = proto.CloneOf(cfg)
	} else if !proto.Equal(old, cfg) {
		s.failf("version %d at %s differs from its earlier content", cfg.GetVersion(), name)
	}
}

// checkPublication checks the reply to a publication.
func (s *simulation) checkPublication(id string, req *wire.PublishRequest, r *wire.PublishReply) {
	o := &s.oracle
	if p, ok := o.publications[id]; ok {
		o.resent++
		if !proto.Equal(p.reply, r) {
			s.failf("publication %s was answered %v, then %v", id, p.reply, r)
		}
		return
	}
	o.publications[id] = publication{r, req.GetBaseVersion()}
	if r.GetOutcome() != wire.PublishOutcome_PUBLISH_OUTCOME_ACCEPTED {
		o.conflicts++
		return
	}
	o.published++
	if other, ok := o.acceptedByBase[req.GetBaseVersion()]; ok && other != id {
		s.failf("publications %s and %s were both accepted on base version %d", other, id, req.GetBaseVersion())
	}
	o.acceptedByBase[req.GetBaseVersion()] = id
	cfg := proto.CloneOf(req.GetConfig())
	cfg.Version = r.GetVersion()
	s.checkContent("publisher", cfg)
	o.accepted = max(o.accepted, r.GetVersion())
}

// checkIncarnation checks that an incarnation is given to a single agent process.
func (s *simulation) checkIncarnation(target string, nonce []byte, inc uint64) {
	key := fmt.Sprintf("%s %d", target, inc)
	if old, ok := s.oracle.incarnations[key]; ok && !bytes.Equal([]byte(old), nonce) {
		s.failf("incarnation %s was assigned twice", key)
	}
	s.oracle.incarnations[key] = string(nonce)
}

// recordRun records and checks an execution of a non-idempotent request.
func (s *simulation) recordRun(key, attempt string) {
	o := &s.oracle
	o.runs[key]++
	o.attempts[attempt]++
	if o.runs[key] > 1 {
		s.failf("request %s ran %d times", key, o.runs[key])
	}
	if o.notRun[attempt] {
		s.failf("attempt %s of %s ran after its caller received not-run", attempt, key)
	}
}

// recordNotRun records and checks a not-run answer to a caller.
func (s *simulation) recordNotRun(key, attempt string) {
	s.oracle.refused++
	s.oracle.notRun[attempt] = true
	if s.oracle.attempts[attempt] > 0 {
		s.failf("caller of %s received not-run, but attempt %s ran", key, attempt)
	}
}

// checkMemory checks that the memory of an engine is not overcommitted.
func (s *simulation) checkMemory(e *engine) {
	if used := e.usedMemory(); used > e.memory {
		s.failf("%s holds %d bytes of %d (boot %d): %v", e.name, used, e.memory, e.boot, e.resident)
	}
}

// detectionTime is how long announcements from before a loss may remain in effect.
const detectionTime = member.Lease

// lossesDetected reports whether the leader has detected all losses so far, so that no
// ready target in live is listed with a copy of the model that its engine has lost.
func (s *simulation) lossesDetected(live []*wire.Announcement, model string) bool {
	if s.now.Sub(s.oracle.lastLossAt) < detectionTime {
		return false
	}
	for _, a := range live {
		if a.GetPhase() != wire.Phase_PHASE_READY {
			continue
		}
		e := s.engines[a.GetTarget()[1]-'0']
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
func (s *simulation) checkModels() {
	lead := s.leader()
	var live []*wire.Announcement
	if lead != nil {
		live = lead.table.Live(lead.now())
	}
	cfg := s.oracle.configs[s.oracle.accepted]
	for _, m := range cfg.GetModels() {
		total, settled := 0, 0
		for _, e := range s.engines {
			if e.holdsModel(m.GetName()) {
				total++
				if lead != nil && s.settled(lead, e, m.GetName()) {
					settled++
				}
			}
		}
		losses, tracked := s.oracle.copyLosses[m.GetName()]
		if settled >= 2 && s.lossesDetected(live, m.GetName()) {
			s.oracle.copyLosses[m.GetName()] = 0
		} else if tracked && losses <= 1 && total == 0 {
			s.failf("model %s is resident nowhere after %d losses", m.GetName(), losses)
		}
	}
}

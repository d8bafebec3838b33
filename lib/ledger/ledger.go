// Package ledger decides which load and unload commands to send to one target
// and accounts for all memory that those commands may occupy.
//
// Everything that may be resident counts as reserved: artifacts that the engine
// reports, loads that are intended, sent or of unknown outcome, and artifacts
// whose unload the engine has not confirmed. The reservation of a command that
// may have been sent is released only after the engine has answered the command
// or has restarted. That of an earlier incarnation's command is also released
// once the engine has answered a fence and does not run the command. A load that
// was never sent keeps its reservation until its intent is closed or the engine
// has restarted.
//
// This is safe under two conditions, which the caller must meet. A command is
// sent only on a connection on which the engine has just reported the boot ID
// that the command belongs to, so that it never reaches a later boot. A load is
// recorded as an intent in the control group before it is sent.
package ledger

import (
	"cmp"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

const (
	// minBackoff and maxBackoff bound the exponential backoff before a command
	// without an answer is resent or a failed one is replaced by a new command.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// Key identifies an artifact: a version of a model, or an adapter for that
// version. Adapter is empty for the model itself.
type Key struct {
	Model, Version, Adapter string
}

// modelKey returns the key of the model that k belongs to.
func (k Key) modelKey() Key { return Key{Model: k.Model, Version: k.Version} }

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Model, o.Model), cmp.Compare(k.Version, o.Version),
		cmp.Compare(k.Adapter, o.Adapter))
}

// Artifact is an artifact's key and the memory that it occupies, in bytes.
type Artifact struct {
	Key
	Bytes uint64
}

// ArtifactFromProto converts a protobuf message to an Artifact.
func ArtifactFromProto(c *wire.Copy) Artifact {
	return Artifact{Key{c.GetModel(), c.GetVersion(), c.GetAdapter()}, c.GetBytes()}
}

// Proto converts a to its protobuf message.
func (a Artifact) Proto() *wire.Copy {
	return &wire.Copy{Model: a.Model, Version: a.Version, Adapter: a.Adapter, Bytes: a.Bytes}
}

// EngineState is the engine's state as returned by one read.
type EngineState struct {
	BootID   string
	Memory   uint64
	Fencing  bool
	Resident []Artifact
	// Commands lists the most recent commands that the engine has received
	// since it booted.
	Commands []CommandState
}

// Stamp is the position of a plan in the order of all plans.
type Stamp struct{ Term, Sequence uint64 }

// Before reports whether s is older than o.
func (s Stamp) Before(o Stamp) bool {
	return s.Term < o.Term || s.Term == o.Term && s.Sequence < o.Sequence
}

// artifactState is the state of one artifact that is resident, in use, planned or the
// subject of a command.
type artifactState struct {
	Artifact
	// resident is taken from the latest read or from a later command answer.
	resident bool
	// answeredSeq is the ledger's sequence number at the last answer about this
	// artifact. A read that began before it does not update resident.
	answeredSeq uint64
	// inUse counts running requests; an artifact in use is never unloaded.
	inUse int
	// retryAt is the earliest time for a new command after a failed one.
	retryAt time.Time
	backoff time.Duration
}

// Ledger tracks the memory of one target and the commands sent to it. It is not
// safe for concurrent use.
type Ledger struct {
	incarnation uint64
	// seq numbers reads and answers in the order in which they occur.
	seq uint64
	// pendingTicket is the ticket of the only read whose result is still accepted.
	pendingTicket uint64

	// registeredSeq is the sequence number at registration. A read that began earlier
	// may miss artifacts that the previous incarnation loaded before it closed
	// its intents.
	registeredSeq uint64
	// acceptedTicket is the ticket of the latest accepted read.
	acceptedTicket uint64

	boot    string
	memory  uint64
	fencing bool
	// fencedSeq is the sequence number at which the engine answered the fence
	// command of this incarnation in this boot; 0 until then.
	fencedSeq uint64

	artifacts map[Key]*artifactState
	// cmds holds every unanswered command by ID. All belong to boot, except
	// that intents of earlier incarnations stay until the next read.
	cmds map[string]*command
	// issued counts the commands that this incarnation has issued.
	issued uint64

	hasPlan bool
	stamp   Stamp
	// plan lists the planned artifacts in plan order, models before adapters.
	plan    []Artifact
	planned map[Key]bool

	stopped bool
	// closable lists loads whose intents can be closed in the control group.
	closable []Command
}

// New returns an empty ledger. It issues no commands until it has been
// registered, has accepted a read and has a plan.
func New() *Ledger {
	return &Ledger{
		artifacts: make(map[Key]*artifactState),
		cmds:      make(map[string]*command),
		planned:   make(map[Key]bool),
	}
}

// Register sets the incarnation of this agent and reserves memory for the open
// intents of earlier incarnations.
func (l *Ledger) Register(incarnation uint64, intents []*wire.Intent) {
	l.incarnation = incarnation
	l.seq++
	l.registeredSeq = l.seq
	for _, in := range intents {
		c := Command{
			ID: in.GetCommandId(), Token: in.GetIncarnation(), Op: OpLoad,
			Artifact: ArtifactFromProto(in.GetCopy()), BootID: bootFromID(in.GetCommandId()),
		}
		l.cmds[c.ID] = &command{Command: c, phase: phaseUnknown, maybeSent: true, inherited: true}
	}
}

// Stop makes the ledger issue no further commands. It is called when a newer
// incarnation of this target exists.
func (l *Ledger) Stop() { l.stopped = true }

// Stopped reports whether the ledger has stopped issuing commands.
func (l *Ledger) Stopped() bool { return l.stopped }

// artifact returns the state of an artifact and creates it if there is none.
func (l *Ledger) artifact(a Artifact) *artifactState {
	st, ok := l.artifacts[a.Key]
	if !ok {
		st = &artifactState{Artifact: a}
		l.artifacts[a.Key] = st
	}
	return st
}

// hasUnanswered reports whether a load or unload of k is unanswered.
func (l *Ledger) hasUnanswered(k Key) bool {
	for _, c := range l.cmds {
		if c.Op != OpFence && c.Key == k {
			return true
		}
	}
	return false
}

// hasOwnUnanswered reports whether a load or unload of k that this incarnation
// issued is unanswered.
func (l *Ledger) hasOwnUnanswered(k Key) bool {
	for _, c := range l.cmds {
		if c.Op != OpFence && c.Key == k && !c.inherited && c.phase != phaseClosing {
			return true
		}
	}
	return false
}

// Stamp returns the stamp of the current plan; zero before the first plan.
func (l *Ledger) Stamp() Stamp { return l.stamp }

// Reserved returns the total size in bytes of all artifacts that may be resident.
func (l *Ledger) Reserved() uint64 {
	size := make(map[Key]uint64)
	for k, st := range l.artifacts {
		if st.resident {
			size[k] = st.Bytes
		}
	}
	for _, c := range l.cmds {
		if c.Op != OpFence {
			size[c.Key] = max(size[c.Key], c.Bytes)
		}
	}
	var sum uint64
	for _, n := range size {
		sum += n
	}
	return sum
}

// reservedFor returns the part of Reserved that is held for k.
func (l *Ledger) reservedFor(k Key) uint64 {
	var n uint64
	if st, ok := l.artifacts[k]; ok && st.resident {
		n = st.Bytes
	}
	for _, c := range l.cmds {
		if c.Op != OpFence && c.Key == k {
			n = max(n, c.Bytes)
		}
	}
	return n
}

// Memory returns the engine's memory in bytes; 0 before the first read.
func (l *Ledger) Memory() uint64 { return l.memory }

// Boot returns the boot ID reported by the latest read.
func (l *Ledger) Boot() string { return l.boot }

// Usable reports whether new requests may use an artifact: it is resident, no
// unload of it is unanswered, and the plan, if there is one, includes it.
func (l *Ledger) Usable(k Key) bool {
	st, ok := l.artifacts[k]
	if !ok || !st.resident || l.hasPlan && !l.planned[k] {
		return false
	}
	return !l.unloading(k)
}

// PickVersion returns the version of a model that a request should use: the preferred
// version if it and the adapter are usable, otherwise the highest usable version.
// A longer version counts as higher, so that v10 follows v9. It reports false if no
// version is usable.
func (l *Ledger) PickVersion(model, version, adapter string) (string, bool) {
	best, found := "", false
	for k := range l.artifacts {
		if k.Model != model || k.Adapter != "" || !l.Usable(k) {
			continue
		}
		if adapter != "" && !l.Usable(Key{model, k.Version, adapter}) {
			continue
		}
		if k.Version == version {
			return version, true
		}
		order := cmp.Or(cmp.Compare(len(k.Version), len(best)), cmp.Compare(k.Version, best))
		if !found || order > 0 {
			best, found = k.Version, true
		}
	}
	return best, found
}

// Acquire marks a model and its adapter, if any, as used by one running request.
func (l *Ledger) Acquire(k Key) { l.addUses(k, 1) }

// Release undoes one call of Acquire.
func (l *Ledger) Release(k Key) { l.addUses(k, -1) }

func (l *Ledger) addUses(k Key, n int) {
	l.artifact(Artifact{Key: k.modelKey()}).inUse += n
	if k.Adapter != "" {
		l.artifact(Artifact{Key: k}).inUse += n
	}
}

// Resident returns the artifacts that the engine has confirmed and that no
// unanswered unload may still remove, ordered by key.
func (l *Ledger) Resident() []Artifact {
	return l.resident(false)
}

// resident returns the confirmed artifacts that have an unanswered unload if
// unloading is set, and those that have none otherwise.
func (l *Ledger) resident(unloading bool) []Artifact {
	var out []Artifact
	for _, k := range l.sortedKeys() {
		if st := l.artifacts[k]; st.resident && l.unloading(k) == unloading {
			out = append(out, st.Artifact)
		}
	}
	return out
}

// unloading reports whether an unload of k is unanswered.
func (l *Ledger) unloading(k Key) bool {
	for _, c := range l.cmds {
		if c.Op == OpUnload && c.Key == k {
			return true
		}
	}
	return false
}

// Loading returns the artifacts with a load of this incarnation in progress.
func (l *Ledger) Loading() []Artifact {
	return l.unconfirmedLoads(func(c *command) bool { return c.phase != phaseUnknown })
}

// Pinned returns the artifacts that may or may not be resident: those with a
// load of unknown outcome, and those with an unanswered unload. An unload that
// arrives late takes effect even if a newer plan keeps the artifact, so a new
// leader must not count it as a copy.
func (l *Ledger) Pinned() []Artifact {
	out := l.unconfirmedLoads(func(c *command) bool { return c.phase == phaseUnknown })
	out = append(out, l.resident(true)...)
	slices.SortFunc(out, func(a, b Artifact) int { return a.compare(b.Key) })
	return slices.CompactFunc(out, func(a, b Artifact) bool { return a.Key == b.Key })
}

func (l *Ledger) unconfirmedLoads(match func(*command) bool) []Artifact {
	var out []Artifact
	for _, c := range l.cmds {
		if st, ok := l.artifacts[c.Key]; c.Op == OpLoad && match(c) && (!ok || !st.resident) {
			out = append(out, c.Artifact)
		}
	}
	slices.SortFunc(out, func(a, b Artifact) int { return a.compare(b.Key) })
	return slices.CompactFunc(out, func(a, b Artifact) bool { return a.Key == b.Key })
}

func (l *Ledger) sortedKeys() []Key {
	out := make([]Key, 0, len(l.artifacts))
	for k := range l.artifacts {
		out = append(out, k)
	}
	slices.SortFunc(out, Key.compare)
	return out
}

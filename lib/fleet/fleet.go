// Package fleet implements the control leader's table of targets that announce
// themselves. It performs no I/O and reads no clock: callers pass in announcements and
// the time, and read the records for the entry instances.
package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bulrushpath.example/lib/wire"
)

//go:generate stringer -type=Outcome -linecomment

const (
	// Lease is how long a target stays in the table after its latest announcement.
	// Announcements may be seconds late.
	Lease = 6 * time.Second
	// tombstoneTTL is how long the record of a removed incarnation is kept, so that a
	// late announcement doesn't add it again.
	tombstoneTTL = 5 * time.Minute
	// maxUnknownLeft bounds the records of processes that have ended and never announced
	// themselves, of which anyone may send any number. The oldest are forgotten first: late
	// announcements are late by seconds.
	maxUnknownLeft = 2048
	// doubtPeriods is the number of announcement periods without an announcement after
	// which a target is doubtful. brokenDoubtPeriods applies instead if a request to the
	// target broke off after its latest announcement.
	doubtPeriods       = 2.5
	brokenDoubtPeriods = 1.25
	// warmupTime is how long a new leader collects announcements before it considers its
	// table complete.
	warmupTime = 2500 * time.Millisecond
)

// Model is a model that a target reports as resident.
type Model struct {
	Name     string
	Adapters []string
}

// Announcement is a target's periodic report about itself.
type Announcement struct {
	ID      string
	Addr    netip.AddrPort
	Zone    string
	Service string
	// Born is the start time of the target's process. It orders the incarnations.
	Born time.Time
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64
	Slots    int
	Draining bool
	Models   []Model
	// HasModels reports whether the announcement lists models; those of plain services
	// don't.
	HasModels bool
	// Digest identifies the content of the announcement without its Sequence; 0 if it is not
	// known.
	Digest uint64
}

// Outcome is the result of an announcement.
type Outcome int

// The outcomes of announcements.
const (
	// Current: the announcement is the newest one of its incarnation.
	Current Outcome = iota // current
	// Late: a newer announcement of the same incarnation arrived before.
	Late // late
	// Superseded: a newer incarnation has the same id or address.
	Superseded // superseded
	// Left: the incarnation had already left, or another target has its address.
	Left // left
	// Contradictory: earlier announcements of the same process named another address, zone or
	// service, or listed models.
	Contradictory // contradictory
	// Undeclared: the configuration does not declare the service, or not as one without models,
	// and a target of a declared service has the id or the address.
	Undeclared // undeclared
)

// target is the record of one incarnation.
type target struct {
	Announcement
	// heardAt is the time of the latest announcement, or of the removal.
	heardAt time.Time
	// brokeAt is the time of the latest call of RecordBrokenRequest.
	brokeAt time.Time
	// changeVersion is the table version of the latest change of the record.
	changeVersion uint64
	// cachedRecord is the record for entry instances as of cachedVersion; nil if it has to
	// be built anew each time because it contains a remaining load time.
	cachedRecord  *wire.FleetTarget
	cachedVersion uint64
	// removed reports whether the target gets no more work. left is set if the target
	// announced its end: this incarnation then never returns.
	removed, left bool
	// displacedBy is the id of the target that took over the address; empty if there is none.
	displacedBy string
	// earlier is the record of the incarnation before this one; nil if there is none, or if it
	// had left. It has no earlier record itself.
	earlier *target
}

// Table holds the targets known in one term of a leader. It is not safe for concurrent
// use.
type Table struct {
	term uint64
	// startedAt is the start of the term.
	startedAt time.Time
	version   uint64
	// leavingVersion is the version of the latest change by which a target gets no more work.
	leavingVersion uint64
	targets        map[string]*target
	// changes holds the records in the order of their changes, so that a reply costs what it
	// contains and not what the table contains. An entry is outdated if the record has changed
	// again or was deleted.
	changes []change
	// live is the result of Live as of the version liveVersion.
	live        []Announcement
	liveVersion uint64
	// models returns the models of a target for entry instances; see NewTable.
	models func(id string, held []Model) (list []*wire.FleetModel, ordered bool)
	// declared is described at WithDeclared.
	declared func(service string) (declared, engine bool)
}

// Option changes a Table.
type Option func(*Table)

// WithDeclared sets the function that reports whether the configuration declares a service, and
// whether its targets are engines, which list their models. By default, or while there is no
// configuration, all services count as declared.
func WithDeclared(fn func(service string) (declared, engine bool)) Option {
	return func(t *Table) { t.declared = fn }
}

// change is one change of a record.
type change struct {
	version uint64
	target  *target
}

// maxOutdatedShare is the number of entries in Table.changes for each record from which on the
// outdated ones are removed, and minOutdated a number that is always kept.
const (
	maxOutdatedShare = 2
	minOutdated      = 1024
)

// NewTable returns an empty table for a leader's term. models returns the models of a
// target as reported to entry instances, with the effects of the leader's orders. ordered
// reports whether a load or unload of a model is planned or in progress at the target.
func NewTable(
	now time.Time, term uint64, models func(id string, held []Model) (list []*wire.FleetModel, ordered bool), opts ...Option,
) *Table {
	t := &Table{
		term: term, startedAt: now, targets: make(map[string]*target), models: models,
		declared: func(string) (declared, engine bool) { return true, false },
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Version returns the term and the current version of the table.
func (t *Table) Version() (term, version uint64) { return t.term, t.version }

// LeavingVersion returns the table version of the latest change of a target that gets no more
// work.
func (t *Table) LeavingVersion() uint64 { return t.leavingVersion }

// ChangeVersion returns the table version of the latest change of a target; 0 if the table
// has no record of it.
func (t *Table) ChangeVersion(id string) uint64 {
	if x := t.targets[id]; x != nil {
		return x.changeVersion
	}
	return 0
}

// Warm reports whether every live target has had time to announce itself to this leader.
func (t *Table) Warm(now time.Time) bool { return now.Sub(t.startedAt) >= warmupTime }

// Announce applies an announcement. changed reports whether entry instances must be told
// of it.
//
// Other writers may announce anything. What a restart, or a target that takes over the address
// of an ended one, would announce as well is believed at first; the target that it displaces
// returns with its next announcement once the other has been silent for a lease. Anything else
// changes no record but its own.
func (t *Table) Announce(now time.Time, a Announcement) (outcome Outcome, changed bool) {
	old := t.targets[a.ID]
	fits := t.fits(a)
	if old != nil && old.Born.Equal(a.Born) {
		return t.announceAgain(now, old, a)
	}
	if old != nil && !fits && (old.left || t.isDeclared(old)) {
		return Undeclared, false
	}
	x := &target{Announcement: a, heardAt: now}
	if old != nil && old.Born.After(a.Born) && (old.left || !fits || t.isDeclared(old)) {
		if !old.isFollowedBy(a) {
			return Superseded, false
		}
		if old.earlier.isLate(a.Sequence) {
			return Late, false
		}
	} else if old != nil && !old.left {
		x.earlier = old
		old.earlier = nil
	}
	if outcome := t.takeAddress(now, a, fits); outcome != Current {
		return outcome, false
	}
	t.targets[a.ID] = x
	t.recordChange(x)
	return Current, true
}

// announceAgain applies an announcement of the incarnation that the table has under this id.
func (t *Table) announceAgain(now time.Time, old *target, a Announcement) (outcome Outcome, changed bool) {
	switch {
	case old.left || t.isDisplaced(old):
		return Left, false
	case !old.removed && old.contradicts(a):
		return Contradictory, false
	case old.isLate(a.Sequence):
		return Late, false
	case !old.removed:
		return Current, t.update(now, old, a)
	}
	// Its lease had expired, and entry instances were told that it is gone. Another target may
	// have its address by now.
	if outcome := t.takeAddress(now, a, t.fits(a)); outcome != Current {
		return outcome, false
	}
	old.removed, old.displacedBy = false, ""
	t.recordChange(old)
	t.update(now, old, a)
	return Current, true
}

// takeAddress removes the target that has had the address of a until now. It returns an outcome
// other than Current, and changes nothing, if that target keeps the address. fits is that of a.
func (t *Table) takeAddress(now time.Time, a Announcement, fits bool) Outcome {
	for _, other := range t.targets {
		if other.ID == a.ID || other.removed || other.Addr != a.Addr {
			continue
		}
		declared := t.isDeclared(other)
		switch {
		case !fits && declared:
			return Undeclared
		case !other.Born.Before(a.Born) && (declared || !fits):
			return Superseded // Of two that started at once, the one that was first to announce itself stays.
		}
		t.remove(now, other)
		other.displacedBy = a.ID
		return Current // No two targets of the table have the same address.
	}
	return Current
}

// fits reports whether a may be an announcement of a target of a declared service.
func (t *Table) fits(a Announcement) bool {
	declared, engine := t.declared(a.Service)
	return declared && (a.HasModels || !engine)
}

// isDeclared reports whether the service of x is declared.
func (t *Table) isDeclared(x *target) bool {
	declared, _ := t.declared(x.Service)
	return declared
}

// isDisplaced reports whether another target has the address of x, or has had it and left.
func (t *Table) isDisplaced(x *target) bool {
	other := t.targets[x.displacedBy]
	return other != nil && (!other.removed || other.left)
}

// contradicts reports whether a cannot be an announcement of the process of t. Models may be
// missing in t because it is a record of the roster.
func (t *target) contradicts(a Announcement) bool {
	return t.Addr != a.Addr || t.Zone != a.Zone || t.Service != a.Service || t.HasModels && !a.HasModels
}

// isFollowedBy reports whether a continues the incarnation before t although t is a later one:
// t has been silent for a lease, so that it was probably never a process of this target.
func (t *target) isFollowedBy(a Announcement) bool {
	return t.removed && !t.left && t.displacedBy == "" && t.earlier != nil && t.earlier.displacedBy == "" &&
		t.earlier.Born.Equal(a.Born) && !t.earlier.Draining && !t.earlier.contradicts(a)
}

// update applies a newer announcement of a known incarnation and reports whether the
// record changed.
func (t *Table) update(now time.Time, old *target, a Announcement) bool {
	a.Draining = a.Draining || old.Draining
	same := old.Addr == a.Addr && old.Zone == a.Zone && old.Service == a.Service &&
		old.Slots == a.Slots && old.Draining == a.Draining && slices.EqualFunc(old.Models, a.Models, sameModel)
	// Announcements that another instance passed on may arrive in another order.
	if now.Before(old.heardAt) {
		now = old.heardAt
	}
	old.Announcement, old.heardAt = a, now
	if same {
		return false
	}
	t.recordChange(old)
	return true
}

func sameModel(a, b Model) bool { return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters) }

// Leave records that the process of a target that started at born has announced its end: it still
// serves for a while but gets no new work. Its announcements may arrive only afterwards, so the
// end of a process that the table does not know is recorded too. A zero born stands for the
// process that the table knows, or else for all that have started by now.
func (t *Table) Leave(now time.Time, id string, born time.Time) (changed bool) {
	old := t.targets[id]
	switch {
	case old == nil && born.IsZero():
		t.RecordLeft(now, id, time.UnixMilli(now.UnixMilli()))
		return true
	case old == nil || old.Born.Before(born):
		t.RecordLeft(now, id, born)
		return true
	case old.left, !born.IsZero() && old.Born.After(born):
		return false
	}
	known := !old.removed
	t.remove(now, old)
	old.left = true
	return known
}

// RecordLeft records the end of a process that the table does not know, so that a late
// announcement doesn't add it. The end of an earlier process of the target follows from it.
func (t *Table) RecordLeft(now time.Time, id string, born time.Time) {
	delete(t.targets, id)
	t.forgetOldestLeft()
	t.targets[id] = &target{Announcement: Announcement{ID: id, Born: born}, heardAt: now, removed: true, left: true}
	t.recordChange(t.targets[id])
}

// forgetOldestLeft makes room for one more record of RecordLeft if there are maxUnknownLeft.
func (t *Table) forgetOldestLeft() {
	n := 0
	var oldest *target
	for _, x := range t.targets {
		if !x.left || x.Addr.IsValid() {
			continue
		}
		n++
		if oldest == nil || x.heardAt.Before(oldest.heardAt) {
			oldest = x
		}
	}
	if n >= maxUnknownLeft {
		delete(t.targets, oldest.ID)
	}
}

// SequenceAfter returns the smallest sequence number of an announcement that the process has certainly
// sent later than now, if it sends one per period and its latest one was at most Lease late; 0 if the table
// has heard nothing of the process.
func (t *Table) SequenceAfter(now time.Time, id string, born time.Time, period time.Duration) uint64 {
	x := t.targets[id]
	if x == nil || !x.Born.Equal(born) || x.Sequence == 0 {
		return 0
	}
	return x.Sequence + uint64((now.Sub(x.heardAt)+Lease)/period) + 2
}

// RecordBrokenRequest records that the connection to a target broke before its response
// was complete, as when its process crashes. Until its next announcement, the target then
// becomes doubtful sooner; see Doubtful.
func (t *Table) RecordBrokenRequest(now time.Time, id string) {
	if x := t.targets[id]; x != nil {
		x.brokeAt = now
	}
}

// Doubtful returns the targets that are probably gone although their lease has not
// expired: they have missed announcements, which they send once per period. It returns
// none if that is true of most targets, because the leader itself may be cut off then,
// and none before the table is warm.
func (t *Table) Doubtful(now time.Time, period time.Duration) map[string]bool {
	if !t.Warm(now) {
		return nil
	}
	out := make(map[string]bool)
	live := 0
	for id, x := range t.targets {
		if x.removed {
			continue
		}
		live++
		silent := float64(now.Sub(x.heardAt)) / float64(period)
		if silent > doubtPeriods || silent > brokenDoubtPeriods && x.brokeAt.After(x.heardAt) {
			out[id] = true
		}
	}
	if 2*len(out) > live {
		return nil
	}
	return out
}

// MarkChanged marks the record of a target as changed. It is called after its models
// changed.
func (t *Table) MarkChanged(id string) {
	if old := t.targets[id]; old != nil {
		t.recordChange(old)
	}
}

// Expire removes targets whose lease has expired and returns their ids. It also deletes
// the records of targets that were removed longer than tombstoneTTL ago.
func (t *Table) Expire(now time.Time) []string {
	var out []string
	for id, x := range t.targets {
		switch {
		case x.removed && now.Sub(x.heardAt) > tombstoneTTL:
			delete(t.targets, id)
		case !x.removed && now.Sub(x.heardAt) > Lease:
			t.remove(now, x)
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// remove marks the target as removed but keeps its record.
func (t *Table) remove(now time.Time, x *target) {
	x.removed, x.heardAt = true, now
	t.recordChange(x)
}

// recordChange increments the table version and marks the record as changed.
func (t *Table) recordChange(x *target) {
	t.version++
	x.changeVersion = t.version
	if x.removed || x.Draining {
		t.leavingVersion = t.version
	}
	t.changes = append(t.changes, change{t.version, x})
	if len(t.changes) > maxOutdatedShare*len(t.targets)+minOutdated {
		t.changes = slices.DeleteFunc(t.changes, func(c change) bool { return !t.isLatest(c) })
	}
}

// isLatest reports whether c is the latest change of a record of the table.
func (t *Table) isLatest(c change) bool {
	return c.target.changeVersion == c.version && t.targets[c.target.ID] == c.target
}

// Since returns the records that changed after the given version, in the order of their
// changes, at most limit of them. upTo is the version up to which they are complete. If
// the caller's table is of another term, or its version is ahead of this table's, whole is
// true: the records are then the first of the complete table, without removed targets, and
// the caller continues from upTo to get the rest.
func (t *Table) Since(term, version uint64, limit int) (records []*wire.FleetTarget, upTo uint64, whole bool) {
	whole = term != t.term || version > t.version
	if whole {
		version = 0
	}
	first, _ := slices.BinarySearchFunc(t.changes, version, func(c change, v uint64) int { return cmp.Compare(c.version, v+1) })
	var changed []*target
	upTo = t.version
	for _, c := range t.changes[first:] {
		x := c.target
		if !t.isLatest(c) || whole && x.removed {
			continue
		}
		if len(changed) == limit {
			upTo = changed[limit-1].changeVersion
			break
		}
		changed = append(changed, x)
	}
	for _, x := range changed {
		records = append(records, t.record(x))
	}
	return records, upTo, whole
}

// record returns the record of the target for entry instances, cached if possible.
func (t *Table) record(x *target) *wire.FleetTarget {
	if x.cachedRecord != nil && x.cachedVersion == x.changeVersion {
		return x.cachedRecord
	}
	r := t.buildRecord(x)
	x.cachedRecord, x.cachedVersion = r, x.changeVersion
	for _, m := range r.GetModels() {
		if m.GetLoadingMicros() > 0 {
			x.cachedRecord = nil
		}
	}
	return r
}

func (t *Table) buildRecord(x *target) *wire.FleetTarget {
	r := &wire.FleetTarget{
		Id: x.ID, Address: x.Addr.String(), Zone: x.Zone, Service: x.Service,
		Phase: wire.Phase_PHASE_READY, BornMillis: x.Born.UnixMilli(), Slots: uint32(x.Slots),
		Removed: x.removed,
	}
	if x.Draining {
		r.Phase = wire.Phase_PHASE_LEAVING
	}
	if !x.removed && x.HasModels {
		r.Models, r.Ordered = t.models(x.ID, x.Models)
	}
	return r
}

// Live returns the announcements of the targets that are neither removed nor draining, sorted by
// id. Their Sequence may be that of an earlier announcement with the same content. The caller
// must not modify the list.
func (t *Table) Live() []Announcement {
	if t.liveVersion == t.version {
		return t.live
	}
	var out []Announcement
	for _, x := range t.targets {
		if !x.removed && !x.Draining {
			out = append(out, x.Announcement)
		}
	}
	slices.SortFunc(out, func(a, b Announcement) int { return strings.Compare(a.ID, b.ID) })
	t.live, t.liveVersion = out, t.version
	return out
}

// Leaving returns the latest announcements of the targets that drain or have announced their
// end, as long as their records are kept, sorted by id.
func (t *Table) Leaving() []Announcement {
	var out []Announcement
	for _, x := range t.targets {
		if x.left || x.Draining {
			out = append(out, x.Announcement)
		}
	}
	slices.SortFunc(out, func(a, b Announcement) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Has reports whether the table has a target that was not removed.
func (t *Table) Has(id string) bool {
	x := t.targets[id]
	return x != nil && !x.removed
}

// Lookup returns the latest announcement of a target that was not removed.
func (t *Table) Lookup(id string) (Announcement, bool) {
	x := t.targets[id]
	if x == nil || x.removed {
		return Announcement{}, false
	}
	return x.Announcement, true
}

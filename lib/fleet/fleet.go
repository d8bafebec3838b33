// Package fleet keeps the control leader's table of targets that announce
// themselves. It is pure: announcements and the time go in, records for the
// entry instances come out.
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
	// Lease is how long a target stays in the table after its last announcement.
	// Announcements may be seconds late.
	Lease = 6 * time.Second
	// tombstone is how long a removed incarnation is remembered, so that a late
	// announcement does not bring it back.
	tombstone = 5 * time.Minute
	// silentPeriods is the number of announcement periods without a word after which a
	// target is doubtful, brokenPeriods that for one which broke off requests.
	silentPeriods = 2.5
	brokenPeriods = 1.25
	// warmAfter is how long a new leader collects announcements before it knows
	// which targets exist.
	warmAfter = 2500 * time.Millisecond
)

// Model is a model that a target says it holds.
type Model struct {
	Name     string
	Adapters []string
}

// Announcement is what a target says about itself.
type Announcement struct {
	ID      string
	Addr    netip.AddrPort
	Zone    string
	Service string
	// Born is the start of the target's process; it orders incarnations.
	Born time.Time
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64
	Slots    int
	Draining bool
	Models   []Model
	// HasModels says that the announcement lists models; the plain services do not.
	HasModels bool
}

// Outcome says what became of an announcement.
type Outcome int

// Outcomes of announcements.
const (
	// Current: the announcement is the newest of its incarnation.
	Current Outcome = iota // current
	// Late: a newer announcement of the same incarnation was there before.
	Late // late
	// Superseded: a newer incarnation has its id or its address.
	Superseded // superseded
	// Left: the incarnation has left before.
	Left // left
)

// target is one incarnation.
type target struct {
	Announcement
	heard time.Time
	// broke is when an entry instance last saw it break off a request.
	broke time.Time
	// serial is the table version of the last change of the record.
	serial uint64
	// cached is the record as of serial cachedAt; nil if it changes with time.
	cached   *wire.FleetTarget
	cachedAt uint64
	// removed says that the target takes no work; left that it said so itself or
	// lost its address, and does not come back.
	removed, left bool
}

// Table holds the targets of one term. It is not safe for concurrent use.
type Table struct {
	term    uint64
	since   time.Time
	version uint64
	targets map[string]*target
	// models adds what the leader's own orders have under way to a record.
	models func(id string, held []Model) (list []*wire.FleetModel, ordered bool)
}

// New returns the empty table of a leader's term. models returns the models of a
// target as entry instances should see them, and whether a model order is under way.
func New(now time.Time, term uint64, models func(id string, held []Model) (list []*wire.FleetModel, ordered bool)) *Table {
	return &Table{term: term, since: now, targets: make(map[string]*target), models: models}
}

// Version returns the term and the version of the table.
func (t *Table) Version() (term, version uint64) { return t.term, t.version }

// Warm says whether every live target had time to announce itself to this leader.
func (t *Table) Warm(now time.Time) bool { return now.Sub(t.since) >= warmAfter }

// Announce takes an announcement. changed says that entry instances must hear of it.
func (t *Table) Announce(now time.Time, a Announcement) (outcome Outcome, changed bool) {
	old := t.targets[a.ID]
	switch {
	case old == nil:
	case old.Born.After(a.Born):
		return Superseded, false
	case old.Born.Equal(a.Born):
		if old.left {
			return Left, false
		}
		if a.Sequence <= old.Sequence {
			return Late, false
		}
		if old.removed {
			// Its lease had run out; entry instances were told that it is gone.
			old.removed, old.serial = false, t.next()
			t.refresh(now, old, a)
			return Current, true
		}
		return Current, t.refresh(now, old, a)
	}
	for _, other := range t.targets {
		if other.ID != a.ID && !other.removed && other.Addr == a.Addr {
			if other.Born.After(a.Born) {
				return Superseded, false
			}
			t.remove(now, other)
			other.left = true
		}
	}
	t.targets[a.ID] = &target{Announcement: a, heard: now, serial: t.next()}
	return Current, true
}

// refresh takes a newer announcement of a known incarnation.
func (t *Table) refresh(now time.Time, old *target, a Announcement) bool {
	a.Draining = a.Draining || old.Draining
	same := old.Addr == a.Addr && old.Zone == a.Zone && old.Service == a.Service &&
		old.Slots == a.Slots && old.Draining == a.Draining && slices.EqualFunc(old.Models, a.Models, sameModel)
	old.Announcement, old.heard = a, now
	if same {
		return false
	}
	old.serial = t.next()
	return true
}

func sameModel(a, b Model) bool { return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters) }

// Leave notes that a target sends no more announcements. It serves for a while,
// but takes no new work.
func (t *Table) Leave(now time.Time, id string) (changed bool) {
	old := t.targets[id]
	if old == nil || old.left {
		return false
	}
	known := !old.removed
	t.remove(now, old)
	old.left = true
	return known
}

// Broke notes that a target broke off a request as a process that ends does.
func (t *Table) Broke(now time.Time, id string) {
	if x := t.targets[id]; x != nil {
		x.broke = now
	}
}

// Doubtful returns the targets that are probably gone, though their lease has not
// run out: they have missed announcements, which come once in each period. It returns
// none if that holds for most targets, since the leader itself may be cut off then,
// and none while the table is not warm.
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
		silent := float64(now.Sub(x.heard)) / float64(period)
		if silent > silentPeriods || silent > brokenPeriods && x.broke.After(x.heard) {
			out[id] = true
		}
	}
	if 2*len(out) > live {
		return nil
	}
	return out
}

// Touch marks the record of a target as changed, after its models have changed.
func (t *Table) Touch(id string) {
	if old := t.targets[id]; old != nil {
		old.serial = t.next()
	}
}

// Expire removes targets whose lease has run out and returns their ids.
func (t *Table) Expire(now time.Time) []string {
	var out []string
	for id, x := range t.targets {
		switch {
		case x.removed && now.Sub(x.heard) > tombstone:
			delete(t.targets, id)
		case !x.removed && now.Sub(x.heard) > Lease:
			t.remove(now, x)
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (t *Table) remove(now time.Time, x *target) {
	x.removed, x.heard, x.serial = true, now, t.next()
}

func (t *Table) next() uint64 {
	t.version++
	return t.version
}

// Since returns the records that changed after version of term, or the whole
// table if the caller holds another term's: the first limit of them in the order of
// their changes, and the version up to which they are complete.
func (t *Table) Since(term, version uint64, limit int) (records []*wire.FleetTarget, upTo uint64, whole bool) {
	whole = term != t.term || version > t.version
	if whole {
		version = 0
	}
	var changed []*target
	for _, x := range t.targets {
		if x.serial > version && (!whole || !x.removed) {
			changed = append(changed, x)
		}
	}
	slices.SortFunc(changed, func(a, b *target) int { return cmp.Compare(a.serial, b.serial) })
	upTo = t.version
	if len(changed) > limit {
		changed = changed[:limit]
		upTo = changed[limit-1].serial
	}
	for _, x := range changed {
		records = append(records, t.record(x))
	}
	return records, upTo, whole
}

func (t *Table) record(x *target) *wire.FleetTarget {
	if x.cached != nil && x.cachedAt == x.serial {
		return x.cached
	}
	r := t.build(x)
	x.cached, x.cachedAt = r, x.serial
	for _, m := range r.GetModels() {
		if m.GetLoadingMicros() > 0 {
			x.cached = nil
		}
	}
	return r
}

func (t *Table) build(x *target) *wire.FleetTarget {
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

// Live returns the announcements of the targets that are neither gone nor
// draining, ordered by id.
func (t *Table) Live() []Announcement {
	var out []Announcement
	for _, x := range t.targets {
		if !x.removed && !x.Draining {
			out = append(out, x.Announcement)
		}
	}
	slices.SortFunc(out, func(a, b Announcement) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Lookup returns the announcement of a target that has not left.
func (t *Table) Lookup(id string) (Announcement, bool) {
	x := t.targets[id]
	if x == nil || x.removed {
		return Announcement{}, false
	}
	return x.Announcement, true
}

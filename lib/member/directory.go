package member

import (
	"slices"

	"bulrushpath.example/lib/wire"
)

// Directory is a full or incremental copy of the directory for an entry instance.
type Directory struct {
	Term, Version uint64
	// Whole is set if Targets is the full directory rather than a list of changes.
	Whole bool
	// Targets holds shared records that the caller must not modify.
	Targets []*wire.TargetRecord
}

// Version returns the term and the version of the directory.
func (t *Table) Version() (term, version uint64) { return t.term, t.version }

// Size returns the number of targets in the directory.
func (t *Table) Size() int { return t.size }

// Since returns the changes after (term, version), or the full directory if those are
// not known.
func (t *Table) Since(term, version uint64) Directory {
	d := Directory{Term: t.term, Version: t.version}
	if term != t.term || version > t.version || version < t.purged || version == 0 {
		d.Whole = true
		d.Targets = make([]*wire.TargetRecord, 0, t.size)
		for row := t.changed.first; row != nil; row = row.next {
			if !row.record.GetRemoved() {
				d.Targets = append(d.Targets, row.record)
			}
		}
		return d
	}
	for row := t.changed.last; row != nil && row.version > version; row = row.prev {
		d.Targets = append(d.Targets, row.record)
	}
	slices.Reverse(d.Targets)
	return d
}

// publish updates the directory record of a row and reports whether it changed.
func (t *Table) publish(row *target) bool {
	listed := row.announced != nil && row.phase != wire.Phase_PHASE_LEAVING
	was := row.record != nil && !row.record.GetRemoved()
	switch {
	case !listed && row.record.GetRemoved():
		return false
	case !listed:
		// A target that leaves before it was listed gets a tombstone too, which keeps
		// out an earlier announcement that arrives late.
		row.record = &wire.TargetRecord{Target: row.name, Removed: true}
		t.tombstones++
		if was {
			t.size--
		}
	case was && row.same():
		return false
	default:
		if !was {
			t.size++
			if row.record != nil {
				t.tombstones--
			}
		}
		row.record = row.build()
	}
	t.version++
	if row.version > 0 {
		t.changed.remove(row)
	}
	row.version = t.version
	t.changed.append(row)
	return true
}

func (row *target) build() *wire.TargetRecord {
	a := row.announced
	return &wire.TargetRecord{
		Target:      row.name,
		Address:     a.GetAddress(),
		Zone:        a.GetZone(),
		Team:        a.GetTeam(),
		Kind:        a.GetKind(),
		Service:     a.GetService(),
		Phase:       row.phase,
		Incarnation: row.incarnation,
		Resident:    a.GetResident(),
		Slots:       a.GetLoad().GetSlots(),
	}
}

// same reports whether the record is up to date. It does not build a new record to
// compare with, because most announcements change nothing.
func (row *target) same() bool {
	r, a := row.record, row.announced
	return r.GetPhase() == row.phase && r.GetIncarnation() == row.incarnation &&
		r.GetAddress() == a.GetAddress() && r.GetZone() == a.GetZone() && r.GetTeam() == a.GetTeam() &&
		r.GetKind() == a.GetKind() && r.GetService() == a.GetService() &&
		r.GetSlots() == a.GetLoad().GetSlots() &&
		slices.EqualFunc(r.GetResident(), a.GetResident(), func(x, y *wire.Copy) bool {
			return x.GetModel() == y.GetModel() && x.GetVersion() == y.GetVersion() &&
				x.GetAdapter() == y.GetAdapter() && x.GetBytes() == y.GetBytes()
		})
}

// purge deletes the oldest tombstones in excess of maxTombstones.
func (t *Table) purge() {
	for row := t.changed.first; row != nil && t.tombstones > maxTombstones; {
		next := row.next
		if row.record.GetRemoved() && row.announced == nil {
			t.changed.remove(row)
			delete(t.targets, row.name)
			t.purged = max(t.purged, row.version)
			t.tombstones--
		}
		row = next
	}
}

// list is an intrusive doubly linked list of rows; moving a row does not allocate.
type list struct{ first, last *target }

func (l *list) append(row *target) {
	row.prev, row.next = l.last, nil
	if l.last == nil {
		l.first = row
	} else {
		l.last.next = row
	}
	l.last = row
}

func (l *list) remove(row *target) {
	if row.prev == nil {
		l.first = row.next
	} else {
		row.prev.next = row.next
	}
	if row.next == nil {
		l.last = row.prev
	} else {
		row.next.prev = row.prev
	}
	row.prev, row.next = nil, nil
}

package member

import (
	"slices"

	"bulrushpath.example/lib/wire"
)

// Directory is a full or incremental copy of the directory for an entry instance.
type Directory struct {
	Term, Version uint64
	// Full is set if Targets is the full directory rather than a list of changes.
	Full bool
	// Targets holds shared records that the caller must not modify.
	Targets []*wire.TargetRecord
}

// Version returns the term and the version of the directory.
func (t *Table) Version() (term, version uint64) { return t.term, t.version }

// Size returns the number of targets in the directory.
func (t *Table) Size() int { return t.directorySize }

// ChangesSince returns the changes after (term, version), or the full directory if
// those are not known.
func (t *Table) ChangesSince(term, version uint64) Directory {
	d := Directory{Term: t.term, Version: t.version}
	if term != t.term || version > t.version || version < t.purgedVersion || version == 0 {
		d.Full = true
		d.Targets = make([]*wire.TargetRecord, 0, t.directorySize)
		for row := t.byVersion.first; row != nil; row = row.next {
			if !row.record.GetRemoved() {
				d.Targets = append(d.Targets, row.record)
			}
		}
		return d
	}
	for row := t.byVersion.last; row != nil && row.version > version; row = row.prev {
		d.Targets = append(d.Targets, row.record)
	}
	slices.Reverse(d.Targets)
	return d
}

// publish updates the directory record of a row and reports whether it changed.
func (t *Table) publish(row *targetRow) bool {
	listed := row.announced != nil && row.phase != wire.Phase_PHASE_LEAVING
	wasListed := row.record != nil && !row.record.GetRemoved()
	switch {
	case !listed && row.record.GetRemoved():
		return false
	case !listed:
		// A target that leaves before it was listed gets a tombstone too, which keeps
		// out an earlier announcement that arrives late.
		row.record = &wire.TargetRecord{Target: row.name, Removed: true}
		t.tombstones++
		if wasListed {
			t.directorySize--
		}
	case wasListed && row.recordUpToDate():
		return false
	default:
		if !wasListed {
			t.directorySize++
			if row.record != nil {
				t.tombstones--
			}
		}
		row.record = row.newRecord()
	}
	t.version++
	if row.version > 0 {
		t.byVersion.remove(row)
	}
	row.version = t.version
	t.byVersion.append(row)
	return true
}

func (row *targetRow) newRecord() *wire.TargetRecord {
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

// recordUpToDate reports whether the record is up to date. It does not build a new
// record to compare with, because most announcements change nothing.
func (row *targetRow) recordUpToDate() bool {
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

// purgeTombstones deletes the oldest tombstones in excess of maxTombstones.
func (t *Table) purgeTombstones() {
	for row := t.byVersion.first; row != nil && t.tombstones > maxTombstones; {
		next := row.next
		if row.record.GetRemoved() && row.announced == nil {
			t.byVersion.remove(row)
			delete(t.targets, row.name)
			t.purgedVersion = max(t.purgedVersion, row.version)
			t.tombstones--
		}
		row = next
	}
}

// rowList is an intrusive doubly linked list of rows; moving a row does not allocate.
type rowList struct{ first, last *targetRow }

func (l *rowList) append(row *targetRow) {
	row.prev, row.next = l.last, nil
	if l.last == nil {
		l.first = row
	} else {
		l.last.next = row
	}
	l.last = row
}

func (l *rowList) remove(row *targetRow) {
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

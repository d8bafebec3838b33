package member

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// targetRow is a row of the table: the last announcement of a target and its
// directory record.
type targetRow struct {
	name string
	// announced is the last announcement; nil if the row is only a tombstone.
	announced *wire.Announcement
	seen      time.Time
	// phase is the announced phase, PHASE_LEAVING after Leave, or PHASE_DOWN once the
	// lease of a target that is not leaving has expired.
	phase wire.Phase
	// incarnation is the highest incarnation announced.
	incarnation uint64
	// record is shared with replies and must not be modified. It is marked as removed
	// while the target is not in the directory.
	record  *wire.TargetRecord
	version uint64
	prev    *targetRow
	next    *targetRow
}

// Change describes the effect of an announcement.
type Change struct {
	// Superseded is set if a newer incarnation of the target has announced itself.
	Superseded bool
	// DirectoryChanged is set if the target's directory record changed.
	DirectoryChanged bool
	// From and To are the phases before and after.
	From, To wire.Phase
}

// Announce applies an announcement. Announcements may arrive out of order, so a target
// that announced that it is leaving stays out of the directory until a newer
// incarnation announces itself.
func (t *Table) Announce(now time.Time, a *wire.Announcement) Change {
	row, ok := t.targets[a.GetTarget()]
	if !ok {
		row = &targetRow{name: a.GetTarget()}
		t.targets[row.name] = row
	}
	c := Change{From: row.phase, To: row.phase}
	if a.GetIncarnation() < row.incarnation {
		c.Superseded = true
		return c
	}
	if row.outdated(a) {
		return c
	}
	row.announced, row.seen = a, now
	row.incarnation, row.phase = a.GetIncarnation(), a.GetPhase()
	c.To = row.phase
	c.DirectoryChanged = t.publish(row)
	return c
}

// outdated reports whether a, by its phase or plan acknowledgement, was sent before an
// announcement of the same incarnation that was already applied. Without an
// incarnation no announcement counts as outdated.
func (row *targetRow) outdated(a *wire.Announcement) bool {
	if a.GetIncarnation() != row.incarnation || row.incarnation == 0 {
		return false
	}
	if row.phase == wire.Phase_PHASE_LEAVING && a.GetPhase() != wire.Phase_PHASE_LEAVING {
		return true
	}
	return row.announced != nil && CompareStamps(a.GetPlanAck(), row.announced.GetPlanAck()) < 0
}

// CompareStamps compares two stamps by term, then by sequence. A nil stamp is the
// lowest.
func CompareStamps(a, b *wire.Stamp) int {
	return cmp.Or(cmp.Compare(a.GetTerm(), b.GetTerm()), cmp.Compare(a.GetSequence(), b.GetSequence()))
}

// Leave applies the last message of a target that is shutting down. It reports whether
// the directory changed. A target that this table does not know is recorded too, because an
// earlier announcement may arrive later.
func (t *Table) Leave(name string, incarnation uint64) bool {
	delete(t.processes, processKey{wire.Role_ROLE_AGENT, name})
	row, ok := t.targets[name]
	switch {
	case !ok && incarnation == 0:
		return false // No announcement could be told to be earlier.
	case !ok:
		row = &targetRow{name: name}
		t.targets[name] = row
	case incarnation < row.incarnation:
		return false
	}
	row.incarnation, row.phase, row.announced = incarnation, wire.Phase_PHASE_LEAVING, nil
	return t.publish(row)
}

// expireLease applies the expiry of the lease and, after Retention, removes the target
// from the directory. It reports whether the target went down.
func (t *Table) expireLease(row *targetRow, now time.Time) bool {
	age := now.Sub(row.seen)
	switch {
	case row.announced == nil || age < Lease:
		return false
	case age >= Retention:
		row.announced = nil
		t.publish(row)
		return false
	case row.phase == wire.Phase_PHASE_LEAVING || row.phase == wire.Phase_PHASE_DOWN:
		return false
	}
	row.phase = wire.Phase_PHASE_DOWN
	t.publish(row)
	return true
}

// Live returns the last announcements of all targets with a valid lease, including
// those that are leaving, ordered by name. The caller must not modify them.
func (t *Table) Live(now time.Time) []*wire.Announcement {
	out := make([]*wire.Announcement, 0, len(t.targets))
	for _, row := range t.targets {
		if row.announced != nil && now.Sub(row.seen) < Lease {
			out = append(out, row.announced)
		}
	}
	slices.SortFunc(out, func(a, b *wire.Announcement) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

// All returns the last announcements within Retention, ordered by name, with PHASE_DOWN
// where the lease has expired, except for targets that are leaving.
func (t *Table) All() []*wire.Announcement {
	out := make([]*wire.Announcement, 0, len(t.targets))
	for _, row := range t.targets {
		if row.announced == nil {
			continue
		}
		a := row.announced
		if a.GetPhase() != row.phase {
			a = proto.CloneOf(a)
			a.Phase = row.phase
		}
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *wire.Announcement) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

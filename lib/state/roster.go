package state

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"bulrushpath.example/lib/wire"
)

// maxRosterTargets is the maximum number of targets in the list.
const maxRosterTargets = 20_000

// rosterTable is the durable list of targets. After the loss of all instances, a
// new leader finds the targets in it before they have announced themselves again.
type rosterTable struct {
	targets map[string]*wire.FleetTarget
}

// Roster returns the listed targets, ordered by ID. The caller must not modify them.
func (m *Machine) Roster() []*wire.FleetTarget {
	out := make([]*wire.FleetTarget, 0, len(m.roster.targets))
	for _, t := range m.roster.targets {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *wire.FleetTarget) int { return strings.Compare(a.GetId(), b.GetId()) })
	return out
}

// RosterTargets returns the listed targets by ID. The caller must not modify the map or the
// targets, and must not use the map after the next command. A change of a target replaces its record.
func (m *Machine) RosterTargets() map[string]*wire.FleetTarget { return m.roster.targets }

// enlist adds, replaces and removes targets. An older process of a target never
// replaces or removes a newer one.
func (t *rosterTable) enlist(req *wire.Enlistment) *wire.EnlistReply {
	for _, target := range req.GetTargets() {
		old := t.targets[target.GetId()]
		switch {
		case target.GetId() == "" || old.GetBornMillis() > target.GetBornMillis():
		case target.GetRemoved():
			delete(t.targets, target.GetId())
		case old != nil || len(t.targets) < maxRosterTargets:
			t.targets[target.GetId()] = proto.CloneOf(target)
		}
	}
	return &wire.EnlistReply{Targets: uint32(len(t.targets))}
}

func (t *rosterTable) load(list []*wire.FleetTarget) {
	t.targets = make(map[string]*wire.FleetTarget, len(list))
	for _, target := range list {
		t.targets[target.GetId()] = target
	}
}

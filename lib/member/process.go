package member

import (
	"cmp"
	"slices"
	"time"

	"bulrushpath.example/lib/wire"
)

type processKey struct {
	role wire.Role
	name string
}

// process is an entry instance or an agent.
type process struct {
	zone          string
	configVersion uint64
	seen          time.Time
}

// RecordSync records a Sync of a process and the configuration version it has applied.
func (t *Table) RecordSync(now time.Time, role wire.Role, name, zone string, configVersion uint64) {
	k := processKey{role, name}
	p, ok := t.processes[k]
	if !ok {
		p = &process{}
		t.processes[k] = p
	}
	*p = process{zone: zone, configVersion: configVersion, seen: now}
}

// RemoveProcess deletes a process that has shut down, and its demand.
func (t *Table) RemoveProcess(role wire.Role, name string) {
	delete(t.processes, processKey{role, name})
	delete(t.reports, name)
}

// Processes returns the processes of which a Sync was received within Retention, ordered
// by role and name.
func (t *Table) Processes(now time.Time) []*wire.ProcessStatus {
	out := make([]*wire.ProcessStatus, 0, len(t.processes))
	for k, p := range t.processes {
		out = append(out, &wire.ProcessStatus{
			Name:          k.name,
			Role:          k.role,
			Zone:          p.zone,
			ConfigVersion: p.configVersion,
			AgeMillis:     uint64(max(0, now.Sub(p.seen).Milliseconds())),
		})
	}
	slices.SortFunc(out, func(a, b *wire.ProcessStatus) int {
		return cmp.Or(cmp.Compare(a.GetRole(), b.GetRole()), cmp.Compare(a.GetName(), b.GetName()))
	})
	return out
}

// CountOutdated returns the number of processes with a valid lease whose configuration is
// older than version. 0 means that version is in effect everywhere.
func (t *Table) CountOutdated(now time.Time, version uint64) int {
	n := 0
	for _, p := range t.processes {
		if now.Sub(p.seen) < Lease && p.configVersion < version {
			n++
		}
	}
	return n
}

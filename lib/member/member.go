// Package member holds the in-memory tables of the control leader: the targets with
// their leases, the directory that entry instances replicate, the processes with
// their configuration versions, and the demand per model. It does no I/O and starts
// no goroutines; methods that depend on the time take it as an argument.
package member

import (
	"time"
)

const (
	// Lease is how long a target counts as up after an announcement. Agents announce
	// at least once a second, so two announcements may be lost.
	Lease = 3 * time.Second
	// Retention is how long a target or process stays in the tables after its last
	// message.
	Retention = time.Minute
	// maxTombstones bounds the removed targets that are kept for incremental updates.
	// An entry instance that is further behind receives the full directory.
	maxTombstones = 1024
)

// Table holds the state of one leader's term. It is not safe for concurrent use.
type Table struct {
	term uint64
	// leaderSince is the time at which this instance became leader.
	leaderSince time.Time
	// version increases by 1 with each change of a directory record.
	version uint64
	// purgedVersion is the highest version of a deleted tombstone. An incremental update
	// from a lower version would miss that removal.
	purgedVersion uint64
	tombstones    int
	// directorySize is the number of targets in the directory.
	directorySize int
	targets       map[string]*targetRow
	// byVersion links the rows that have a record, ordered by version, oldest first.
	byVersion rowList
	processes map[processKey]*process
	reports   map[string]demandReport
}

// New returns an empty table. Reset must be called before use.
func New() *Table {
	t := &Table{}
	t.Reset(time.Time{}, 0)
	return t
}

// Reset clears the table at the start of a term, because data from an earlier term may
// be stale.
func (t *Table) Reset(now time.Time, term uint64) {
	*t = Table{
		term:        term,
		leaderSince: now,
		targets:     make(map[string]*targetRow),
		processes:   make(map[processKey]*process),
		reports:     make(map[string]demandReport),
	}
}

// Warm reports whether the leader has led for at least a lease, so that every live
// target has had time to announce itself.
func (t *Table) Warm(now time.Time) bool { return t.term > 0 && now.Sub(t.leaderSince) >= Lease }

// Tick expires leases and deletes targets, processes and demand that are out of date.
// It returns the targets that went down.
func (t *Table) Tick(now time.Time) (down []string) {
	for _, row := range t.targets {
		if t.expireLease(row, now) {
			down = append(down, row.name)
		}
	}
	t.purgeTombstones()
	for k, p := range t.processes {
		if now.Sub(p.seen) >= Retention {
			delete(t.processes, k)
		}
	}
	for name, r := range t.reports {
		if r.weight(now) < minReportWeight {
			delete(t.reports, name)
		}
	}
	return down
}

package quorum

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/link"
	"bulrushpath.example/lib/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout is the timeout of every condition, far above the time that any takes.
const waitTimeout = 30 * time.Second

// Guards against a group that does not form, elect a leader or commit, and against
// commands lost when all members are killed and restarted.
func TestCommitAndRestart(t *testing.T) {
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := newGroup(t, size, nil)
			g.propose("one")
			for _, m := range g.members {
				g.waitApplied(m, "one")
			}
			for _, m := range g.members {
				g.kill(m)
			}
			for _, m := range g.members {
				g.start(m)
			}
			g.propose("two")
			for _, m := range g.members {
				g.waitApplied(m, "one")
				g.waitApplied(m, "two")
			}
		})
	}
}

// Guards against lost commands, and a group that elects no new leader, when the leader
// is killed repeatedly.
func TestKillLeader(t *testing.T) {
	g := newGroup(t, 3, nil)
	for i := range 4 {
		command := fmt.Sprint("before", i)
		g.propose(command)
		m := g.leader()
		g.kill(m)
		g.propose(fmt.Sprint("without", i))
		g.start(m)
		for _, m := range g.members {
			g.waitApplied(m, command)
			g.waitApplied(m, fmt.Sprint("without", i))
		}
	}
}

// allVoters reports whether all members are voters with their current disks and reachable
// by the leader.
func (g *group) allVoters() bool {
	lead := g.leader().node
	membership := lead.status.Load().members
	for _, m := range g.members {
		if !hasMember(membership, m.id, m.node.store.Meta().Disk) {
			return false
		}
	}
	for _, s := range lead.Members() {
		if !s.Voter || !s.Reachable {
			return false
		}
	}
	return true
}

// Guards against a member with a lost disk that is not added again, votes under its old
// disk identity, or does not count as a voter after the repair: then the group must
// survive the loss of another member.
func TestLostDiskThenSecondLoss(t *testing.T) {
	g := newGroup(t, 3, func(s *Settings) { s.SnapshotEntries = 50 }, WithChunkBytes(100))
	for i := range 120 {
		g.propose(fmt.Sprint("early", i))
	}
	for round := range 2 {
		lost := g.members[round]
		g.kill(lost)
		assert.NilError(t, os.RemoveAll(lost.dir))
		g.start(lost)
		eventually(t, "three voters", g.allVoters)
		g.propose(fmt.Sprint("repaired", round))
	}
	second := g.members[2]
	g.kill(second)
	g.propose("late")
	for _, m := range g.members[:2] {
		g.waitApplied(m, "early0")
		g.waitApplied(m, "early119")
		g.waitApplied(m, "late")
	}
}

// Guards against a leader that still answers after a pause of its process. It must
// detect the pause by its own clock, before any message arrives.
func TestPausedLeader(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.propose("one")
	m := g.leader()
	term, _ := m.node.Leading()
	m.clockOffset.Store(int64(time.Minute))
	if again, ok := m.node.Leading(); ok && again == term {
		t.Fatal("still leads after a pause of a minute")
	}
	eventually(t, "a new term", func() bool {
		now, ok := g.leader().node.Leading()
		return ok && now > term
	})
	g.propose("two")
	g.waitApplied(m, "two")
}

// Guards against a partitioned leader that confirms its leadership or commits a
// command, a group that then elects no other leader, and a member that cannot return
// after the partition.
func TestPartitionedLeader(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.propose("one")
	old := g.leader()
	old.partitioned.Store(true)
	eventually(t, "another leader", func() bool { return g.leader() != old })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.Assert(t, old.node.Confirm(ctx) != nil)
	_, err := old.node.Propose(ctx, []byte("lost"))
	assert.Assert(t, err != nil)
	g.propose("two")
	assert.Equal(t, old.state.count("two"), 0)
	old.partitioned.Store(false)
	g.waitApplied(old, "two")
	eventually(t, "three reachable voters", g.allVoters)
	for _, m := range g.members {
		assert.Equal(t, m.state.count("lost"), 0)
	}
}

// Guards against commands reported as committed although the disk was full, a group
// that stops when only the disk of the leader is full, and a member that does not
// return when there is space again.
func TestFullDisk(t *testing.T) {
	var full atomic.Pointer[string]
	files := store.OSFiles()
	write := files.Write
	files.Write = func(f *os.File, b []byte) (int, error) {
		if dir := full.Load(); dir != nil && filepath.Dir(f.Name()) == *dir {
			return 0, &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
		}
		return write(f, b)
	}
	for _, size := range []int{1, 3} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := newGroup(t, size, nil, WithStore(store.WithFiles(files)))
			g.propose("one")
			var m *member
			eventually(t, "a storage error", func() bool {
				m = g.leader()
				full.Store(&m.dir)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				_, err := m.node.Propose(ctx, []byte("full"))
				return link.CodeOf(err) == link.CodeStorage && strings.Contains(err.Error(), "no space left")
			})
			if size > 1 {
				g.propose("two")
				assert.Assert(t, g.leader() != m)
			}
			full.Store(nil)
			g.propose("three")
			g.waitApplied(m, "three")
			g.kill(m)
			g.start(m)
			g.waitApplied(m, "one")
			g.waitApplied(m, "three")
		})
	}
}

// Guards against a leader that stays leader although its disk does not complete a
// write, and so accumulates entries in memory without bound.
func TestStalledDisk(t *testing.T) {
	var stuck atomic.Pointer[string]
	release := make(chan struct{})
	files := store.OSFiles()
	files.Sync = func(f *os.File) error {
		if dir := stuck.Load(); dir != nil && filepath.Dir(f.Name()) == *dir {
			<-release
		}
		return f.Sync()
	}
	g := newGroup(t, 3, nil, WithStore(store.WithFiles(files)))
	g.propose("one")
	m := g.leader()
	stuck.Store(&m.dir)
	g.propose("two")
	eventually(t, "another leader", func() bool { return g.leader() != m })
	g.propose("three")
	close(release)
	g.waitApplied(m, "three")
	eventually(t, "three voters", g.allVoters)
}

// Guards against a leadership transfer that loses commands or does not replace the old
// leader, and against missing or repeated calls of the function set by OnLeadershipChange.
func TestTransfer(t *testing.T) {
	var mu sync.Mutex
	leads := map[uint64]string{}
	g := newGroup(t, 3, func(s *Settings) { s.ElectionTimeout = longElectionTimeout }, OnLeadershipChange(func(term uint64, leading bool) {
		mu.Lock()
		defer mu.Unlock()
		leads[term] += map[bool]string{true: "+", false: "-"}[leading]
	}))
	g.propose("one")
	eventually(t, "three voters", g.allVoters)
	old := g.leader()
	term, _ := old.node.Leading()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, old.node.Transfer(ctx))
	_, ok := old.node.Leading()
	assert.Assert(t, !ok)
	g.propose("two")
	next, _ := g.leader().node.Leading()
	eventually(t, "OnLeadershipChange", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return leads[term] == "+-" && leads[next] == "+"
	})
	addr, ok := old.node.Leader()
	assert.Assert(t, ok && addr == g.leader().addr)
	_, err := old.node.Propose(ctx, []byte("three"))
	assert.Equal(t, link.CodeOf(err), link.CodeNotLeader)
}

// Guards against Confirm returning before earlier commands are applied, and lost or
// duplicated results when many callers share a batch.
func TestConcurrentCalls(t *testing.T) {
	g := newGroup(t, 3, func(s *Settings) {
		s.SnapshotEntries, s.ElectionTimeout = 100, longElectionTimeout
	})
	m := g.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var seen sync.Map
	for i := range 16 {
		wg.Go(func() {
			for j := range 40 {
				command := fmt.Sprintf("%d-%d", i, j)
				value, err := m.node.Propose(ctx, []byte(command))
				assert.Check(t, err == nil, "%v", err)
				_, duplicate := seen.LoadOrStore(string(value), command)
				assert.Check(t, !duplicate)
				assert.Check(t, m.node.Confirm(ctx) == nil)
				assert.Check(t, m.state.count(command) == 1)
			}
		})
	}
	wg.Wait()
}

// Guards against a group without a leader while each sync takes longer than the election
// timeout: votes that arrive after the next election has begun, and heartbeats that wait for
// the disk, so that the leader steps down.
func TestSlowDisksElectALeader(t *testing.T) {
	files := store.OSFiles()
	var slow atomic.Bool
	files.Sync = func(f *os.File) error {
		if slow.Load() {
			time.Sleep(600 * time.Millisecond)
		}
		return f.Sync()
	}
	g := newGroup(t, 3, nil, WithStore(store.WithFiles(files)))
	g.propose("one")
	slow.Store(true)
	g.kill(g.leader())
	g.propose("two")
	slow.Store(false)
}

// Guards against forming a group while an initial member is missing or already belongs
// to another group.
func TestFormationNeedsAllEmpty(t *testing.T) {
	g := newGroup(t, 3, nil)
	g.propose("one")
	for _, m := range g.members {
		g.kill(m)
	}
	// Two disks are lost. The third member must not be made part of a new group.
	for _, m := range g.members[:2] {
		assert.NilError(t, os.RemoveAll(m.dir))
		g.start(m)
	}
	formed := func() bool {
		for _, m := range g.members {
			if m.node == nil {
				continue
			}
			if _, ok := m.node.Leading(); ok || len(m.node.Members()) > 0 && m != g.members[2] {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, !formed())
	}
	g.start(g.members[2])
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, !formed())
	}
}

// Guards against acknowledged commands that are lost or applied twice when leaders are
// killed, partitioned and paused under load.
func TestAcknowledgedSurvive(t *testing.T) {
	g := newGroup(t, 3, func(s *Settings) { s.SnapshotEntries = 200 })
	var nodes atomic.Pointer[[]*Node]
	refresh := func() {
		var list []*Node
		for _, m := range g.members {
			list = append(list, m.node)
		}
		nodes.Store(&list)
	}
	refresh()
	var stop atomic.Bool
	var acked sync.Map
	var count atomic.Int64
	more := func() {
		want := count.Load() + 200
		eventually(t, "200 commands", func() bool { return count.Load() >= want })
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := 0; !stop.Load(); j++ {
				command := fmt.Sprintf("%d-%d", i, j)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				if _, err := (*nodes.Load())[j%3].Propose(ctx, []byte(command)); err == nil {
					acked.Store(command, true)
					count.Add(1)
				}
				cancel()
				time.Sleep(time.Millisecond)
			}
		})
	}
	for range 3 {
		more()
		m := g.leader()
		g.kill(m)
		more()
		g.start(m)
		refresh()
		m = g.leader()
		m.partitioned.Store(true)
		eventually(t, "another leader", func() bool { return g.leader() != m })
		more()
		m.partitioned.Store(false)
		g.leader().clockOffset.Add(int64(time.Minute))
		more()
	}
	stop.Store(true)
	wg.Wait()
	g.propose("last")
	for _, m := range g.members {
		g.waitApplied(m, "last")
		acked.Range(func(command, _ any) bool {
			return assert.Check(t, m.state.count(command.(string)) == 1, "%s: %v", m.id, command)
		})
	}
	t.Logf("%d acknowledged commands", count.Load())
}

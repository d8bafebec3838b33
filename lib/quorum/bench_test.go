package quorum

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bulrushpath.example/lib/store"
	"bulrushpath.example/lib/wire"
)

// BenchmarkCommit measures commits of commands of 128 bytes in a group of three
// members on loopback, with fsync.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) {
			g := newGroup(b, 3, func(s *Settings) { s.ElectionTimeout = longElectionTimeout })
			g.propose("first")
			node := g.leader().node
			command := make([]byte, 128)
			var left atomic.Int64
			left.Store(int64(b.N))
			var wg sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				wg.Go(func() {
					for left.Add(-1) >= 0 {
						if _, err := node.Propose(context.Background(), command); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkConfirm measures calls of Confirm by two callers per processor.
func BenchmarkConfirm(b *testing.B) {
	g := newGroup(b, 3, func(s *Settings) { s.ElectionTimeout = longElectionTimeout })
	g.propose("first")
	node := g.leader().node
	b.ResetTimer()
	b.SetParallelism(2)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := node.Confirm(context.Background()); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkFailover measures the time from the kill of the leader to the first
// command that another member accepts; one operation is one failover.
func BenchmarkFailover(b *testing.B) {
	g := newGroup(b, 3, func(s *Settings) {
		s.ElectionTimeout, s.Heartbeat = 500*time.Millisecond, 50*time.Millisecond
	})
	var times []time.Duration
	for b.Loop() {
		b.StopTimer()
		eventually(b, "three voters", g.allVoters)
		m := g.leader()
		b.StartTimer()
		begin := time.Now()
		g.kill(m)
		g.propose("next")
		times = append(times, time.Since(begin))
		b.StopTimer()
		g.start(m)
		b.StartTimer()
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

// BenchmarkRecovery measures the time from the start of a process to the first
// answer as leader, in a group of one, with commands of 128 bytes and a
// state of 1 MiB.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 100_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%v", entries, snapshot), func(b *testing.B) {
				g := newGroup(b, 1, func(s *Settings) {
					s.SnapshotEntries, s.SnapshotBytes = 1<<40, 1<<60
					if snapshot {
						s.SnapshotEntries = entries / 10
					}
				})
				m := g.members[0]
				g.kill(m)
				// The state has a constant size, unlike commandCounter, which grows with the log.
				g.machine = Machine{
					Apply:    func(uint64, time.Time, []byte) []byte { return nil },
					Snapshot: func() ([]byte, error) { return make([]byte, 1<<20), nil },
					Restore:  func([]byte) error { return nil },
				}
				g.start(m)
				g.propose("first")
				g.kill(m)
				fillLog(b, m.dir, entries)
				g.start(m)
				g.propose("last")
				for b.Loop() {
					b.StopTimer()
					g.kill(m)
					b.StartTimer()
					g.start(m)
					g.leader()
				}
			})
		}
	}
}

// fillLog appends commands to the closed log of a group of one.
func fillLog(b *testing.B, dir string, count int) {
	s, err := store.Open(dir)
	assert.NilError(b, err)
	have := s.Entries()
	last := have[len(have)-1]
	for i := 0; i < count; {
		var batch []store.Entry
		for ; i < count && len(batch) < 1000; i++ {
			e := &wire.LogEntry{Index: last.Index + uint64(i) + 1, Term: last.Term, Command: make([]byte, 128)}
			data, err := proto.Marshal(e)
			assert.NilError(b, err)
			batch = append(batch, store.Entry{Index: e.Index, Term: e.Term, Data: data})
		}
		assert.NilError(b, s.Append(batch))
	}
	assert.NilError(b, s.Close())
}

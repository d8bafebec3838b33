package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// gcMost lets the heap of a few MB grow to five times its live size before a
	// collection, which would otherwise take much of the time under load. gcLeast is
	// what a large heap gets.
	gcMost  = 400
	gcLeast = 50
	// gcGrowth is how far the heap may grow between two collections, in bytes, as
	// long as the percentages allow it.
	gcGrowth = 24 << 20
	// gcPeriod is the time between two looks at the live heap.
	gcPeriod = 300 * time.Millisecond
	// gcChange is the relative change from which on the percentage is set anew, which
	// stops the process for a moment.
	gcChange = 0.2
	// memoryShare is the part of Common.MemoryMB, in percent, that the Go runtime may
	// use; the rest is for the C library, the kernel's buffers and peaks.
	memoryShare = 65
)

// gcPercent returns the percentage for a process with so many bytes of live heap
// and stacks. A fixed one would make the memory of thousands of open connections
// count several times.
func gcPercent(live uint64) int {
	if live == 0 {
		return gcMost
	}
	return int(min(max(gcGrowth*100/live, gcLeast), gcMost))
}

// limitMemory sets the collector for a process with so many MB, until ctx ends. A
// percentage in the environment takes precedence.
func limitMemory(ctx context.Context, memoryMB uint32) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * memoryShare / 100)
	}
	if os.Getenv("GOGC") != "" {
		return
	}
	set := gcMost
	debug.SetGCPercent(set)
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	ticker := time.NewTicker(gcPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(samples)
		want := gcPercent(samples[0].Value.Uint64() + samples[1].Value.Uint64())
		if diff := float64(want-set) / float64(set); diff > gcChange || diff < -gcChange {
			set = want
			debug.SetGCPercent(set)
		}
	}
}

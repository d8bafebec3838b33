package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// gcMost is the GC percentage for a heap of a few MB: it grows to five times its live
	// size between collections, which would otherwise take much of the CPU time under
	// load. gcLeast is the percentage for a large heap.
	gcMost  = 400
	gcLeast = 50
	// gcGrowth is the desired heap growth between collections, in bytes. It applies as
	// far as gcLeast and gcMost allow.
	gcGrowth = 24 << 20
	// gcPeriod is the interval between checks of the live heap size.
	gcPeriod = 300 * time.Millisecond
	// gcChange is the relative change of the percentage below which it is not updated,
	// because updating it briefly stops the process.
	gcChange = 0.2
	// memoryShare is the percentage of Common.MemoryMB that is set as the memory limit of
	// the Go runtime. The rest is for the C library, kernel buffers and peaks.
	memoryShare = 65
)

// gcPercent returns the GC percentage for the given size of live heap and stacks in
// bytes. With a fixed percentage, the memory of thousands of open connections would
// take several times its live size.
func gcPercent(live uint64) int {
	if live == 0 {
		return gcMost
	}
	return int(min(max(gcGrowth*100/live, gcLeast), gcMost))
}

// limitMemory sets the memory limit of the Go runtime, unless memoryMB is 0, and adapts
// the GC percentage to the live heap until ctx is done. If GOGC is set in the
// environment, the percentage is left alone.
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

package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// gcPercentMax is the GC percentage for a heap of a few MB: it grows to five times its
	// live size between collections, which would otherwise take much of the CPU time under
	// load. gcPercentMin is the percentage for a large heap.
	gcPercentMax = 400
	gcPercentMin = 50
	// gcHeapGrowth is the desired heap growth between collections, in bytes. It applies as
	// far as gcPercentMin and gcPercentMax allow.
	gcHeapGrowth = 24 << 20
	// gcCheckInterval is the interval between checks of the live heap size.
	gcCheckInterval = 300 * time.Millisecond
	// gcMinChange is the relative change of the percentage below which it is not updated,
	// because updating it briefly stops the process.
	gcMinChange = 0.2
	// memoryLimitPercent is the percentage of Common.MemoryMB that is set as the memory
	// limit of the Go runtime. The rest is for the C library, kernel buffers and peaks.
	memoryLimitPercent = 65
)

// gcPercent returns the GC percentage for the given size of live heap and stacks in
// bytes. With a fixed percentage, the memory of thousands of open connections would
// take several times its live size.
func gcPercent(live uint64) int {
	if live == 0 {
		return gcPercentMax
	}
	return int(min(max(gcHeapGrowth*100/live, gcPercentMin), gcPercentMax))
}

// limitMemory sets the memory limit of the Go runtime, unless memoryMB is 0, and adapts
// the GC percentage to the live heap until ctx is done. If GOGC is set in the
// environment, the percentage is left alone.
func limitMemory(ctx context.Context, memoryMB uint32) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * memoryLimitPercent / 100)
	}
	if os.Getenv("GOGC") != "" {
		return
	}
	percent := gcPercentMax
	debug.SetGCPercent(percent)
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	ticker := time.NewTicker(gcCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		metrics.Read(samples)
		want := gcPercent(samples[0].Value.Uint64() + samples[1].Value.Uint64())
		if diff := float64(want-percent) / float64(percent); diff > gcMinChange || diff < -gcMinChange {
			percent = want
			debug.SetGCPercent(percent)
		}
	}
}

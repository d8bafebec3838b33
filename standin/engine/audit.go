package engine

import (
	"maps"
	"sync"
)

// Audit holds the counters of an engine over all its boots.
type Audit struct {
	MemoryBytes uint64 `json:"memoryBytes"`
	// MaxResidentBytes is the peak of all bytes loading, resident and unloading.
	MaxResidentBytes uint64 `json:"maxResidentBytes"`
	// Overcommits counts loads that raised that sum above MemoryBytes.
	Overcommits uint64 `json:"overcommits"`
	// NoMemory counts loads rejected because they did not fit into memory.
	NoMemory uint64 `json:"noMemory"`
	// StaleTokens counts commands rejected because of a stale fencing token.
	StaleTokens uint64 `json:"staleTokens"`
	Boots       uint64 `json:"boots"`
	Crashes     uint64 `json:"crashes"`
	// Generations counts generations that got a slot, including resumed ones.
	Generations uint64 `json:"generations"`
	// Finished counts generations that reached their final event.
	Finished uint64 `json:"finished"`
	// Resumed counts generations that started at an index above 0.
	Resumed uint64 `json:"resumed"`
	// ResumeMismatches counts generations whose resume text differs from what the
	// engine would have generated.
	ResumeMismatches uint64 `json:"resumeMismatches"`
	// UnloadsInUse counts generations aborted because their model was unloaded.
	UnloadsInUse uint64 `json:"unloadsInUse"`
	// MarkedRuns counts started generations whose prompt contains the crash marker.
	MarkedRuns uint64 `json:"markedRuns"`
	// LeftAtUnixMillis is when the engine started to drain; 0 if it has not.
	LeftAtUnixMillis int64 `json:"leftAtUnixMillis"`
	// ArrivedLeaving counts generations that arrived while the engine was draining;
	// LastArrivalUnixMillis is the time of the last of them.
	ArrivedLeaving        uint64 `json:"arrivedLeaving"`
	LastArrivalUnixMillis int64  `json:"lastArrivalUnixMillis"`
	// MaxRunning is the peak number of concurrent generations per model.
	MaxRunning map[string]int `json:"maxRunning"`
}

type auditState struct {
	mu sync.Mutex
	Audit
}

func (a *auditState) update(fn func(a *Audit)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fn(&a.Audit)
}

// Audit returns a snapshot of the counters.
func (e *Engine) Audit() Audit {
	e.audit.mu.Lock()
	defer e.audit.mu.Unlock()
	a := e.audit.Audit
	a.MaxRunning = maps.Clone(a.MaxRunning)
	return a
}

package report

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bulrushpath.example/load/caller"
	"bulrushpath.example/load/mixed"
)

// Guards against a report that passes although a call ran twice, ran after being
// reported as not run, or was reported as completed without having run.
func TestSummaryChecksExecutions(t *testing.T) {
	cases := []struct {
		name    string
		outcome caller.Outcome
		runs    int
		ok      bool
	}{
		{"once", caller.Completed, 1, true},
		{"doubled", caller.Completed, 2, false},
		{"confirmed without a run", caller.Completed, 0, false},
		{"refused", caller.Refused, 0, true},
		{"refused, but ran", caller.Refused, 1, false},
		{"unknown, not run", caller.Unknown, 0, true},
		{"unknown, ran", caller.Unknown, 1, true},
		{"unknown, doubled", caller.Unknown, 2, false},
		{"lost", caller.Lost, 0, false},
	}
	for _, c := range cases {
		r := NewRecorder()
		r.Add(mixed.Payment, "r1", caller.Result{Outcome: c.outcome, Latency: time.Millisecond, Attempts: 1})
		s := r.Summarize(map[string]int{"r1": c.runs}, nil, 0)
		assert.Equal(t, s.OK, c.ok, "%s: %v", c.name, s.Faults)
	}
}

// Guards against a report that passes although an engine was overcommitted.
func TestSummaryChecksMemory(t *testing.T) {
	r := NewRecorder()
	r.Add(mixed.Short, "", caller.Result{Outcome: caller.Completed, Latency: 3 * time.Millisecond})
	fits := MemoryAudit{Engine: "a", MemoryBytes: 10, MaxResidentBytes: 10}
	assert.Assert(t, r.Summarize(nil, []MemoryAudit{fits}, 0.9).OK)
	assert.Assert(t, !r.Summarize(nil, []MemoryAudit{fits, {Engine: "b", MemoryBytes: 10, MaxResidentBytes: 11}}, 0).OK)
}

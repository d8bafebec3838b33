// Package report aggregates the results of a load run, checks them against the
// audits of the stand-ins and prints them.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushpath.example/load/caller"
	"bulrushpath.example/load/mixed"
)

const (
	// Latencies are recorded from 1 µs to 2 min with 3 significant digits.
	minLatency        = 1
	maxLatency        = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
	// maxReasons limits the requests listed as examples of those not completed. If some
	// were lost, up to twice as many are listed.
	maxReasons = 20
)

// Row is one line of the report. Latencies cover completed requests only.
type Row struct {
	Class     string `json:"class"`
	Sent      int64  `json:"sent"`
	Completed int64  `json:"completed"`
	Refused   int64  `json:"refused"`
	Unknown   int64  `json:"unknown"`
	Lost      int64  `json:"lost"`
	Doubled   int64  `json:"doubled"`
	// Resent counts requests with more than one attempt.
	Resent    int64   `json:"resent"`
	P50Millis float64 `json:"p50Millis"`
	P90Millis float64 `json:"p90Millis"`
	P99Millis float64 `json:"p99Millis"`
	// FirstP50Millis and FirstP99Millis are times to the first token of streams.
	FirstP50Millis float64 `json:"firstP50Millis,omitempty"`
	FirstP99Millis float64 `json:"firstP99Millis,omitempty"`
}

// MemoryAudit is the memory audit of one engine.
type MemoryAudit struct {
	Engine string `json:"engine"`
	// Error is set if the audit could not be read, for example from a killed engine.
	Error            string `json:"error,omitempty"`
	MemoryBytes      uint64 `json:"memoryBytes"`
	MaxResidentBytes uint64 `json:"maxResidentBytes"`
	Overcommits      uint64 `json:"overcommits"`
	ResumeMismatches uint64 `json:"resumeMismatches"`
	UnloadsInUse     uint64 `json:"unloadsInUse"`
}

// Exceeded reports whether the engine ever held more than fits into its memory.
func (m MemoryAudit) Exceeded() bool { return m.Overcommits > 0 || m.MaxResidentBytes > m.MemoryBytes }

// Summary is the whole report.
type Summary struct {
	Rows  []Row `json:"rows"`
	Total Row   `json:"total"`
	// RanRefused counts calls that ran although their response said not-run.
	RanRefused int64 `json:"ranRefused"`
	// NotRunCompleted counts calls reported as completed that no service executed.
	NotRunCompleted int64         `json:"notRunCompleted"`
	Memory          []MemoryAudit `json:"memory,omitempty"`
	Reasons         []string      `json:"reasons,omitempty"`
	Faults          []string      `json:"faults,omitempty"`
	OK              bool          `json:"ok"`
}

type classStats struct {
	row        Row
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

// Recorder collects results. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	classes map[mixed.Class]*classStats
	calls   map[string]callResult
	reasons []string
}

type callResult struct {
	class   mixed.Class
	outcome caller.Outcome
}

func newClassStats(name string) *classStats {
	return &classStats{
		row:        Row{Class: name},
		latency:    hdrhistogram.New(minLatency, maxLatency, significantDigits),
		firstToken: hdrhistogram.New(minLatency, maxLatency, significantDigits),
	}
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{classes: make(map[mixed.Class]*classStats), calls: make(map[string]callResult)}
	for _, c := range mixed.Classes() {
		r.classes[c] = newClassStats(c.String())
	}
	return r
}

// Add records the result of one request; ref is empty for generations.
func (r *Recorder) Add(c mixed.Class, ref string, res caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cs := r.classes[c]
	cs.row.Sent++
	if res.Attempts > 1 {
		cs.row.Resent++
	}
	switch res.Outcome {
	case caller.Completed:
		cs.row.Completed++
		_ = cs.latency.RecordValue(min(maxLatency, max(minLatency, res.Latency.Microseconds())))
		if res.FirstToken > 0 {
			_ = cs.firstToken.RecordValue(min(maxLatency, max(minLatency, res.FirstToken.Microseconds())))
		}
	case caller.Refused:
		cs.row.Refused++
	case caller.Unknown:
		cs.row.Unknown++
	default:
		cs.row.Lost++
	}
	if ref != "" {
		r.calls[ref] = callResult{c, res.Outcome}
	}
	if res.Outcome == caller.Completed {
		return
	}
	line := fmt.Sprintf("%s %s after %s and %d attempts: %s", c, res.Outcome, res.Latency.Round(time.Millisecond),
		res.Attempts, res.Reason)
	switch {
	case res.Outcome == caller.Lost:
		// Lost requests are listed first, because they fail the run.
		r.reasons = slices.Insert(r.reasons, 0, line)
		r.reasons = r.reasons[:min(len(r.reasons), 2*maxReasons)]
	case len(r.reasons) < maxReasons:
		r.reasons = append(r.reasons, line)
	}
}

// Summarize compares the results with the audits. runs is the number of
// executions per ref over all instances, or nil if executions were not audited.
func (r *Recorder) Summarize(runs map[string]int, memory []MemoryAudit, minCompleted float64) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{Memory: memory, Reasons: slices.Clone(r.reasons), Total: Row{Class: "total"}}
	if runs != nil {
		for ref, call := range r.calls {
			n := runs[ref]
			switch {
			case n > 1:
				r.classes[call.class].row.Doubled++
			case n == 0 && call.outcome == caller.Completed:
				s.NotRunCompleted++
			}
			if n > 0 && call.outcome == caller.Refused {
				s.RanRefused++
			}
		}
	}
	total := newClassStats("total")
	for _, c := range mixed.Classes() {
		cs := r.classes[c]
		if cs.row.Sent == 0 {
			continue
		}
		s.Rows = append(s.Rows, cs.summaryRow())
		total.row.add(cs.row)
		total.latency.Merge(cs.latency)
		total.firstToken.Merge(cs.firstToken)
	}
	s.Total = total.summaryRow()
	s.evaluate(minCompleted)
	return s
}

func (cs *classStats) summaryRow() Row {
	quantileMillis := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	row := cs.row
	row.P50Millis, row.P90Millis, row.P99Millis = quantileMillis(cs.latency, 50), quantileMillis(cs.latency, 90), quantileMillis(cs.latency, 99)
	if cs.firstToken.TotalCount() > 0 {
		row.FirstP50Millis, row.FirstP99Millis = quantileMillis(cs.firstToken, 50), quantileMillis(cs.firstToken, 99)
	}
	return row
}

func (r *Row) add(o Row) {
	r.Sent += o.Sent
	r.Completed += o.Completed
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.Lost += o.Lost
	r.Doubled += o.Doubled
	r.Resent += o.Resent
}

func (s *Summary) evaluate(minCompleted float64) {
	addFault := func(n int64, what string) {
		if n > 0 {
			s.Faults = append(s.Faults, fmt.Sprintf("%d %s", n, what))
		}
	}
	addFault(s.Total.Lost, "requests lost")
	addFault(s.Total.Doubled, "calls executed more than once")
	addFault(s.RanRefused, "calls reported as not run, but executed")
	addFault(s.NotRunCompleted, "calls reported as completed, but not executed")
	if s.Total.Sent == 0 {
		s.Faults = append(s.Faults, "no requests were sent")
	}
	if share := float64(s.Total.Completed) / float64(max(1, s.Total.Sent)); share < minCompleted {
		s.Faults = append(s.Faults, fmt.Sprintf("%.1f%% completed, want %.1f%%", 100*share, 100*minCompleted))
	}
	for _, m := range s.Memory {
		if m.Exceeded() {
			s.Faults = append(s.Faults, fmt.Sprintf("engine %s: %d overcommits, %d of %d bytes", m.Engine,
				m.Overcommits, m.MaxResidentBytes, m.MemoryBytes))
		}
		addFault(int64(m.ResumeMismatches), "resumptions with a wrong resume text at engine "+m.Engine)
	}
	s.OK = len(s.Faults) == 0
}

// Print writes the summary as a table.
func (s Summary) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "class\tsent\tcompleted\trefused\tunknown\tlost\tdoubled\tresent\tp50 ms\tp90 ms\tp99 ms\tfirst p50\tfirst p99\t")
	for _, r := range append(slices.Clone(s.Rows), s.Total) {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", r.Class, r.Sent, r.Completed,
			r.Refused, r.Unknown, r.Lost, r.Doubled, r.Resent, r.P50Millis, r.P90Millis, r.P99Millis,
			r.FirstP50Millis, r.FirstP99Millis)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	for _, m := range s.Memory {
		if m.Error != "" {
			_, _ = fmt.Fprintf(w, "memory of %s: audit not available: %s\n", m.Engine, m.Error)
			continue
		}
		_, _ = fmt.Fprintf(w, "memory of %s: at most %.1f of %.1f GiB, %d overcommits, %d generations aborted by an unload\n",
			m.Engine, gib(m.MaxResidentBytes), gib(m.MemoryBytes), m.Overcommits, m.UnloadsInUse)
	}
	for _, line := range s.Reasons {
		_, _ = fmt.Fprintln(w, "  "+line)
	}
	for _, line := range s.Faults {
		_, _ = fmt.Fprintln(w, "FAULT: "+line)
	}
	return nil
}

// JSON writes the summary as an indented JSON object.
func (s Summary) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(s)
}

func gib(n uint64) float64 { return float64(n) / (1 << 30) }

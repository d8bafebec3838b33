// Package drive runs a mixed workload for a limited time and collects the audits
// of the stand-ins.
package drive

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bulrushpath.example/load/caller"
	"bulrushpath.example/load/mixed"
	"bulrushpath.example/load/report"
	"bulrushpath.example/standin/engine"
	"bulrushpath.example/standin/plain"
	"bulrushpath.example/standin/probe"
)

const auditTimeout = 5 * time.Second

// Options configures a load run.
type Options struct {
	// Entries are the addresses of the entry instances.
	Entries []netip.AddrPort
	Models  []mixed.Model
	Routes  []mixed.Route
	Seed    uint64
	// Duration is how long new requests are started; Rate is how many per second.
	Duration time.Duration
	Rate     float64
	// MaxInFlight limits the concurrent requests; at the limit, starting a request blocks.
	MaxInFlight int
}

// Send starts requests until the time has elapsed or ctx is cancelled, and waits
// for all of them to finish.
func Send(ctx context.Context, o Options, rec *report.Recorder) {
	client := caller.NewClient(o.Entries)
	defer client.Close()
	// The prefix makes idempotency keys unique across runs against the same deployment.
	prefix := strconv.FormatInt(time.Now().UnixMilli(), 36)
	source := mixed.New(o.Seed, o.Rate, prefix, o.Models, o.Routes)
	inFlight := make(chan struct{}, o.MaxInFlight)
	end := time.Now().Add(o.Duration)
	next := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		req := source.Next()
		next = next.Add(req.Interarrival)
		if next.After(end) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		select {
		case <-ctx.Done():
			return
		case inFlight <- struct{}{}:
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			rec.Add(req.Class, req.Ref, sendRequest(client, req))
		})
	}
}

// sendRequest sends a request and waits for its result. It does not use the context of
// Send: an interrupt must not cancel requests in flight, or the report would be
// incomplete.
func sendRequest(client *caller.Client, req mixed.Request) caller.Result {
	ctx := context.Background()
	if req.Ref == "" {
		return client.Generate(ctx, caller.Generation{
			Model: req.Model.Name, Versions: req.Model.Versions, Adapter: req.Adapter,
			Prompt: req.Prompt, MaxTokens: req.MaxTokens, Priority: req.Priority,
			Deadline: req.Deadline, Stream: req.Class == mixed.ShortStream || req.Class == mixed.LongStream,
		})
	}
	call := caller.Call{
		Service: req.Route.Service, Method: req.Route.Method, Path: req.Route.Path,
		Ref: req.Ref, Issued: time.Now(), Deadline: req.Deadline,
	}
	if req.Class != mixed.Doubled {
		return client.Call(ctx, call)
	}
	second := make(chan caller.Result)
	go func() {
		time.Sleep(req.ResendDelay)
		second <- client.Call(ctx, call)
	}()
	return mergeResults(client.Call(ctx, call), <-second)
}

// mergeResults merges the results of two concurrent sends of one call. The more
// conclusive result wins, but if either is Lost, the call is Lost.
func mergeResults(a, b caller.Result) caller.Result {
	for _, want := range []caller.Outcome{caller.Lost, caller.Completed, caller.Unknown} {
		for _, r := range []caller.Result{a, b} {
			if r.Outcome == want {
				return r
			}
		}
	}
	return a
}

// Executions returns the number of executions per ref, summed over the plain
// stand-ins at addrs and the journals. It returns nil if both lists are empty.
func Executions(addrs []netip.AddrPort, journals []string) (map[string]int, error) {
	if len(addrs) == 0 && len(journals) == 0 {
		return nil, nil
	}
	runs := make(map[string]int)
	add := func(counts map[string]int) {
		for ref, n := range counts {
			runs[ref] += n
		}
	}
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
		a, err := probe.Get[plain.Audit](ctx, addr, "/audit?all=true")
		cancel()
		if err != nil {
			return nil, fmt.Errorf("read audit: %w", err)
		}
		add(a.Runs)
	}
	for _, path := range journals {
		counts, err := plain.ReadJournal(path)
		if err != nil {
			return nil, err
		}
		add(counts)
	}
	return runs, nil
}

// MemoryAudits reads the memory audits of the engine stand-ins. An audit that cannot
// be read is recorded with its error.
func MemoryAudits(addrs []netip.AddrPort) []report.MemoryAudit {
	var all []report.MemoryAudit
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
		a, err := probe.Get[engine.Audit](ctx, addr, "/v1/audit")
		cancel()
		m := report.MemoryAudit{
			Engine: addr.String(), MemoryBytes: a.MemoryBytes, MaxResidentBytes: a.MaxResidentBytes,
			Overcommits: a.Overcommits, ResumeMismatches: a.ResumeMismatches, UnloadsInUse: a.UnloadsInUse,
		}
		if err != nil {
			m.Error = err.Error()
		}
		all = append(all, m)
	}
	return all
}

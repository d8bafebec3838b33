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
	// Time is how long new requests are started; Rate is how many per second.
	Time time.Duration
	Rate float64
	// InFlight limits the concurrent requests; at the limit, starting a request blocks.
	InFlight int
}

// Send starts requests until the time has elapsed or ctx is cancelled, and waits
// for all of them to finish.
func Send(ctx context.Context, o Options, rec *report.Recorder) {
	front := caller.NewFront(o.Entries)
	defer front.Close()
	// The prefix makes idempotency keys unique across runs against the same deployment.
	prefix := strconv.FormatInt(time.Now().UnixMilli(), 36)
	source := mixed.New(o.Seed, o.Rate, prefix, o.Models, o.Routes)
	limit := make(chan struct{}, o.InFlight)
	end := time.Now().Add(o.Time)
	next := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		spec := source.Next()
		next = next.Add(spec.Wait)
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
		case limit <- struct{}{}:
		}
		wg.Go(func() {
			defer func() { <-limit }()
			rec.Add(spec.Class, spec.Ref, one(front, spec))
		})
	}
}

// one sends a request and waits for its result. It does not use the context of
// Send: an interrupt must not cancel requests in flight, or the report would be
// incomplete.
func one(front *caller.Front, spec mixed.Spec) caller.Result {
	ctx := context.Background()
	if spec.Ref == "" {
		return front.Generate(ctx, caller.Generation{
			Model: spec.Model.Name, Versions: spec.Model.Versions, Adapter: spec.Adapter,
			Prompt: spec.Prompt, MaxTokens: spec.MaxTokens, Priority: spec.Priority,
			Deadline: spec.Deadline, Stream: spec.Class == mixed.ShortStream || spec.Class == mixed.LongStream,
		})
	}
	call := caller.Call{
		Service: spec.Route.Service, Method: spec.Route.Method, Path: spec.Route.Path,
		Ref: spec.Ref, Issued: time.Now(), Deadline: spec.Deadline,
	}
	if spec.Class != mixed.Doubled {
		return front.Call(ctx, call)
	}
	second := make(chan caller.Result)
	go func() {
		time.Sleep(spec.Lag)
		second <- front.Call(ctx, call)
	}()
	return either(front.Call(ctx, call), <-second)
}

// either merges the results of two concurrent sends of one call. The more
// conclusive result wins, but if either is Lost, the call is Lost.
func either(a, b caller.Result) caller.Result {
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
	add := func(more map[string]int) {
		for ref, n := range more {
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
		more, err := plain.ReadJournal(path)
		if err != nil {
			return nil, err
		}
		add(more)
	}
	return runs, nil
}

// Memories reads the memory audits of the engine stand-ins. An audit that cannot
// be read is recorded with its error.
func Memories(addrs []netip.AddrPort) []report.Memory {
	var all []report.Memory
	for _, addr := range addrs {
		ctx, cancel := context.WithTimeout(context.Background(), auditTimeout)
		a, err := probe.Get[engine.Audit](ctx, addr, "/v1/audit")
		cancel()
		m := report.Memory{
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

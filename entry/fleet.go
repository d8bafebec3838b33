package entry

import (
	"net/netip"
	"sync"
	"time"

	"bulrushpath.example/lib/poison"
	"bulrushpath.example/lib/route"
	"bulrushpath.example/lib/wire"
)

const (
	// hedgeBurst and retryBurst bound the hedges and retries that can be sent in a
	// burst.
	hedgeBurst = 10
	retryBurst = 50
	// retryPercent is the number of retries that 100 requests add to the budget.
	// Without a bound, retries multiply the load during an overload.
	retryPercent = 20
	// demandTau is the time constant for smoothing the demand reported to control. It
	// is short because placement has to react to changes within seconds.
	demandTau = 3 * time.Second
)

// fleet is the routing state of this instance: targets, suspects, statistics and retry
// budgets. All requests in progress share it.
type fleet struct {
	mu     sync.Mutex
	table  *route.Table
	book   poison.Book
	models map[string]*modelStats
	// running counts the attempts in progress by fingerprint. Entries are removed when
	// they reach zero.
	running map[poison.Fingerprint]int
	hedges  *route.Budget
	retries *route.Budget
}

// modelStats holds the statistics of one model.
type modelStats struct {
	first route.Latency
	// requests and unserved count requests since the last report to control.
	requests, unserved float64
	// requestRate and unservedRate are the smoothed rates per second.
	requestRate, unservedRate float64
}

func newFleet(zone string) *fleet {
	return &fleet{
		table:   route.New(zone),
		models:  make(map[string]*modelStats),
		running: make(map[poison.Fingerprint]int),
		hedges:  route.NewBudget(hedgeBurst),
		retries: route.NewBudget(retryBurst),
	}
}

// model returns the statistics of a model. mu must be held.
func (f *fleet) model(name string) *modelStats {
	m := f.models[name]
	if m == nil {
		m = &modelStats{}
		f.models[name] = m
	}
	return m
}

// arrive counts a request and credits the hedge and retry budgets.
func (f *fleet) arrive(c *call, hedgePercent uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hedges.Earn(hedgePercent)
	f.retries.Earn(retryPercent)
	if !c.plain {
		f.model(c.key.Model).requests++
	}
}

// unserved counts a request that was rejected for lack of capacity.
func (f *fleet) unserved(c *call) {
	if c.plain {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.model(c.key.Model).unserved++
}

// demand updates the smoothed rates with the counts of the last dt and returns them by
// model.
func (f *fleet) demand(dt time.Duration) []*wire.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	share := min(1, float64(dt)/float64(demandTau))
	sec := max(dt.Seconds(), 1e-3)
	var out []*wire.Demand
	for name, m := range f.models {
		m.requestRate += (m.requests/sec - m.requestRate) * share
		m.unservedRate += (m.unserved/sec - m.unservedRate) * share
		m.requests, m.unserved = 0, 0
		if m.requestRate < 1e-3 && m.unservedRate < 1e-3 {
			m.requestRate, m.unservedRate = 0, 0
			continue
		}
		out = append(out, &wire.Demand{
			Model: name, RequestsPerSecond: m.requestRate, UnservedPerSecond: m.unservedRate,
		})
	}
	return out
}

func (f *fleet) pick(q *route.Query, now time.Time) (route.Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Pick(q, now)
}

func (f *fleet) usable(g *route.Target, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Usable(g, now)
}

func (f *fleet) gate(fp poison.Fingerprint, lost bool, now time.Time) poison.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Gate(fp, lost, now)
}

// begin records the start of an attempt. It returns the address and incarnation of the
// target at this time, because directory updates change them.
func (f *fleet) begin(g *route.Target, fp poison.Fingerprint, now time.Time) (netip.AddrPort, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[fp]++
	f.table.Begin(g, now)
	return g.Addr, g.Incarnation
}

// first records the arrival of a first chunk after took. model is empty for plain
// services.
func (f *fleet) first(g *route.Target, model string, took time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.First(g, took, now)
	if model != "" {
		f.model(model).first.Add(took)
	}
}

func (f *fleet) finish(g *route.Target, fp poison.Fingerprint, first bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[fp]--; f.running[fp] <= 0 {
		delete(f.running, fp)
	}
	f.table.Finish(g, first, now)
}

func (f *fleet) report(g *route.Target, l *wire.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Report(g, l, now)
}

func (f *fleet) penalize(g *route.Target, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Penalize(g, now)
}

func (f *fleet) leaving(g *route.Target, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Leaving(g, now)
}

func (f *fleet) lose(g *route.Target, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Lose(g, now)
}

func (f *fleet) retry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.Take()
}

// copies returns the number of attempts with fingerprint fp in progress.
func (f *fleet) copies(fp poison.Fingerprint) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[fp]
}

// hedge takes a hedge from the budget. It reports false if the budget is empty or the
// request is a suspect.
func (f *fleet) hedge(fp poison.Fingerprint, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.book.Suspect(fp, now) && f.hedges.Take()
}

// hedgeAfter returns the delay after which a request for the model may be hedged.
func (f *fleet) hedgeAfter(model string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model(model).first.HedgeAfter()
}

// witness records that a target was lost while it ran fp for this instance.
func (f *fleet) witness(fp poison.Fingerprint, reported bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Witness(fp, reported, now)
}

// reported records that control knows of the crash.
func (f *fleet) reported(fp poison.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Reported(fp)
}

// overtaken records that a hedge responded before the attempt on g, which started took
// ago.
func (f *fleet) overtaken(g *route.Target, took time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Overtaken(g, took, now)
}

// completed records that a request with fingerprint fp completed.
func (f *fleet) completed(fp poison.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Completed(fp)
}

func (f *fleet) judged(fp poison.Fingerprint, v wire.Verdict, permit bool) poison.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Judged(fp, v, permit)
}

func (f *fleet) withoutControl(fp poison.Fingerprint, now time.Time) poison.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.WithoutControl(fp, now)
}

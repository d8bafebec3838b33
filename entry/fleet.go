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
	// demandTimeConstant is the time constant for smoothing the demand reported to
	// control. It is short because placement has to react to changes within seconds.
	demandTimeConstant = 3 * time.Second
)

// routingState holds what this instance knows about targets, models and suspects, and
// the budgets for hedges and retries. All requests in progress share it.
type routingState struct {
	mu       sync.Mutex
	table    *route.Table
	suspects poison.SuspectCache
	models   map[string]*modelStats
	// inFlight counts the attempts in progress by fingerprint. Entries are removed when
	// they reach zero.
	inFlight    map[poison.Fingerprint]int
	hedgeBudget *route.Budget
	retryBudget *route.Budget
}

// modelStats holds the statistics of one model.
type modelStats struct {
	firstChunk route.Latency
	// requestCount and unservedCount count requests since the last report to control.
	requestCount, unservedCount float64
	// requestRate and unservedRate are the smoothed rates per second.
	requestRate, unservedRate float64
}

func newRoutingState(zone string) *routingState {
	return &routingState{
		table:       route.New(zone),
		models:      make(map[string]*modelStats),
		inFlight:    make(map[poison.Fingerprint]int),
		hedgeBudget: route.NewBudget(hedgeBurst),
		retryBudget: route.NewBudget(retryBurst),
	}
}

// statsFor returns the statistics of a model. mu must be held.
func (rs *routingState) statsFor(name string) *modelStats {
	m := rs.models[name]
	if m == nil {
		m = &modelStats{}
		rs.models[name] = m
	}
	return m
}

// countRequest counts a request and credits the hedge and retry budgets.
func (rs *routingState) countRequest(c *clientRequest, hedgePercent uint32) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.hedgeBudget.Deposit(hedgePercent)
	rs.retryBudget.Deposit(retryPercent)
	if !c.plainService {
		rs.statsFor(c.key.Model).requestCount++
	}
}

// countUnserved counts a request for a model that was rejected with status 503.
func (rs *routingState) countUnserved(c *clientRequest) {
	if c.plainService {
		return
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.statsFor(c.key.Model).unservedCount++
}

// demand updates the smoothed rates with the counts of the last dt and returns them by
// model.
func (rs *routingState) demand(dt time.Duration) []*wire.Demand {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	share := min(1, float64(dt)/float64(demandTimeConstant))
	sec := max(dt.Seconds(), 1e-3)
	var out []*wire.Demand
	for name, m := range rs.models {
		m.requestRate += (m.requestCount/sec - m.requestRate) * share
		m.unservedRate += (m.unservedCount/sec - m.unservedRate) * share
		m.requestCount, m.unservedCount = 0, 0
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

func (rs *routingState) pickTarget(q *route.Query, now time.Time) (route.Choice, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.table.Pick(q, now)
}

func (rs *routingState) isUsable(target *route.Target, now time.Time) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.table.Usable(target, now)
}

func (rs *routingState) suspectAction(fp poison.Fingerprint, lost bool, now time.Time) poison.Action {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.suspects.BeforeDispatch(fp, lost, now)
}

// beginAttempt records the start of an attempt. It returns the address and incarnation
// of the target at this time, because directory updates change them.
func (rs *routingState) beginAttempt(target *route.Target, fp poison.Fingerprint, now time.Time) (netip.AddrPort, uint64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.inFlight[fp]++
	rs.table.Begin(target, now)
	return target.Addr, target.Incarnation
}

// recordFirstChunk records the arrival of a first chunk after took. model is empty for
// plain services.
func (rs *routingState) recordFirstChunk(target *route.Target, model string, took time.Duration, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.table.RecordFirstChunk(target, took, now)
	if model != "" {
		rs.statsFor(model).firstChunk.Add(took)
	}
}

func (rs *routingState) finishAttempt(target *route.Target, fp poison.Fingerprint, gotChunk bool, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.inFlight[fp]--; rs.inFlight[fp] <= 0 {
		delete(rs.inFlight, fp)
	}
	rs.table.Finish(target, gotChunk, now)
}

func (rs *routingState) recordLoad(target *route.Target, l *wire.Load, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.table.ReportLoad(target, l, now)
}

func (rs *routingState) penalize(target *route.Target, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.table.Penalize(target, now)
}

func (rs *routingState) markLeaving(target *route.Target, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.table.MarkLeaving(target, now)
}

func (rs *routingState) markLost(target *route.Target, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.table.MarkLost(target, now)
}

func (rs *routingState) takeRetry() bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.retryBudget.Withdraw()
}

// attemptsInFlight returns the number of attempts with fingerprint fp in progress.
func (rs *routingState) attemptsInFlight(fp poison.Fingerprint) int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.inFlight[fp]
}

// takeHedge takes a hedge from the budget. It reports false if the budget is empty or
// the request is a suspect.
func (rs *routingState) takeHedge(fp poison.Fingerprint, now time.Time) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return !rs.suspects.Suspect(fp, now) && rs.hedgeBudget.Withdraw()
}

// hedgeDelay returns the delay after which a request for the model may be hedged.
func (rs *routingState) hedgeDelay(model string) (time.Duration, bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.statsFor(model).firstChunk.HedgeDelay()
}

// recordCrash records that a target was lost while it ran fp for this instance.
func (rs *routingState) recordCrash(fp poison.Fingerprint, reported bool, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.suspects.RecordCrash(fp, reported, now)
}

// markCrashReported records that control knows of the crash.
func (rs *routingState) markCrashReported(fp poison.Fingerprint) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.suspects.CrashReported(fp)
}

// recordSlowerAttempt records that the other attempt of a hedged pair responded before
// the one on target, which started took ago.
func (rs *routingState) recordSlowerAttempt(target *route.Target, took time.Duration, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.table.RecordSlowerDispatch(target, took, now)
}

// recordCompleted records that a request with fingerprint fp completed.
func (rs *routingState) recordCompleted(fp poison.Fingerprint) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.suspects.RecordCompletion(fp)
}

func (rs *routingState) applyVerdict(fp poison.Fingerprint, v wire.Verdict, permit bool) poison.Action {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.suspects.AfterVerdict(fp, v, permit)
}

func (rs *routingState) actionWithoutControl(fp poison.Fingerprint, now time.Time) poison.Action {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.suspects.WithoutControl(fp, now)
}

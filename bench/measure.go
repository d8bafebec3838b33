package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// stragglerSlowdown is how many times longer a straggler takes.
	stragglerSlowdown = 10
	// shortDeadline is the deadline of short requests in measures of deadline attainment,
	// looseDeadline in measures of latency.
	shortDeadline = 2 * time.Second
	looseDeadline = 60 * time.Second
	longDeadline  = 10 * time.Minute
	// warmUp is the warm-up period, excluded from the measurements because histories and
	// caches are still empty.
	warmUp = 5 * time.Second
	// maxConcurrentRuns is the maximum number of concurrent simulation runs.
	maxConcurrentRuns = 4
)

// Demand in the measures. Shares are relative to what the engines can serve.
const (
	// The peak of the second measure lasts from peakFrom to peakTo, at peakShare; before
	// and after it, and in the fourth measure, demand is baseShare.
	peakFrom, peakTo = 20 * time.Second, 30 * time.Second
	peakLength       = 50 * time.Second
	peakShare        = 2.0
	baseShare        = 0.6
	// swingShare is the mean demand in the first measure.
	swingShare = 0.75
	// shortShare is the demand of short requests in the third measure; with the long
	// requests, the total is about 0.76.
	shortShare = 0.22
)

// experiment is a simulation run of a policy in a scenario. result is nil before the run.
type experiment struct {
	deployment *deployment
	policy     policy
	scenario   *scenario
	result     *simulation
}

// runExperiments runs all simulations, up to maxConcurrentRuns of them concurrently.
func runExperiments(list []*experiment) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentRuns)
	for _, exp := range list {
		wg.Go(func() {
			sem <- struct{}{}
			exp.result = simulate(exp.deployment, exp.policy, exp.scenario)
			<-sem
		})
	}
	wg.Wait()
}

// scenarios holds the scenarios of a deployment: swing for the first measure, peak for
// the second, short and mixed for the third, healthy and slow for the fourth.
type scenarios struct {
	swing, peak, short, mixed, healthy, slow *scenario
}

func (d *deployment) scenarios(seed uint64) scenarios {
	var x scenarios
	build := func(name string, reportDelay time.Duration, l workload) *scenario {
		return &scenario{name: name, seed: seed, duration: l.duration, reportDelay: reportDelay, arrivals: d.arrivals(seed, l)}
	}
	swingLength := 120 * time.Second
	rate, peak := d.burstyRate(seed, swingShare, swingLength)
	x.swing = build("swing", defaultReportDelay, workload{duration: swingLength, rate: rate, maxRate: peak, deadline: shortDeadline})

	baseRate, peakRate := d.constantRate(baseShare), d.constantRate(peakShare)
	x.peak = build("peak", defaultReportDelay, workload{
		duration: peakLength, maxRate: peakRate(0, 0), deadline: shortDeadline,
		rate: func(i int, t time.Duration) float64 {
			if t >= peakFrom && t < peakTo {
				return peakRate(i, t)
			}
			return baseRate(i, t)
		},
	})

	shortRate := d.constantRate(shortShare)
	l := workload{duration: 180 * time.Second, rate: shortRate, maxRate: shortRate(0, 0), deadline: looseDeadline, longDeadline: longDeadline}
	x.short = build("short", defaultReportDelay, l)
	l.longShare = 0.05
	x.mixed = build("mixed", defaultReportDelay, l)

	l = workload{duration: 60 * time.Second, rate: baseRate, maxRate: baseRate(0, 0), deadline: looseDeadline}
	x.healthy = build("healthy", 2*time.Second, l)
	x.slow = build("slow", 2*time.Second, l)
	for i, t := 0, warmUp; t < l.duration; i, t = i+1, t+8*time.Second {
		for j := range 2 {
			x.slow.stragglers = append(x.slow.stragglers, straggler{(i*5 + j*3) % d.engines, t, t + 2*time.Second})
		}
	}
	return x
}

// countRequests counts the model requests sent in the period [from, to), and those of
// them that match.
func (sim *simulation) countRequests(from, to time.Duration, match func(*request) bool) (matching, all int) {
	for _, r := range sim.requests {
		if r.model >= 0 && r.at >= from && r.at < to {
			all++
			if match(r) {
				matching++
			}
		}
	}
	return matching, all
}

// attainment returns the fraction of requests sent in a period that met their deadline.
func (sim *simulation) attainment(from, to time.Duration) float64 {
	n, all := sim.countRequests(from, to, (*request).metDeadline)
	return float64(n) / float64(max(all, 1))
}

// goodputPerEngine returns the number of requests that met their deadline, per second and
// engine.
func (sim *simulation) goodputPerEngine() float64 {
	n, _ := sim.countRequests(warmUp, sim.scenario.duration, (*request).metDeadline)
	return float64(n) / (sim.scenario.duration - warmUp).Seconds() / float64(sim.deployment.engines)
}

// goodputShare returns the goodput in a period as a fraction of the capacity: the work of
// requests that completed in the period and met their deadline.
func (sim *simulation) goodputShare(from, to time.Duration) float64 {
	var work float64
	for _, r := range sim.requests {
		if r.model >= 0 && r.metDeadline() && r.endedAt >= from && r.endedAt < to {
			work += r.work
		}
	}
	return work / (sim.deployment.workCapacity() * (to - from).Seconds())
}

// quantile returns the q-th percentile of a duration over the requests that match,
// excluding the warm-up.
func (sim *simulation) quantile(q float64, match func(*request) bool, of func(*request) time.Duration) time.Duration {
	h := hdr.New(1, time.Hour.Microseconds(), 3)
	for _, r := range sim.requests {
		if r.model >= 0 && r.at >= warmUp && match(r) {
			_ = h.RecordValue(max(1, of(r).Microseconds()))
		}
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// refusalP99 returns the 99th percentile, in milliseconds, of the time that an entry
// instance takes to refuse a request.
func (sim *simulation) refusalP99() float64 {
	d := sim.quantile(99, func(r *request) bool { return r.outcome == refused },
		func(r *request) time.Duration { return r.responseTime() - 2*sim.deployment.clientDelay })
	return float64(d) / 1e6
}

// shortP99 returns the 99th percentile of the response time of short requests, in
// milliseconds.
func (sim *simulation) shortP99() float64 {
	d := sim.quantile(99, func(r *request) bool { return !r.long }, (*request).responseTime)
	return float64(d) / 1e6
}

// longSlowdownP95 returns the 95th percentile of the slowdown of long requests, that is,
// their response time divided by their service time on an idle engine.
func (sim *simulation) longSlowdownP95() float64 {
	d := sim.quantile(95, func(r *request) bool { return r.long }, func(r *request) time.Duration {
		serviceTime := (float64(r.promptTokens)/promptTokensPerUnit + float64(r.outputTokens)) * tokenTime.Seconds()
		return time.Duration(r.responseTime().Seconds() / serviceTime * float64(time.Second))
	})
	return d.Seconds()
}

// extraWork returns the work of attempts whose result was not used, relative to the work of
// those whose result was.
func (sim *simulation) extraWork() float64 {
	var usedWork float64
	for _, r := range sim.requests {
		usedWork += r.work
	}
	return sim.counters.work/usedWork - 1
}

// measureAll runs the measures whose numbers are in only, or all if it is empty. It
// returns the rows of the table and the simulation runs.
func measureAll(list []*deployment, seed uint64, only []int) ([]row, []*experiment) {
	var all []*experiment
	var builders []func() []row
	for _, d := range list {
		x := d.scenarios(seed)
		addExperiments := func(sc *scenario, extra ...policy) []*experiment {
			var out []*experiment
			for _, p := range slices.Concat([]policy{bulrushpathPolicy()}, baselines(), extra) {
				out = append(out, &experiment{deployment: d, policy: p, scenario: sc})
			}
			all = append(all, out...)
			return out
		}
		for i, prepare := range []func() func() []row{
			func() func() []row {
				a := addExperiments(x.swing, loadOnDemandPolicy(), clairvoyantPolicy())
				return func() []row { return swingRows(d, a) }
			},
			func() func() []row {
				a := addExperiments(x.peak, clairvoyantPolicy())
				return func() []row { return peakRows(d, a) }
			},
			func() func() []row {
				a, b := addExperiments(x.short), addExperiments(x.mixed)
				return func() []row { return blockingRows(d, a, b) }
			},
			func() func() []row {
				a, b := addExperiments(x.healthy), addExperiments(x.slow)
				return func() []row { return tailRows(d, a, b) }
			},
		} {
			if len(only) == 0 || slices.Contains(only, i+1) {
				builders = append(builders, prepare())
			}
		}
	}
	runExperiments(all)
	var rows []row
	for _, f := range builders {
		rows = append(rows, f()...)
	}
	return rows, all
}

func swingRows(d *deployment, list []*experiment) []row {
	attain := comparison{deployment: d.name, measure: "1 attainment", unit: "in time/s/accelerator", higherIsBetter: true, aim: 0.95, aimOf: ofBound}
	loads := comparison{deployment: d.name, measure: "1 model loads", unit: "loads", aim: 1.0 / 3, aimOf: ofBaseline}
	adapter := comparison{deployment: d.name, measure: "1 adapter loads", unit: "loads"}
	for _, exp := range list {
		attain.add(exp.policy.name, exp.result.goodputPerEngine())
		if exp.policy.planner {
			adapter.add(exp.policy.name, float64(exp.result.counters.adapterLoads))
		}
		if exp.policy.planner || exp.policy.onDemand {
			loads.add(exp.policy.name, float64(exp.result.counters.loads))
		}
	}
	return append(append(attain.rows(), loads.rows()...), adapter.rows()...)
}

func peakRows(d *deployment, list []*experiment) []row {
	work := comparison{
		deployment: d.name, measure: "2 useful work at the peak", unit: "share of capacity",
		higherIsBetter: true, aim: 0.9, bound: 1, aimOf: ofBound,
	}
	after := comparison{
		deployment: d.name, measure: "2 attainment after / before the peak", unit: "ratio",
		higherIsBetter: true, aim: 0.95, bound: 1, aimOf: ofBound,
	}
	refusal := comparison{deployment: d.name, measure: "2 refusal p99", unit: "ms", aim: 10, aimOf: ofValue}
	for _, exp := range list {
		work.add(exp.policy.name, exp.result.goodputShare(peakFrom, peakTo))
		before := exp.result.attainment(warmUp, peakFrom-shortDeadline)
		after.add(exp.policy.name, exp.result.attainment(peakTo+shortDeadline, peakLength-shortDeadline)/before)
		if exp.policy.admission {
			refusal.add(exp.policy.name, exp.result.refusalP99())
		}
	}
	return append(append(work.rows(), after.rows()...), refusal.rows()...)
}

func blockingRows(d *deployment, without, with []*experiment) []row {
	short := comparison{deployment: d.name, measure: "3 short p99 with / without long jobs", unit: "ratio", aim: 1.5, aimOf: ofValue}
	millis := comparison{deployment: d.name, measure: "3 short p99 beside long jobs", unit: "ms"}
	long := comparison{deployment: d.name, measure: "3 long p95 / alone", unit: "ratio", aim: 2, aimOf: ofValue}
	for i, exp := range with {
		short.add(exp.policy.name, exp.result.shortP99()/without[i].result.shortP99())
		millis.add(exp.policy.name, exp.result.shortP99())
		long.add(exp.policy.name, exp.result.longSlowdownP95())
	}
	return append(append(short.rows(), millis.rows()...), long.rows()...)
}

func tailRows(d *deployment, healthy, slow []*experiment) []row {
	tail := comparison{deployment: d.name, measure: "4 p99 with stragglers / healthy", unit: "ratio", aim: 2, aimOf: ofValue}
	millis := comparison{deployment: d.name, measure: "4 p99 with stragglers", unit: "ms"}
	extra := comparison{deployment: d.name, measure: "4 extra work of hedges", unit: "share", aim: 0.05, aimOf: ofValue}
	for i, exp := range slow {
		tail.add(exp.policy.name, exp.result.shortP99()/healthy[i].result.shortP99())
		millis.add(exp.policy.name, exp.result.shortP99())
		if exp.policy.hedge {
			extra.add(exp.policy.name, exp.result.extraWork())
		}
	}
	return append(append(tail.rows(), millis.rows()...), extra.rows()...)
}

// summary returns a line with the outcomes and counters of the run.
func (exp *experiment) summary() string {
	var n [4]int
	for _, r := range exp.result.requests {
		n[r.outcome]++
	}
	return fmt.Sprintf("%-7s %-8s %-14s requests %6d completed %6d refused %5d timed out %5d, loads %d+%d, hedges %d, p99 %.0f ms, in time %.4f",
		exp.deployment.name, exp.scenario.name, exp.policy.name, len(exp.result.requests), n[completed], n[refused], n[timedOut],
		exp.result.counters.loads, exp.result.counters.adapterLoads, exp.result.counters.hedges, exp.result.shortP99(), exp.result.attainment(warmUp, exp.scenario.duration))
}

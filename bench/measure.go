package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// stragglerFactor is the slowdown of a straggler.
	stragglerFactor = 10
	// shortDeadline is the deadline of short requests in measures of deadline attainment,
	// looseDeadline in measures of latency.
	shortDeadline = 2 * time.Second
	looseDeadline = 60 * time.Second
	longDeadline  = 10 * time.Minute
	// settle is the warm-up period, excluded from the measurements because histories and
	// caches are still empty.
	settle = 5 * time.Second
	// workers is the maximum number of concurrent simulation runs.
	workers = 4
)

// Demand in the measures. Shares are relative to what the engines can serve.
const (
	// The peak of the second measure lasts from peakFrom to peakTo, at peakShare; before
	// and after it, and in the fourth measure, demand is usualShare.
	peakFrom, peakTo = 20 * time.Second, 30 * time.Second
	peakLength       = 50 * time.Second
	peakShare        = 2.0
	usualShare       = 0.6
	// swingShare is the mean demand in the first measure.
	swingShare = 0.75
	// mixedShare is the demand of short requests in the third measure; with the long
	// requests, the total is about 0.76.
	mixedShare = 0.22
)

// study is a simulation run: a policy in a scenario. w is nil until it has been run.
type study struct {
	s  *site
	p  policy
	sc *scenario
	w  *world
}

// runAll runs all simulations, up to workers of them concurrently.
func runAll(list []*study) {
	var wg sync.WaitGroup
	gate := make(chan struct{}, workers)
	for _, st := range list {
		wg.Go(func() {
			gate <- struct{}{}
			st.w = run(st.s, st.p, st.sc)
			<-gate
		})
	}
	wg.Wait()
}

// scenarios holds the scenarios of a deployment: swing for the first measure, peak for
// the second, short and mixed for the third, healthy and slow for the fourth.
type scenarios struct {
	swing, peak, short, mixed, healthy, slow *scenario
}

func (s *site) scenarios(seed uint64) scenarios {
	var x scenarios
	build := func(name string, late time.Duration, l load) *scenario {
		return &scenario{name: name, seed: seed, length: l.length, late: late, arrivals: s.arrivals(seed, l)}
	}
	length := 120 * time.Second
	rate, peak := s.bursty(seed, swingShare, length)
	x.swing = build("swing", usualLate, load{length: length, rate: rate, peak: peak, deadline: shortDeadline})

	usual, high := s.steady(usualShare), s.steady(peakShare)
	x.peak = build("peak", usualLate, load{
		length: peakLength, peak: high(0, 0), deadline: shortDeadline,
		rate: func(i int, t time.Duration) float64 {
			if t >= peakFrom && t < peakTo {
				return high(i, t)
			}
			return usual(i, t)
		},
	})

	few := s.steady(mixedShare)
	l := load{length: 180 * time.Second, rate: few, peak: few(0, 0), deadline: looseDeadline, longDeadline: longDeadline}
	x.short = build("short", usualLate, l)
	l.longShare = 0.05
	x.mixed = build("mixed", usualLate, l)

	l = load{length: 60 * time.Second, rate: usual, peak: usual(0, 0), deadline: looseDeadline}
	x.healthy = build("healthy", 2*time.Second, l)
	x.slow = build("slow", 2*time.Second, l)
	for i, t := 0, settle; t < l.length; i, t = i+1, t+8*time.Second {
		for j := range 2 {
			x.slow.stragglers = append(x.slow.stragglers, straggler{(i*5 + j*3) % s.engines, t, t + 2*time.Second})
		}
	}
	return x
}

// among counts the model requests sent in the period [from, to), and those of them that
// match.
func (w *world) among(from, to time.Duration, match func(*request) bool) (matching, all int) {
	for _, r := range w.requests {
		if r.model >= 0 && r.at >= from && r.at < to {
			all++
			if match(r) {
				matching++
			}
		}
	}
	return matching, all
}

// attained returns the fraction of requests sent in a period that met their deadline.
func (w *world) attained(from, to time.Duration) float64 {
	n, all := w.among(from, to, (*request).inTime)
	return float64(n) / float64(max(all, 1))
}

// perAccelerator returns the number of requests that met their deadline, per second and
// engine.
func (w *world) perAccelerator() float64 {
	n, _ := w.among(settle, w.scenario.length, (*request).inTime)
	return float64(n) / (w.scenario.length - settle).Seconds() / float64(w.site.engines)
}

// useful returns the goodput in a period as a fraction of the capacity: the work of
// requests that completed in the period and met their deadline.
func (w *world) useful(from, to time.Duration) float64 {
	var units float64
	for _, r := range w.requests {
		if r.model >= 0 && r.inTime() && r.ended >= from && r.ended < to {
			units += r.units
		}
	}
	return units / (w.site.capacity() * (to - from).Seconds())
}

// quantile returns the q-th percentile of a duration over the requests that match,
// excluding the warm-up.
func (w *world) quantile(q float64, match func(*request) bool, of func(*request) time.Duration) time.Duration {
	h := hdr.New(1, time.Hour.Microseconds(), 3)
	for _, r := range w.requests {
		if r.model >= 0 && r.at >= settle && match(r) {
			_ = h.RecordValue(max(1, of(r).Microseconds()))
		}
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// refusalTime returns the 99th percentile, in milliseconds, of the time that an entry
// instance takes to refuse a request.
func (w *world) refusalTime() float64 {
	d := w.quantile(99, func(r *request) bool { return r.outcome == refused },
		func(r *request) time.Duration { return r.took() - 2*w.site.clientDelay })
	return float64(d) / 1e6
}

// short99 returns the 99th percentile of the response time of short requests, in
// milliseconds.
func (w *world) short99() float64 {
	d := w.quantile(99, func(r *request) bool { return !r.long }, (*request).took)
	return float64(d) / 1e6
}

// longSlowdown returns the 95th percentile of the slowdown of long requests, that is,
// their response time divided by their service time on an idle engine.
func (w *world) longSlowdown() float64 {
	d := w.quantile(95, func(r *request) bool { return r.long }, func(r *request) time.Duration {
		alone := (float64(r.prompt)/unitTokens + float64(r.tokens)) * tokenTime.Seconds()
		return time.Duration(r.took().Seconds() / alone * float64(time.Second))
	})
	return d.Seconds()
}

// extra returns the work of attempts whose result was not used, relative to the work of
// those whose result was.
func (w *world) extra() float64 {
	var units float64
	for _, r := range w.requests {
		units += r.units
	}
	return w.totals.units/units - 1
}

// measureAll runs the measures whose numbers are in only, or all if it is empty. It
// returns the rows of the table and the simulation runs.
func measureAll(list []*site, seed uint64, only []int) ([]row, []*study) {
	var all []*study
	var later []func() []row
	for _, s := range list {
		x := s.scenarios(seed)
		group := func(sc *scenario, more ...policy) []*study {
			var out []*study
			for _, p := range slices.Concat([]policy{ownPolicy()}, baselines(), more) {
				out = append(out, &study{s: s, p: p, sc: sc})
			}
			all = append(all, out...)
			return out
		}
		for i, prepare := range []func() func() []row{
			func() func() []row {
				a := group(x.swing, demandPolicy(), clairvoyantPolicy())
				return func() []row { return swingRows(s, a) }
			},
			func() func() []row {
				a := group(x.peak, clairvoyantPolicy())
				return func() []row { return peakRows(s, a) }
			},
			func() func() []row {
				a, b := group(x.short), group(x.mixed)
				return func() []row { return blockingRows(s, a, b) }
			},
			func() func() []row {
				a, b := group(x.healthy), group(x.slow)
				return func() []row { return tailRows(s, a, b) }
			},
		} {
			if len(only) == 0 || slices.Contains(only, i+1) {
				later = append(later, prepare())
			}
		}
	}
	runAll(all)
	var rows []row
	for _, f := range later {
		rows = append(rows, f()...)
	}
	return rows, all
}

func swingRows(s *site, list []*study) []row {
	attain := block{site: s.name, measure: "1 attainment", unit: "in time/s/accelerator", higher: true, aim: 0.95, of: ofBound}
	loads := block{site: s.name, measure: "1 model loads", unit: "loads", aim: 1.0 / 3, of: ofBaseline}
	adapter := block{site: s.name, measure: "1 adapter loads", unit: "loads"}
	for _, st := range list {
		attain.add(st.p.name, st.w.perAccelerator())
		if st.p.planner {
			adapter.add(st.p.name, float64(st.w.totals.adapterLoads))
		}
		if st.p.planner || st.p.onDemand {
			loads.add(st.p.name, float64(st.w.totals.loads))
		}
	}
	return append(append(attain.rows(), loads.rows()...), adapter.rows()...)
}

func peakRows(s *site, list []*study) []row {
	work := block{
		site: s.name, measure: "2 useful work at the peak", unit: "share of capacity",
		higher: true, aim: 0.9, bound: 1, of: ofBound,
	}
	after := block{
		site: s.name, measure: "2 attainment after / before the peak", unit: "ratio",
		higher: true, aim: 0.95, bound: 1, of: ofBound,
	}
	refusal := block{site: s.name, measure: "2 refusal p99", unit: "ms", aim: 10, of: ofValue}
	for _, st := range list {
		work.add(st.p.name, st.w.useful(peakFrom, peakTo))
		before := st.w.attained(settle, peakFrom-shortDeadline)
		after.add(st.p.name, st.w.attained(peakTo+shortDeadline, peakLength-shortDeadline)/before)
		if st.p.admission {
			refusal.add(st.p.name, st.w.refusalTime())
		}
	}
	return append(append(work.rows(), after.rows()...), refusal.rows()...)
}

func blockingRows(s *site, without, with []*study) []row {
	short := block{site: s.name, measure: "3 short p99 with / without long jobs", unit: "ratio", aim: 1.5, of: ofValue}
	millis := block{site: s.name, measure: "3 short p99 beside long jobs", unit: "ms"}
	long := block{site: s.name, measure: "3 long p95 / alone", unit: "ratio", aim: 2, of: ofValue}
	for i, st := range with {
		short.add(st.p.name, st.w.short99()/without[i].w.short99())
		millis.add(st.p.name, st.w.short99())
		long.add(st.p.name, st.w.longSlowdown())
	}
	return append(append(short.rows(), millis.rows()...), long.rows()...)
}

func tailRows(s *site, healthy, slow []*study) []row {
	tail := block{site: s.name, measure: "4 p99 with stragglers / healthy", unit: "ratio", aim: 2, of: ofValue}
	millis := block{site: s.name, measure: "4 p99 with stragglers", unit: "ms"}
	extra := block{site: s.name, measure: "4 extra work of hedges", unit: "share", aim: 0.05, of: ofValue}
	for i, st := range slow {
		tail.add(st.p.name, st.w.short99()/healthy[i].w.short99())
		millis.add(st.p.name, st.w.short99())
		if st.p.hedge {
			extra.add(st.p.name, st.w.extra())
		}
	}
	return append(append(tail.rows(), millis.rows()...), extra.rows()...)
}

// summary returns a line with the outcomes and counters of the run.
func (st *study) summary() string {
	var n [4]int
	for _, r := range st.w.requests {
		n[r.outcome]++
	}
	return fmt.Sprintf("%-7s %-8s %-14s requests %6d completed %6d refused %5d timed out %5d, loads %d+%d, hedges %d, p99 %.0f ms, in time %.4f",
		st.s.name, st.sc.name, st.p.name, len(st.w.requests), n[completed], n[refused], n[timedOut],
		st.w.totals.loads, st.w.totals.adapterLoads, st.w.totals.hedges, st.w.short99(), st.w.attained(settle, st.sc.length))
}

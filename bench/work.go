package main

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minTokens, maxTokens and meanTokens describe the output length of short requests.
	// declaredTokens is the maximum that the client declares in the request.
	minTokens, maxTokens = 16, 80
	meanTokens           = (minTokens + maxTokens) / 2
	declaredTokens       = 96
	// minPrompt, maxPrompt and meanPrompt describe the prompt length in tokens.
	minPrompt, maxPrompt = 240, 400
	meanPrompt           = (minPrompt + maxPrompt) / 2
	// promptTokensPerUnit is the number of prompt tokens that cost as much as one output
	// token, which is one unit of work. With a cached prefix, the prompt costs only
	// cachedShare of this.
	promptTokensPerUnit = 16
	cachedShare         = 0.125
	// bytesPerToken is the length of a prompt token in bytes.
	bytesPerToken = 4
	// prefixesPerModel is the number of distinct prompt prefixes per model.
	prefixesPerModel = 24
	// adapterShare is the fraction of requests that use an adapter, for models that have any.
	adapterShare = 0.5
	// longFactor is the ratio of the output length of long requests to that of short ones.
	longFactor = 50
	// plainShare is the rate of requests to the plain service, relative to half of the rate
	// of model requests that the engines can serve.
	plainShare = 0.1
)

// arrival is a request as sent by a client.
type arrival struct {
	at time.Duration
	// model is the index of the model in the configuration; -1 is the plain service.
	model int
	// adapter is the index of the adapter in the model; -1 is none.
	adapter                    int
	prefix                     int
	promptTokens, outputTokens int
	declaredTokens             int
	long                       bool
	// deadline is relative to at.
	deadline time.Duration
	// fingerprint is the hash of the request fingerprint.
	fingerprint uint64
}

// workload describes the arrival process of a scenario.
type workload struct {
	duration time.Duration
	// rate returns the request rate per second of a model at time t.
	rate func(model int, t time.Duration) float64
	// maxRate is an upper bound of rate, used for rejection sampling.
	maxRate      float64
	longShare    float64
	deadline     time.Duration
	longDeadline time.Duration
}

// arrivals generates the requests of a scenario, ordered by time.
func (d *deployment) arrivals(seed uint64, l workload) []arrival {
	var out []arrival
	for i := range d.cfg.Models {
		// Long requests are chosen with a separate generator for each model, so that
		// without them the short requests stay the same.
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		long := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		for t := nextInterval(rng, l.maxRate); t < l.duration; t += nextInterval(rng, l.maxRate) {
			a := d.newArrival(rng, i, t)
			a.deadline = l.deadline
			isLong := long.Float64() < l.longShare
			if rng.Float64()*l.maxRate >= l.rate(i, t) {
				continue
			}
			if isLong {
				a.long, a.deadline = true, l.longDeadline
				a.outputTokens, a.declaredTokens = a.outputTokens*longFactor, a.declaredTokens*longFactor
			}
			out = append(out, a)
		}
	}
	if d.plainReplicas > 0 {
		rng := rand.New(rand.NewPCG(seed, 5000))
		rate := plainShare * d.requestCapacity() / 2
		for t := nextInterval(rng, rate); t < l.duration; t += nextInterval(rng, rate) {
			out = append(out, arrival{
				at: t, model: -1, adapter: -1, outputTokens: 1, declaredTokens: 1, deadline: l.deadline, fingerprint: rng.Uint64(),
			})
		}
	}
	slices.SortStableFunc(out, func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
	return out
}

// newArrival returns a short request to a model at time t, without a deadline.
func (d *deployment) newArrival(rng *rand.Rand, model int, t time.Duration) arrival {
	a := arrival{at: t, model: model, adapter: -1, declaredTokens: declaredTokens, fingerprint: rng.Uint64()}
	// Squaring makes some prefixes much more frequent than others.
	a.prefix = int(math.Pow(rng.Float64(), 2) * prefixesPerModel)
	a.promptTokens = minPrompt + rng.IntN(maxPrompt-minPrompt+1)
	a.outputTokens = minTokens + rng.IntN(maxTokens-minTokens+1)
	pick := rng.Float64()
	if n := len(d.cfg.Models[model].Adapters); n > 0 && pick < adapterShare {
		a.adapter = int(pick / adapterShare * float64(n))
	}
	return a
}

// nextInterval returns an exponentially distributed interval, for Poisson arrivals at
// rate per second.
func nextInterval(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// constantRate returns a constant rate that is the same for all models and adds up to the
// given share of what the engines can serve.
func (d *deployment) constantRate(share float64) func(int, time.Duration) float64 {
	per := share * d.requestCapacity() / float64(len(d.cfg.Models))
	return func(int, time.Duration) float64 { return per }
}

// burst is a period in which the demand for a model is up to burstFactor times the base
// rate.
type burst struct{ from, to time.Duration }

const (
	burstFactor = 10
	// burstRamp is the time in which demand rises or falls at either end of a burst.
	// Bursts last minBurst to maxBurst, with pauses of meanBurstPause on average.
	burstRamp      = 2 * time.Second
	minBurst       = 8 * time.Second
	maxBurst       = 20 * time.Second
	meanBurstPause = 36 * time.Second
)

// burstyRate returns a rate with independent random bursts for each model, in which demand
// rises tenfold within seconds, and the maximum rate of a model. The mean of the total
// is about the given share of what the engines can serve.
func (d *deployment) burstyRate(seed uint64, share float64, length time.Duration) (rate func(int, time.Duration) float64, peak float64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	bursts := make([][]burst, len(d.cfg.Models))
	for i := range bursts {
		t := time.Duration(rng.ExpFloat64() * float64(meanBurstPause))
		for t < length {
			d := minBurst + time.Duration(rng.Int64N(int64(maxBurst-minBurst)))
			bursts[i] = append(bursts[i], burst{t, t + d})
			t += d + time.Duration(rng.ExpFloat64()*float64(meanBurstPause))
		}
	}
	factor := func(i int, t time.Duration) float64 {
		f := 1.0
		for _, b := range bursts[i] {
			in := min(t-b.from, b.to-t)
			f = max(f, 1+(burstFactor-1)*min(1, max(0, float64(in)/float64(burstRamp))))
		}
		return f
	}
	var sum float64
	n := 0
	for t := time.Duration(0); t < length; t += time.Second {
		n++
		for i := range bursts {
			sum += factor(i, t)
		}
	}
	base := share * d.requestCapacity() * float64(n) / sum
	return func(i int, t time.Duration) float64 { return base * factor(i, t) }, base * burstFactor
}

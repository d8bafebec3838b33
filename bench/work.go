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
	// unitTokens is the number of prompt tokens that cost as much as one output token,
	// which is one unit of work. With a cached prefix, the prompt costs only cachedShare
	// of this.
	unitTokens  = 16
	cachedShare = 0.125
	// bytesPerToken is the length of a prompt token in bytes.
	bytesPerToken = 4
	// prefixes is the number of distinct prompt prefixes per model.
	prefixes = 24
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
	adapter        int
	prefix         int
	prompt, tokens int
	declared       int
	long           bool
	// deadline is relative to at.
	deadline time.Duration
	// print is the hash of the request fingerprint.
	print uint64
}

// load describes the arrival process of a scenario.
type load struct {
	length time.Duration
	// rate returns the request rate per second of a model at time t.
	rate func(model int, t time.Duration) float64
	// peak is an upper bound of rate, used for rejection sampling.
	peak         float64
	longShare    float64
	deadline     time.Duration
	longDeadline time.Duration
}

// arrivals generates the requests of a scenario, ordered by time.
func (s *site) arrivals(seed uint64, l load) []arrival {
	var out []arrival
	for i := range s.cfg.Models {
		// Long requests are chosen with a separate generator for each model, so that
		// without them the short requests stay the same.
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		long := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		for t := next(rng, l.peak); t < l.length; t += next(rng, l.peak) {
			a := s.request(rng, i, t)
			a.deadline = l.deadline
			isLong := long.Float64() < l.longShare
			if rng.Float64()*l.peak >= l.rate(i, t) {
				continue
			}
			if isLong {
				a.long, a.deadline = true, l.longDeadline
				a.tokens, a.declared = a.tokens*longFactor, a.declared*longFactor
			}
			out = append(out, a)
		}
	}
	if s.plain > 0 {
		rng := rand.New(rand.NewPCG(seed, 5000))
		rate := plainShare * s.fits() / 2
		for t := next(rng, rate); t < l.length; t += next(rng, rate) {
			out = append(out, arrival{
				at: t, model: -1, adapter: -1, tokens: 1, declared: 1, deadline: l.deadline, print: rng.Uint64(),
			})
		}
	}
	slices.SortStableFunc(out, func(x, y arrival) int { return cmp.Compare(x.at, y.at) })
	return out
}

// request returns a short request to a model at time t, without a deadline.
func (s *site) request(rng *rand.Rand, model int, t time.Duration) arrival {
	a := arrival{at: t, model: model, adapter: -1, declared: declaredTokens, print: rng.Uint64()}
	// Squaring makes some prefixes much more frequent than others.
	a.prefix = int(math.Pow(rng.Float64(), 2) * prefixes)
	a.prompt = minPrompt + rng.IntN(maxPrompt-minPrompt+1)
	a.tokens = minTokens + rng.IntN(maxTokens-minTokens+1)
	pick := rng.Float64()
	if n := len(s.cfg.Models[model].Adapters); n > 0 && pick < adapterShare {
		a.adapter = int(pick / adapterShare * float64(n))
	}
	return a
}

// next returns an exponentially distributed interval, for Poisson arrivals at rate per second.
func next(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// steady returns a constant rate that is the same for all models and adds up to the
// given share of what the engines can serve.
func (s *site) steady(share float64) func(int, time.Duration) float64 {
	per := share * s.fits() / float64(len(s.cfg.Models))
	return func(int, time.Duration) float64 { return per }
}

// burst is a period in which the demand for a model is up to burstFactor times the base
// rate.
type burst struct{ from, to time.Duration }

const (
	burstFactor = 10
	// burstRamp is the time in which demand rises or falls at either end of a burst.
	// Bursts last burstShort to burstLong, with pauses of burstPause on average.
	burstRamp  = 2 * time.Second
	burstShort = 8 * time.Second
	burstLong  = 20 * time.Second
	burstPause = 36 * time.Second
)

// bursty returns a rate with independent random bursts for each model, in which demand
// rises tenfold within seconds, and the maximum rate of a model. The mean of the total
// is about the given share of what the engines can serve.
func (s *site) bursty(seed uint64, share float64, length time.Duration) (rate func(int, time.Duration) float64, peak float64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	bursts := make([][]burst, len(s.cfg.Models))
	for i := range bursts {
		t := time.Duration(rng.ExpFloat64() * float64(burstPause))
		for t < length {
			d := burstShort + time.Duration(rng.Int64N(int64(burstLong-burstShort)))
			bursts[i] = append(bursts[i], burst{t, t + d})
			t += d + time.Duration(rng.ExpFloat64()*float64(burstPause))
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
	base := share * s.fits() * float64(n) / sum
	return func(i int, t time.Duration) float64 { return base * factor(i, t) }, base * burstFactor
}

package route

import (
	"math"
	"time"
)

const (
	// Bucket i of the latency histogram ends at firstBucketEnd * bucketGrowth^i.
	firstBucketEnd = 100 * time.Microsecond
	bucketGrowth   = 1.15
	latencyBuckets = 104
	// minSamples is the number of samples below which no percentile is reported.
	minSamples = 40
	// decayThreshold is the total at which all counts are halved, so that old samples
	// lose weight and the percentile follows changes.
	decayThreshold = 2000
	// hedgeQuantile is the quantile of the time to first chunk after which a
	// request is hedged.
	hedgeQuantile = 0.95
)

var (
	bucketEnds      [latencyBuckets]time.Duration
	logBucketGrowth = math.Log(bucketGrowth)
)

func init() {
	for i := range bucketEnds {
		bucketEnds[i] = time.Duration(float64(firstBucketEnd) * math.Pow(bucketGrowth, float64(i)))
	}
}

// Latency is a histogram of a model's recent times to first chunk. The zero
// value is empty.
type Latency struct {
	counts [latencyBuckets]uint32
	total  uint32
}

// Add records a time to first chunk.
func (l *Latency) Add(d time.Duration) {
	i := 0
	if d > firstBucketEnd {
		i = min(int(math.Ceil(math.Log(float64(d)/float64(firstBucketEnd))/logBucketGrowth)), latencyBuckets-1)
	}
	l.counts[i]++
	l.total++
	if l.total < decayThreshold {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// HedgeDelay returns the hedging delay, which is the 95th percentile of the time
// to first chunk. It reports false while there are fewer than minSamples samples.
func (l *Latency) HedgeDelay() (time.Duration, bool) {
	if l.total < minSamples {
		return 0, false
	}
	rank := uint32(math.Ceil(float64(l.total) * hedgeQuantile))
	var sum uint32
	for i, n := range l.counts {
		if sum += n; sum >= rank {
			return bucketEnds[i], true
		}
	}
	return bucketEnds[latencyBuckets-1], true
}

// Budget is a token bucket that limits retries or hedges to a share of the requests.
type Budget struct {
	// tokens and burst are in hundredths of an attempt; tokens never exceeds burst.
	tokens uint64
	burst  uint64
}

// NewBudget returns a full budget with a capacity of burst attempts.
func NewBudget(burst int) *Budget {
	return &Budget{tokens: uint64(burst) * 100, burst: uint64(burst) * 100}
}

// Deposit adds percent hundredths of an attempt. It is called once per request.
func (b *Budget) Deposit(percent uint32) { b.tokens = min(b.tokens+uint64(percent), b.burst) }

// Withdraw takes one attempt from the budget and reports whether it held one.
func (b *Budget) Withdraw() bool {
	if b.tokens < 100 {
		return false
	}
	b.tokens -= 100
	return true
}

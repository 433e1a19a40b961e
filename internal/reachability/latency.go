package reachability

import (
	"math"
	"time"
)

const (
	// latencyBuckets is the number of buckets of a latency; each bound is latencyGrowth times the one before, from
	// firstBound on.
	latencyBuckets = 48
	latencyGrowth  = 1.25
	firstBound     = time.Millisecond
	// latencySamples is the number of observations after which the older ones count half.
	latencySamples = 2000
	// latencyQuantile is the share of the times that are not above the high one.
	latencyQuantile = 0.99
)

// latency is a distribution of times. Newer observations weigh more.
type latency struct {
	counts [latencyBuckets]float64
	total  float64
}

func (l *latency) observe(d time.Duration) {
	l.counts[bucketOf(d)]++
	l.total++
	if l.total < latencySamples {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(firstBound)) / math.Log(latencyGrowth))
	return min(int(i), latencyBuckets-1)
}

// high returns the time that latencyQuantile of the observations do not exceed, as the bound of a bucket; zero before
// the first observation.
func (l *latency) high() time.Duration {
	above := l.total * (1 - latencyQuantile)
	for i := latencyBuckets - 1; i >= 0; i-- {
		if above -= l.counts[i]; above < 0 {
			return time.Duration(float64(firstBound) * math.Pow(latencyGrowth, float64(i)))
		}
	}
	return 0
}

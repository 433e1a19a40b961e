package capacity

import (
	"math"
	"time"
)

const (
	// meterWindow is the time over which a rate is averaged. Growth is derived from the
	// difference between two consecutive windows.
	meterWindow    = 2 * time.Minute
	bucketDuration = 10 * time.Second
	// windowBuckets is the number of buckets in a window, all of them complete.
	windowBuckets = int(meterWindow / bucketDuration)
)

// Meter measures the demand of one fleet. It is not safe for concurrent use.
type Meter struct {
	fleet string
	// firstBucket is the number of the first bucket, zero before the first observation.
	firstBucket int64
	// buckets holds two windows and the current bucket, which is incomplete and not counted.
	buckets [2*windowBuckets + 1]bucket
}

// bucket sums the requests of one interval.
type bucket struct {
	number         int64
	requests       float64
	promptTokens   float64
	promptSquares  float64
	outputRequests float64
	outputTokens   float64
}

// NewMeter returns a meter for a fleet.
func NewMeter(fleet string) *Meter { return &Meter{fleet: fleet} }

// ObserveRequest counts a request and the prompt tokens computed for it.
func (m *Meter) ObserveRequest(now time.Time, promptTokens int) {
	b := m.bucket(now)
	tokens := float64(promptTokens)
	b.requests++
	b.promptTokens += tokens
	b.promptSquares += tokens * tokens
}

// ObserveAnswer counts the tokens of a finished answer.
func (m *Meter) ObserveAnswer(now time.Time, outputTokens int) {
	b := m.bucket(now)
	b.outputRequests++
	b.outputTokens += float64(outputTokens)
}

func (m *Meter) bucket(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketDuration)
	if m.firstBucket == 0 {
		m.firstBucket = number
	}
	b := &m.buckets[number%int64(len(m.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// Demand returns the demand over the last two complete windows: the rate in the later one, the
// growth between them beyond random variation, and the means over both. Until a window has passed
// since the first observation, the rate is that since then; until two have, the growth is zero.
func (m *Meter) Demand(now time.Time) Demand {
	current := now.UnixNano() / int64(bucketDuration)
	var sum bucket
	var newer, older float64
	for _, b := range m.buckets {
		age := int(current - b.number)
		if age < 1 || age > 2*windowBuckets {
			continue
		}
		if age <= windowBuckets {
			newer += b.requests
		} else {
			older += b.requests
		}
		sum.add(b)
	}
	d := sum.demand()
	d.Fleet = m.fleet
	age := int(current - m.firstBucket)
	if m.firstBucket == 0 || age < 1 {
		return d
	}
	d.RequestsPerSecond = newer / (float64(min(age, windowBuckets)) * bucketDuration.Seconds())
	if age >= 2*windowBuckets {
		d.Growth = significantChange(older, newer) / meterWindow.Seconds() / meterWindow.Seconds()
	}
	return d
}

// significantChange returns the change between two counts of Poisson arrivals, reduced by the
// part that random variation explains.
func significantChange(older, newer float64) float64 {
	const deviations = 2
	noise := deviations * math.Sqrt(older+newer)
	change := newer - older
	if math.Abs(change) <= noise {
		return 0
	}
	return change - math.Copysign(noise, change)
}

func (b *bucket) add(other bucket) {
	b.requests += other.requests
	b.promptTokens += other.promptTokens
	b.promptSquares += other.promptSquares
	b.outputRequests += other.outputRequests
	b.outputTokens += other.outputTokens
}

func (b *bucket) demand() Demand {
	var d Demand
	if b.promptTokens > 0 {
		d.PromptTokens = b.promptTokens / b.requests
		d.PromptVariation = max(b.promptSquares*b.requests/(b.promptTokens*b.promptTokens)-1, 0)
	}
	if b.outputRequests > 0 {
		d.OutputTokens = b.outputTokens / b.outputRequests
	}
	return d
}

package capacity

import (
	"math"
	"time"
)

const (
	// meterWindow is the time over which a rate is averaged; growth compares two of them.
	meterWindow = 2 * time.Minute
	bucketTime  = 10 * time.Second
	// windowBuckets are the buckets of one window.
	windowBuckets = int(meterWindow / bucketTime)
)

// Meter measures the demand of one fleet. It is not safe for use from several
// goroutines.
type Meter struct {
	fleet string
	// began is the first bucket's number, zero before the first request.
	began int64
	// One bucket more than two windows: the current one does not count yet.
	buckets [2*windowBuckets + 1]bucket
}

// bucket sums the requests of one span of time.
type bucket struct {
	number         int64
	requests       float64
	promptTokens   float64
	promptSquares  float64
	outputRequests float64
	outputTokens   float64
}

// NewMeter makes a meter for a fleet.
func NewMeter(fleet string) *Meter { return &Meter{fleet: fleet} }

// ObserveRequest counts a request with the prompt tokens that it has computed.
func (m *Meter) ObserveRequest(now time.Time, promptTokens int) {
	b := m.bucket(now)
	tokens := float64(promptTokens)
	b.requests++
	b.promptTokens += tokens
	b.promptSquares += tokens * tokens
}

// ObserveAnswer counts the tokens of an answer that has ended.
func (m *Meter) ObserveAnswer(now time.Time, outputTokens int) {
	b := m.bucket(now)
	b.outputRequests++
	b.outputTokens += float64(outputTokens)
}

func (m *Meter) bucket(now time.Time) *bucket {
	number := now.UnixNano() / int64(bucketTime)
	if m.began == 0 {
		m.began = number
	}
	b := &m.buckets[number%int64(len(m.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// Demand is the demand over the last two full windows: the rate of the later one, the
// growth between them and the means of both. A meter that is younger than two windows
// does not know the growth.
func (m *Meter) Demand(now time.Time) Demand {
	current := now.UnixNano() / int64(bucketTime)
	var sum bucket
	var late, early float64
	for _, b := range m.buckets {
		age := int(current - b.number)
		if age < 1 || age > 2*windowBuckets {
			continue
		}
		if age <= windowBuckets {
			late += b.requests
		} else {
			early += b.requests
		}
		sum.add(b)
	}
	d := sum.demand()
	d.Fleet = m.fleet
	age := int(current - m.began)
	if m.began == 0 || age < 1 {
		return d
	}
	d.RequestsPerSecond = late / (float64(min(age, windowBuckets)) * bucketTime.Seconds())
	if age >= 2*windowBuckets {
		d.Growth = sureChange(early, late) / meterWindow.Seconds() / meterWindow.Seconds()
	}
	return d
}

// sureChange is the change between two counts of Poisson arrivals, less what chance
// explains.
func sureChange(early, late float64) float64 {
	const deviations = 2
	chance := deviations * math.Sqrt(early+late)
	change := late - early
	if math.Abs(change) <= chance {
		return 0
	}
	return change - math.Copysign(chance, change)
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

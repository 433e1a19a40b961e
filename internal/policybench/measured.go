package policybench

import (
	"slices"
	"time"

	"rattanchute/internal/route"
)

// measured counts events of the measured time, but failed attempts of the whole run. A request
// counts as good, refused, late or failed if it arrived in the measured time, even if it ends
// later.
type measured struct {
	clock          *clock
	start          time.Time
	offered        int
	good           int
	inTarget       int
	refused        int
	lateCount      int
	failedCount    int
	failedAttempts int
	attempts       int
	priceSum       float64
	computed       int
	recomputed     int
	firstTokens    []time.Duration
	offeredBy      map[string]int
	goodBy         map[string]int
	ended          int
	// onEnd, if set, is called after each request has ended.
	onEnd func()
}

// Result holds the figures of one run of a policy.
type Result struct {
	// Goodput is the number of requests per second that arrived in the measured time and were
	// answered completely, the first token before the caller gave up.
	Goodput float64
	// Throughput is the number of answers per second that ended in the measured time.
	Throughput float64
	// InTarget is the fraction of the answers counted in Goodput whose first token met the
	// target.
	InTarget float64
	// P95 is the 95th percentile of the time to first token of the answers counted in Goodput,
	// in seconds.
	P95 float64
	// Recomputed is the number of tokens of prompts and of delivered output that engines
	// computed again, per offered request.
	Recomputed float64
	// Refused, Late and Failed are fractions of the offered requests.
	Refused float64
	Late    float64
	Failed  float64
	// FailedAttempts is the number of failed attempts in the whole run, per offered request.
	FailedAttempts float64
	// Price is the mean hourly price of the hosts over the attempts of the measured time, in
	// thousandths of the currency unit.
	Price float64
	// ServedBy is the fraction of each organisation's requests that is counted in Goodput.
	ServedBy map[string]float64
}

func newMeasured(c *clock) *measured {
	return &measured{clock: c, start: epoch.Add(warmUp), offeredBy: make(map[string]int), goodBy: make(map[string]int)}
}

func (m *measured) counts(r *request) bool { return m.within(r.arrived) }

func (m *measured) running() bool { return m.within(m.clock.now) }

func (m *measured) within(at time.Time) bool {
	return !at.Before(m.start) && at.Before(m.start.Add(measuredTime))
}

func (m *measured) offer(r *request) {
	if m.counts(r) {
		m.offered++
		m.offeredBy[r.organisation]++
	}
}

func (m *measured) requestEnded() {
	if m.onEnd != nil {
		m.clock.after(time.Millisecond, m.onEnd)
	}
}

func (m *measured) refuse(r *request) {
	if m.counts(r) {
		m.refused++
	}
	m.requestEnded()
}

func (m *measured) late(r *request) {
	if m.counts(r) {
		m.lateCount++
	}
	m.requestEnded()
}

func (m *measured) fail(r *request) {
	if m.counts(r) {
		m.failedCount++
	}
	m.requestEnded()
}

func (m *measured) attempt(choice route.Choice, price int64) {
	if m.running() {
		m.attempts++
		m.priceSum += float64(price)
	}
}

func (m *measured) prefill(computed, again int) {
	if m.running() {
		m.computed += computed
		m.recomputed += again
	}
}

func (m *measured) complete(r *request) {
	if m.running() {
		m.ended++
	}
	if m.counts(r) {
		m.good++
		m.goodBy[r.organisation]++
		m.firstTokens = append(m.firstTokens, r.first)
		if r.first <= route.FirstTokenTarget {
			m.inTarget++
		}
	}
	m.requestEnded()
}

func (m *measured) result(rate float64) Result {
	seconds := measuredTime.Seconds()
	offered := float64(max(m.offered, 1))
	result := Result{
		Goodput:        float64(m.good) / seconds,
		Throughput:     float64(m.ended) / seconds,
		InTarget:       float64(m.inTarget) / float64(max(m.good, 1)),
		P95:            percentile(m.firstTokens, 0.95).Seconds(),
		Recomputed:     float64(m.recomputed) / offered,
		Refused:        float64(m.refused) / offered,
		Late:           float64(m.lateCount) / offered,
		Failed:         float64(m.failedCount) / offered,
		FailedAttempts: float64(m.failedAttempts) / offered,
		Price:          m.priceSum / float64(max(m.attempts, 1)),
		ServedBy:       make(map[string]float64),
	}
	for name, count := range m.offeredBy {
		result.ServedBy[name] = float64(m.goodBy[name]) / float64(count)
	}
	return result
}

func percentile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}

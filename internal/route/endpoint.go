package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/engine"
)

const (
	// maxReportAge is how long a load report is believed.
	maxReportAge = 10 * time.Second
	// defaultPrefillRate is used until an engine has reported its own, in tokens a second.
	defaultPrefillRate = 4000
	// defaultDuration is how long a request holds a slot until some have ended.
	defaultDuration = 2 * time.Second
	// durationWeight is the weight of a new sample in the mean duration.
	durationWeight = 0.1
	// logisticScale is that of a logistic distribution with standard deviation 1.
	logisticScale = 0.55
	// maxLogistic is the number of scales beyond which the distribution is cut off.
	maxLogistic = 8
	// failurePenalty is added to the expected first token for each consecutive failure.
	failurePenalty = 250 * time.Millisecond
)

// endpointState is what changes about one endpoint. It outlives configurations.
type endpointState struct {
	inFlight     atomic.Int32
	failures     atomic.Int32
	ejectedUntil atomic.Int64 // Unix nanoseconds
	report       atomic.Pointer[report]
	duration     atomic.Uint64 // bits of a float64, seconds
	wanted       atomic.Int64  // Unix nanoseconds of the last choice that weighed the load
	polled       atomic.Int64  // Unix nanoseconds of the last poll that was asked for

	mu        sync.Mutex
	ejections int
}

// report is an engine's load with the requests of this node that it already counts.
type report struct {
	load     engine.Load
	inFlight int32
	received time.Time
}

func (s *endpointState) observe(now time.Time, load engine.Load) {
	next := &report{load: load, inFlight: s.inFlight.Load(), received: now}
	for {
		last := s.report.Load()
		if last.supersedes(next) {
			return
		}
		if s.report.CompareAndSwap(last, next) {
			return
		}
	}
}

func (s *endpointState) observeDuration(d time.Duration) {
	if d <= 0 {
		return
	}
	sample := d.Seconds()
	for {
		old := s.duration.Load()
		mean := sample
		if old != 0 {
			mean = math.Float64frombits(old)*(1-durationWeight) + sample*durationWeight
		}
		if s.duration.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

func (s *endpointState) meanDuration() float64 {
	if bits := s.duration.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return defaultDuration.Seconds()
}

func (s *endpointState) ejected(now time.Time) bool {
	return s.ejectedUntil.Load() > now.UnixNano()
}

// estimate is an endpoint's load as this node sees it at one moment.
type estimate struct {
	// requests running and queued.
	requests float64
	// settled is what the requests have probably come to since the report.
	settled float64
	// queuedTokens are prompt tokens that wait to be computed.
	queuedTokens float64
	prefillRate  float64
	slots        float64
	// age is how long ago the load was reported.
	age time.Duration
}

// estimate corrects the last report by this node's requests begun and ended since. The
// older it is, against the time that a request runs, the more the load has settled at the
// mean; without a report young enough, an endpoint counts as loaded as the mean.
func (s *endpointState) estimate(now time.Time, mean float64, slots int, prompt float64) estimate {
	own := s.inFlight.Load()
	last := s.report.Load()
	e := estimate{prefillRate: defaultPrefillRate, slots: float64(slots)}
	if last != nil && last.load.TokensPerSecond > 0 {
		e.prefillRate = last.load.TokensPerSecond
	}
	if last != nil && last.load.Slots > 0 {
		e.slots = float64(last.load.Slots)
	}
	if last == nil || now.Sub(last.received) > maxReportAge {
		e.requests = max(float64(own), mean)
		e.settled = e.requests
		return e
	}
	since := float64(own - last.inFlight)
	e.age = now.Sub(last.received)
	e.requests = max(float64(last.load.Running+last.load.Queued)+since, float64(own))
	lives := e.age.Seconds() / s.meanDuration()
	kept := math.Exp(-lives * lives)
	e.settled = mean + (e.requests-mean)*kept
	e.queuedTokens = float64(last.load.QueuedTokens)*kept + max(since, 0)*prompt
	return e
}

// lastRequests is the last report with this node's requests begun and ended since.
func (s *endpointState) lastRequests(now time.Time) int32 {
	own := s.inFlight.Load()
	last := s.report.Load()
	if last == nil || now.Sub(last.received) > maxReportAge {
		return own
	}
	return max(int32(last.load.Running+last.load.Queued)+own-last.inFlight, own)
}

// prefill is how long the endpoint computes prompt tokens.
func (e *estimate) prefill(tokens float64) time.Duration {
	return time.Duration(tokens / e.prefillRate * float64(time.Second))
}

// wait is the expected time until the endpoint begins with one more prompt.
func (e *estimate) wait(duration float64) time.Duration {
	queued := e.excess(duration) / e.slots * duration
	return e.prefill(e.queuedTokens) + time.Duration(queued*float64(time.Second))
}

// excess is the expected number of requests without a slot, one more included. The older
// the report, the less certain the load: about as many requests have come and gone as
// end in that time.
func (e *estimate) excess(duration float64) float64 {
	over := e.settled + 1 - e.slots
	scale := logisticScale * math.Sqrt(2*e.age.Seconds()*e.requests/duration)
	if scale*maxLogistic <= math.Abs(over) {
		return max(over, 0)
	}
	return scale * math.Log1p(math.Exp(over/scale))
}

// supersedes reports whether a report that came in later was made earlier or is the
// same one again, which says nothing of the requests begun since. Past its age a report
// counts for nothing, also when the engine's clock was set back.
func (last *report) supersedes(next *report) bool {
	if last == nil || next.received.Sub(last.received) > maxReportAge {
		return false
	}
	return !next.load.At.After(last.load.At) && !next.load.At.IsZero()
}

package route

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/engine"
)

const (
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 10 * time.Second
	// defaultPrefillTokensPerSecond is used while the engine's last report contains no rate.
	defaultPrefillTokensPerSecond = 4000
	// defaultRequestDuration is the assumed time that a request holds a slot, until a measured
	// duration is known.
	defaultRequestDuration = 2 * time.Second
	// durationWeight is the weight of a new sample in the moving average of the duration.
	durationWeight = 0.1
	// unitLogisticScale is the scale of a logistic distribution with standard deviation 1.
	unitLogisticScale = 0.55
	// logisticCutoff is the distance from the mean, in scales, beyond which the tail of the
	// distribution is neglected.
	logisticCutoff = 8
	// failurePenalty is added to the expected time to first token for each consecutive failure.
	failurePenalty = 250 * time.Millisecond
)

// endpointState is the mutable state of an endpoint. It is kept across configurations.
type endpointState struct {
	inFlight     atomic.Int32
	failures     atomic.Int32
	ejectedUntil atomic.Int64 // Unix nanoseconds
	report       atomic.Pointer[report]
	duration     atomic.Uint64 // bits of a float64, seconds
	loadUsed     atomic.Int64  // Unix nanoseconds of the last choice that used the load
	polledAt     atomic.Int64  // Unix nanoseconds of the last requested poll

	// signals is what the endpoint said in its responses about further requests.
	signals signalState

	mu        sync.Mutex
	ejections int
}

// report is an engine's load report, with the number of requests that this node had in flight
// when it was received. The report is taken to include these.
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
	return defaultRequestDuration.Seconds()
}

func (s *endpointState) ejected(now time.Time) bool {
	return s.ejectedUntil.Load() > now.UnixNano()
}

// estimate is the load of an endpoint as this node estimates it.
type estimate struct {
	// requests is the number of requests running and queued.
	requests float64
	// expectedRequests is requests with the expected drift towards the mean since the report.
	expectedRequests float64
	// queuedTokens are the prompt tokens that wait for prefill.
	queuedTokens float64
	prefillRate  float64
	slots        float64
	// age is the age of the load report.
	age time.Duration
}

// estimate corrects the last report by the requests that this node has started and ended since. The
// older the report is, compared with the mean duration of a request, the closer the expected
// number of requests is to the mean over all endpoints. Without a recent report an endpoint is
// taken to have the mean load, but at least the requests of this node.
func (s *endpointState) estimate(now time.Time, mean float64, slots int, meanPrompt float64) estimate {
	own := s.inFlight.Load()
	last := s.report.Load()
	e := estimate{prefillRate: defaultPrefillTokensPerSecond, slots: float64(slots)}
	if last != nil && last.load.TokensPerSecond > 0 {
		e.prefillRate = last.load.TokensPerSecond
	}
	if last != nil && last.load.Slots > 0 {
		e.slots = float64(last.load.Slots)
	}
	if last == nil || now.Sub(last.received) > maxReportAge {
		e.requests = max(float64(own), mean)
		e.expectedRequests = e.requests
		return e
	}
	ownDelta := float64(own - last.inFlight)
	e.age = now.Sub(last.received)
	e.requests = max(float64(last.load.Running+last.load.Queued)+ownDelta, float64(own))
	durations := e.age.Seconds() / s.meanDuration()
	weight := math.Exp(-durations * durations)
	e.expectedRequests = mean + (e.requests-mean)*weight
	e.queuedTokens = float64(last.load.QueuedTokens)*weight + max(ownDelta, 0)*meanPrompt
	return e
}

// knownRequests returns the number of requests in the last report, corrected by those that this
// node has started and ended since. Without a recent report only this node's requests are known.
func (s *endpointState) knownRequests(now time.Time) int32 {
	own := s.inFlight.Load()
	last := s.report.Load()
	if last == nil || now.Sub(last.received) > maxReportAge {
		return own
	}
	return max(int32(last.load.Running+last.load.Queued)+own-last.inFlight, own)
}

// prefill returns the time that the endpoint takes to compute prompt tokens.
func (e *estimate) prefill(tokens float64) time.Duration {
	return time.Duration(tokens / e.prefillRate * float64(time.Second))
}

// wait returns the expected time until the endpoint starts the prefill of one more prompt.
func (e *estimate) wait(duration float64) time.Duration {
	queued := e.expectedQueue(duration) / e.slots * duration
	return e.prefill(e.queuedTokens) + time.Duration(queued*float64(time.Second))
}

// expectedQueue returns the expected number of requests without a slot, with one more request
// included. The number of requests is taken as logistically distributed; its variance grows
// with the age of the report, because about as many requests start as end in that time.
func (e *estimate) expectedQueue(duration float64) float64 {
	meanExcess := e.expectedRequests + 1 - e.slots
	scale := unitLogisticScale * math.Sqrt(2*e.age.Seconds()*e.requests/duration)
	if scale*logisticCutoff <= math.Abs(meanExcess) {
		return max(meanExcess, 0)
	}
	return scale * math.Log1p(math.Exp(meanExcess/scale))
}

// supersedes reports whether next, which was received after last, must be ignored. This is so if
// next was generated before last or is the same report again, because then it lacks the requests
// that have started since last. A next report without a generation time is accepted. If last is
// older than maxReportAge, any report is accepted, also after the engine's clock was set back.
func (last *report) supersedes(next *report) bool {
	if last == nil || next.received.Sub(last.received) > maxReportAge {
		return false
	}
	return !next.load.At.After(last.load.At) && !next.load.At.IsZero()
}

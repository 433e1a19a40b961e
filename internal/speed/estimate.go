package speed

import (
	"math"
	"time"
)

const (
	// minSlowness and maxSlowness bound each of the two parts of an estimate.
	minSlowness = 0.25
	maxSlowness = 16.0
	// lastingWeight is the weight of the newest observation in the lasting slowness, once there were enough; before,
	// all observations count alike.
	lastingWeight = 0.05
	// maxChange bounds what one observation counts, as a logarithm: a moment that was not stated yet is no lasting one.
	maxChange = 0.4
	// confidence is the number of observations with which half of what they say is believed.
	confidence = 4
)

// Estimate is what is known of the slowness of one endpoint. The zero value is an endpoint that works as usual and
// has stated nothing.
type Estimate struct {
	// lasting is the mean of the logarithms of the lasting slowness over observations, at most 1/lastingWeight.
	lasting      float64
	observations float64
	// factor is the lasting slowness that is believed; zero before the first observation.
	factor float64
	// stated is the logarithm of the newest statement, and statedAt when it was made; zero before.
	stated   float64
	statedAt time.Time
	// unusualAt is when the endpoint last stated something that others are told, and fromGroup whether it stated the
	// newest to this host or to one that follows it.
	unusualAt time.Time
	fromGroup bool
	// direct is set if the newest statement was made to this host, and told is the percentage that others were told last.
	direct bool
	told   int
}

// State records that the endpoint stated its momentary slowness, 1 for as usual. Statements that are not newer than the
// last one or that make no sense are ignored. What the pair of statements says about their persistence is recorded if
// p is not nil.
func (e *Estimate) State(at time.Time, slowness float64, p *Persistence) {
	if !(slowness > 0) || math.IsInf(slowness, 1) || !at.After(e.statedAt) {
		return
	}
	stated := math.Log(clamp(slowness))
	if p != nil && !e.statedAt.IsZero() {
		p.Observe(e.stated, stated, at.Sub(e.statedAt))
	}
	e.stated, e.statedAt, e.fromGroup, e.direct = stated, at, true, true
	if math.Abs(stated) >= minReported {
		e.unusualAt = at
	}
}

// Observe records how long work of the endpoint took, as the ratio to what is usual, and the slowness of the moment
// while it ran.
func (e *Estimate) Observe(ratio, moment float64) {
	if !(ratio > 0) || !(moment > 0) || math.IsInf(ratio, 1) || math.IsInf(moment, 1) {
		return
	}
	e.observations = min(e.observations+1, 1/lastingWeight)
	change := math.Log(clamp(ratio/moment)) - e.lasting
	e.lasting += min(max(change, -maxChange), maxChange) / e.observations
	e.factor = math.Exp(e.lasting * e.observations / (e.observations + confidence))
}

// Lasting returns the lasting slowness, 1 as long as little is known.
func (e *Estimate) Lasting() float64 {
	if e.factor == 0 {
		return 1
	}
	return e.factor
}

// Moment returns the momentary slowness expected at a time: that stated, faded with its age.
func (e *Estimate) Moment(at time.Time, p *Persistence) float64 {
	if e.stated == 0 {
		return 1
	}
	return math.Exp(e.stated * p.Left(at.Sub(e.statedAt)))
}

// At returns the slowness expected at a time.
func (e *Estimate) At(at time.Time, p *Persistence) float64 { return e.Lasting() * e.Moment(at, p) }

// Stated reports whether the endpoint has stated its slowness within the retention before a time.
func (e *Estimate) Stated(now time.Time) bool {
	return !e.statedAt.IsZero() && now.Sub(e.statedAt) < retention
}

// retention is how long after its last statement an endpoint counts as one that states its slowness.
const retention = 30 * time.Second

func clamp(slowness float64) float64 { return min(max(slowness, minSlowness), maxSlowness) }

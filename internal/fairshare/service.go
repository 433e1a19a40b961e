package fairshare

import "time"

// service is what requests of a route to a fleet take on average.
type service struct {
	// seconds is how long one holds a slot, without waiting for it, and uncached the part of its prompt that the
	// endpoint computes.
	seconds, uncached float64
	// served is the number of requests in the averages.
	served int
}

const (
	// serviceWeight is the weight of the newest request in the averages of a route.
	serviceWeight = 0.05
	// undelayedPart is how full an endpoint and its fleet may be for a request not to be delayed, and delayedWeight
	// the weight of other requests, of which it isn't known how long they waited.
	undelayedPart = 0.75
	delayedWeight = 0.002
	// firstServed is the number of requests of a route that count alike, also delayed ones: the first is no better than
	// the next.
	firstServed = 20
	// maxServices bounds the routes that are remembered for a fleet; with more, all are learnt anew.
	maxServices = 4096
)

// Served is a request that an endpoint has answered.
type Served struct {
	Fleet, Route string
	// Seconds is how long it took from when it was sent. InFlight is the number of requests at the endpoint when
	// it was sent, and Slots the endpoint's number of slots.
	Seconds         float64
	InFlight, Slots int
	// PromptTokens is the length of the prompt, and UncachedTokens what the endpoint had to compute of it.
	PromptTokens, UncachedTokens int
}

// RecordServed records what a request took.
func (t *Table) RecordServed(now time.Time, s Served) {
	p, _ := t.pool(s.Fleet)
	if p == nil || s.Seconds < 0 {
		return
	}
	seconds, uncached := s.Seconds, 1.0
	if s.InFlight >= s.Slots && s.Slots > 0 {
		seconds *= float64(s.Slots) / float64(s.InFlight+1)
	}
	if s.PromptTokens > 0 {
		uncached = min(float64(s.UncachedTokens)/float64(s.PromptTokens), 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	weight := serviceWeight
	if float64(s.InFlight) > undelayedPart*float64(s.Slots) || p.meanFullness() > undelayedPart {
		weight = delayedWeight
	}
	v := p.services[s.Route]
	if v == nil {
		if len(p.services) >= maxServices {
			clear(p.services)
		}
		p.services[s.Route] = &service{seconds: seconds, uncached: uncached, served: 1}
		return
	}
	p.delay.record(now, s.Seconds, v.seconds)
	v.served++
	if v.served <= firstServed {
		weight = max(weight, 1/float64(v.served))
	}
	v.seconds += (seconds - v.seconds) * weight
	v.uncached += (uncached - v.uncached) * serviceWeight
}

// cost returns the cost of a request; zero before one of its route was served.
func (p *pool) cost(r *Request) Cost {
	v := p.services[r.Route]
	if v == nil {
		return Cost{}
	}
	return Cost{
		Slots:  v.seconds,
		Prompt: v.uncached * float64(r.PromptTokens),
		Memory: v.seconds * float64(r.PromptTokens+r.OutputTokens),
	}
}

// delay is by how much requests lately took longer than they do without a queue.
type delay struct {
	// ratio is the mean up to at.
	ratio float64
	at    time.Time
}

const (
	// delayWeight is the weight of the newest request in the mean.
	delayWeight = 0.03
	// maxDelayRatio bounds what one request counts.
	maxDelayRatio = 4
	// delayMaxAge is how long the mean counts without requests.
	delayMaxAge = 2 * time.Second
)

func (d *delay) record(now time.Time, seconds, undelayed float64) {
	if undelayed <= 0 {
		return
	}
	ratio := min(seconds/undelayed, maxDelayRatio)
	if now.Sub(d.at) > delayMaxAge {
		d.ratio = ratio
	}
	d.ratio += (ratio - d.ratio) * delayWeight
	d.at = now
}

// known returns the mean; false if there were no requests of late.
func (d *delay) known(now time.Time) (ratio float64, ok bool) {
	return d.ratio, now.Sub(d.at) <= delayMaxAge
}

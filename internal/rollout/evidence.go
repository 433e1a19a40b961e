package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is by how much a response takes longer than the old version's median to count as slow, and
	// slowMargin the least time by which it does.
	slowFactor = 3
	slowMargin = 40 * time.Millisecond
	// switchSlowFactor is used in its place while all requests go to the new version, whose endpoints get them all at
	// once and have cached no prompts.
	switchSlowFactor = 6
	// minReferences is the number of the old version's responses from which its median is used.
	minReferences = 8
	// keptReferences is the number of its last responses whose median is used.
	keptReferences = 41
	// lastingWeight and momentWeight are the weights of the newest response in the old version's part of bad responses:
	// as it is in general, and at this moment.
	lastingWeight = 1.0 / 60
	momentWeight  = 1.0 / 8
	// minOldRate is the least part of bad responses that is expected of the new version.
	minOldRate = 0.01
	// recentHalfLife is the half-life of the recent counts.
	recentHalfLife = 3 * time.Second
	// maxRoutes bounds the routes that are told apart; the others count together.
	maxRoutes  = 24
	otherRoute = "*"
)

// Counts are the responses of the new version: all, the bad ones, and how many bad ones the old version's responses at
// the same time let expect. Counts of several hosts add up.
type Counts struct {
	All      float64 `json:"n,omitempty"`
	Bad      float64 `json:"bad,omitempty"`
	Expected float64 `json:"exp,omitempty"`
}

func (c *Counts) add(o Counts) {
	c.All += o.All
	c.Bad += o.Bad
	c.Expected += o.Expected
}

func (c *Counts) scale(f float64) {
	c.All *= f
	c.Bad *= f
	c.Expected *= f
}

const (
	// minExcess is the number of unexpected bad responses that show a bad version, if they are at least
	// minExcessShare of all and the bad ones minRatio times the expected ones.
	minExcess      = 6
	minExcessShare = 0.08
	minRatio       = 3
	// minDeviations is by how many standard deviations of the expected number they must exceed it.
	minDeviations = 4
	// certainExcess shows it whatever the share, if the bad ones are certainRatio times the expected ones.
	certainExcess = 18
	certainRatio  = 2
	// suspectExcess and suspectShare are too little for that, but too much for a switch; recentExcess and recentShare are
	// the same for recent counts, which are few.
	suspectExcess = 3
	suspectShare  = 0.15
	recentExcess  = 1.4
	recentShare   = 0.2
)

// bad reports whether the counts show a bad version.
func (c Counts) bad() bool {
	excess := c.Bad - c.Expected
	if excess < minDeviations*math.Sqrt(c.Expected+1) {
		return false
	}
	if excess >= certainExcess && c.Bad >= certainRatio*c.Expected {
		return true
	}
	return excess >= minExcess && c.Bad >= minRatio*c.Expected && excess >= minExcessShare*c.All
}

func (c Counts) suspect() bool {
	excess := c.Bad - c.Expected
	return excess >= suspectExcess && excess >= suspectShare*c.All
}

// RouteCounts is the evidence of one route, since the order and of late.
type RouteCounts struct {
	Route  string `json:"route"`
	Since  Counts `json:"since"`
	Recent Counts `json:"recent"`
}

func (r *RouteCounts) add(o RouteCounts) {
	r.Since.add(o.Since)
	r.Recent.add(o.Recent)
}

// rounded returns the counts as they are sent.
func (r RouteCounts) rounded() RouteCounts {
	for _, n := range []*float64{&r.Since.Expected, &r.Recent.All, &r.Recent.Bad, &r.Recent.Expected} {
		*n = math.Round(*n*100) / 100
	}
	return r
}

// Verdict is what the evidence of all routes says.
type Verdict struct {
	Bad     bool
	Suspect bool
	// Reason names the counts behind a bad version.
	Reason string
	Total  RouteCounts
}

// judge returns the verdict on counts by route.
func judge(routes map[string]RouteCounts) Verdict {
	v := Verdict{Total: RouteCounts{Route: "all routes"}}
	check := func(r *RouteCounts) {
		recent := r.Recent.Bad - r.Recent.Expected
		v.Suspect = v.Suspect || r.Since.suspect() || recent >= recentExcess && recent >= recentShare*r.Recent.All
		for _, c := range []Counts{r.Since, r.Recent} {
			if c.bad() && !v.Bad {
				v.Bad = true
				v.Reason = fmt.Sprintf("bad responses on %s: %.0f of %.0f, expected %.1f", r.Route, c.Bad, c.All, c.Expected)
			}
		}
	}
	for _, r := range routes {
		v.Total.add(r)
	}
	check(&v.Total)
	for _, r := range routes {
		check(&r)
	}
	return v
}

// response is how an endpoint answered.
type response struct {
	failed bool
	// first is the time to the first event or to the whole response, and pace the mean time between events; zero
	// if there is none.
	first, pace time.Duration
	// warmingUp is set if the endpoint is slow because it has just started, and switched while all requests go to the
	// new version.
	warmingUp, switched bool
}

// routeEvidence is what this host knows of one route.
type routeEvidence struct {
	counts   RouteCounts
	recentAt time.Time
	// lasting and moment are the old version's part of bad responses in general and at this moment.
	lasting, moment float64
	first, pace     references
}

func newRouteEvidence(route string) *routeEvidence {
	return &routeEvidence{counts: RouteCounts{Route: route}}
}

func (e *routeEvidence) isBad(r *response) bool {
	if r.failed {
		return true
	}
	factor := time.Duration(slowFactor)
	if r.switched {
		factor = switchSlowFactor
	}
	return !r.warmingUp && (e.first.slow(r.first, factor) || e.pace.slow(r.pace, factor))
}

func (e *routeEvidence) observeOld(r *response) {
	bad := 0.0
	if e.isBad(r) {
		bad = 1
	}
	e.lasting += (bad - e.lasting) * lastingWeight
	e.moment += (bad - e.moment) * momentWeight
	if !r.failed {
		e.first.add(r.first)
		e.pace.add(r.pace)
	}
}

func (e *routeEvidence) observeNew(now time.Time, r *response) {
	c := Counts{All: 1, Expected: max(e.lasting, minOldRate)}
	if !r.switched {
		c.Expected = max(c.Expected, e.moment)
	}
	if e.isBad(r) {
		c.Bad = 1
	}
	e.fade(now)
	e.counts.Since.add(c)
	e.counts.Recent.add(c)
}

// fade reduces the recent counts by their age.
func (e *routeEvidence) fade(now time.Time) {
	if age := now.Sub(e.recentAt); !e.recentAt.IsZero() && age > 0 {
		e.counts.Recent.scale(math.Exp2(-float64(age) / float64(recentHalfLife)))
	}
	e.recentAt = now
}

// references are the last times of the old version.
type references struct {
	times  []time.Duration
	next   int
	median time.Duration
}

func (r *references) add(d time.Duration) {
	if d <= 0 {
		return
	}
	if len(r.times) < keptReferences {
		r.times = append(r.times, d)
	} else {
		r.times[r.next] = d
		r.next = (r.next + 1) % keptReferences
	}
	// The median changes little from one response to the next.
	if len(r.times) < keptReferences || r.next%4 == 0 {
		var buffer [keptReferences]time.Duration
		sorted := buffer[:copy(buffer[:], r.times)]
		slices.Sort(sorted)
		r.median = sorted[len(sorted)/2]
	}
}

func (r *references) slow(d, factor time.Duration) bool {
	return len(r.times) >= minReferences && d > factor*r.median && d > r.median+slowMargin
}

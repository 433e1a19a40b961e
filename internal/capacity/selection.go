package capacity

import (
	"cmp"
	"math"
	"slices"

	"rattanchute/internal/fleet"
)

// rateEpsilon absorbs rounding errors of sums, in requests per second.
const rateEpsilon = 1e-9

// need is what a set of hosts must serve, in requests per second.
type need struct {
	steady    float64
	afterLoss float64
	tolerance Tolerance
	// dataCentres is the number of data centres.
	dataCentres int
}

// candidate is a host and the request rate that it can serve.
type candidate struct {
	host *Host
	rate float64
	// dataCentre is the index of the host's data centre.
	dataCentre int
}

// lost returns the part of the host's rate that is lost if the loss that t names occurs in its data
// centre: all of it or zero.
func (c *candidate) lost(t Tolerance) float64 {
	switch {
	case t == ToleranceDataCentre:
		return c.rate
	case t == ToleranceReclaim && c.host.Kind == fleet.HostReclaimable:
		return c.rate
	default:
		return 0
	}
}

// selection is a set of hosts with their sums.
type selection struct {
	need       need
	candidates []candidate
	total      float64
	cost       int64
	// losses are the rates lost with each data centre, by its index.
	losses []float64
}

func newSelection(n need) *selection {
	return &selection{need: n, losses: make([]float64, n.dataCentres)}
}

func (s *selection) add(c candidate) {
	s.candidates = append(s.candidates, c)
	s.count(c, 1)
}

func (s *selection) count(c candidate, sign float64) {
	s.total += sign * c.rate
	s.cost += int64(sign) * c.host.PricePerHour
	s.losses[c.dataCentre] += sign * c.lost(s.need.tolerance)
}

// worstLoss returns the largest rate that is lost with one data centre.
func (s *selection) worstLoss() float64 {
	worst := 0.0
	for _, loss := range s.losses {
		worst = max(worst, loss)
	}
	return worst
}

// shortfall returns the rate missing in the steady state plus the rate missing after the worst
// loss.
func (s *selection) shortfall() float64 {
	missing := max(s.need.steady-s.total, 0) + max(s.need.afterLoss-(s.total-s.worstLoss()), 0)
	if missing < rateEpsilon {
		return 0
	}
	return missing
}

// trim drops hosts that are not needed, the most expensive first. Dropping a host only makes
// the others more necessary, so one pass is enough.
func (s *selection) trim() {
	missing := s.shortfall()
	slices.SortStableFunc(s.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.host.PricePerHour, a.host.PricePerHour), cmp.Compare(a.host.Name, b.host.Name))
	})
	kept := s.candidates[:0:0]
	for _, c := range s.candidates {
		s.count(c, -1)
		if s.shortfall() <= missing+rateEpsilon {
			continue
		}
		s.count(c, 1)
		kept = append(kept, c)
	}
	s.candidates = kept
}

// betterThan prefers the smaller shortfall, then the lower cost.
func (s *selection) betterThan(other *selection) bool {
	if other == nil {
		return true
	}
	a, b := s.shortfall(), other.shortfall()
	if a < b-rateEpsilon || b < a-rateEpsilon {
		return a < b
	}
	return s.cost < other.cost
}

func (s *selection) contains(host string) bool {
	return slices.ContainsFunc(s.candidates, func(c candidate) bool { return c.host.Name == host })
}

// cheapest returns hosts that meet the need or come close to it, starting from those in base. For
// each bound on the rate that may be lost with one data centre, it adds hosts in order of price per
// rate and drops those not needed; it returns the best result over all bounds. With a single
// machine class, no base and ToleranceDataCentre, this is the cheapest set that meets the need, if
// any does.
func cheapest(n need, base, more []candidate) *selection {
	ranked := slices.Clone(more)
	slices.SortStableFunc(ranked, compareValue)
	var best *selection
	for _, bound := range bounds(n, base, ranked) {
		s, bounded := fill(n, base, ranked, bound)
		if s.betterThan(best) {
			best = s
		}
		if !bounded {
			break // a higher bound gives the same result
		}
	}
	return best
}

// compareValue orders by price per rate.
func compareValue(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(float64(a.host.PricePerHour)*b.rate, float64(b.host.PricePerHour)*a.rate),
		cmp.Compare(a.host.Name, b.host.Name),
	)
}

// bounds returns zero and, for each data centre, the rates that can be lost with it when its hosts
// are taken one by one: first those in base, then the ranked ones.
func bounds(n need, base, ranked []candidate) []float64 {
	sums := make([]float64, n.dataCentres)
	list := []float64{0}
	for _, c := range slices.Concat(base, ranked) {
		sums[c.dataCentre] += c.lost(n.tolerance)
		list = append(list, sums[c.dataCentre])
	}
	slices.Sort(list)
	list = slices.CompactFunc(list, func(a, b float64) bool { return math.Abs(b-a) < rateEpsilon })
	return n.worthwhile(list)
}

// worthwhile drops the bounds under which the other data centres could not carry the need after
// the loss of one, but keeps at least the last bound. Other tolerances keep all bounds.
func (n need) worthwhile(bounds []float64) []float64 {
	if n.tolerance != ToleranceDataCentre || n.dataCentres < 2 {
		return bounds
	}
	lowest := n.afterLoss / float64(n.dataCentres-1)
	first, _ := slices.BinarySearch(bounds, lowest-rateEpsilon)
	return bounds[min(first, len(bounds)-1):]
}

// fill adds ranked hosts to the base until the need is met, and drops those that are not needed;
// bounded reports whether the bound excluded any.
func fill(n need, base, ranked []candidate, bound float64) (s *selection, bounded bool) {
	s = newSelection(n)
	s.candidates = make([]candidate, 0, len(base)+len(ranked))
	for _, c := range base {
		s.add(c)
	}
	for _, c := range ranked {
		if s.shortfall() == 0 {
			break
		}
		if s.losses[c.dataCentre]+c.lost(n.tolerance) > bound+rateEpsilon {
			bounded = true
			continue
		}
		s.add(c)
	}
	s.trim()
	return s, bounded
}

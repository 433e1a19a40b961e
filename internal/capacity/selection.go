package capacity

import (
	"cmp"
	"math"
	"slices"

	"rattanchute/internal/fleet"
)

// rounding absorbs errors of summation, in requests a second.
const rounding = 1e-9

// need is what a set of hosts must serve, in requests a second.
type need struct {
	calm      float64
	afterLoss float64
	tolerance Tolerance
	// dataCentres is how many there are.
	dataCentres int
}

// offer is a host with what it serves.
type offer struct {
	host *Host
	rate float64
	// dataCentre is the index of the host's.
	dataCentre int
}

// lost is the rate that goes with the host when its data centre is lost.
func (o *offer) lost(t Tolerance) float64 {
	switch {
	case t == ToleranceDataCentre:
		return o.rate
	case t == ToleranceReclaim && o.host.Kind == fleet.HostReclaimable:
		return o.rate
	default:
		return 0
	}
}

// selection is a set of hosts with its sums.
type selection struct {
	need   need
	offers []offer
	total  float64
	cost   int64
	// losses are what goes with each data centre, by its index.
	losses []float64
}

func newSelection(n need) *selection {
	return &selection{need: n, losses: make([]float64, n.dataCentres)}
}

func (s *selection) add(o offer) {
	s.offers = append(s.offers, o)
	s.count(o, 1)
}

func (s *selection) count(o offer, sign float64) {
	s.total += sign * o.rate
	s.cost += int64(sign) * o.host.PricePerHour
	s.losses[o.dataCentre] += sign * o.lost(s.need.tolerance)
}

// worstLoss is the rate lost with the data centre that carries most.
func (s *selection) worstLoss() float64 {
	worst := 0.0
	for _, loss := range s.losses {
		worst = max(worst, loss)
	}
	return worst
}

// shortfall is what lacks when calm plus what lacks after the worst loss.
func (s *selection) shortfall() float64 {
	lack := max(s.need.calm-s.total, 0) + max(s.need.afterLoss-(s.total-s.worstLoss()), 0)
	if lack < rounding {
		return 0
	}
	return lack
}

// trim drops the dearest hosts that are not needed. Dropping a host only makes the
// others more needed, so one pass is enough.
func (s *selection) trim() {
	lacking := s.shortfall()
	slices.SortStableFunc(s.offers, func(a, b offer) int {
		return cmp.Or(cmp.Compare(b.host.PricePerHour, a.host.PricePerHour), cmp.Compare(a.host.Name, b.host.Name))
	})
	kept := s.offers[:0:0]
	for _, o := range s.offers {
		s.count(o, -1)
		if s.shortfall() <= lacking+rounding {
			continue
		}
		s.count(o, 1)
		kept = append(kept, o)
	}
	s.offers = kept
}

// betterThan prefers what lacks less, then what costs less.
func (s *selection) betterThan(other *selection) bool {
	if other == nil {
		return true
	}
	a, b := s.shortfall(), other.shortfall()
	if a < b-rounding || b < a-rounding {
		return a < b
	}
	return s.cost < other.cost
}

func (s *selection) contains(host string) bool {
	return slices.ContainsFunc(s.offers, func(o offer) bool { return o.host.Name == host })
}

// cheapest finds hosts that meet the need, beginning with those in base. For each
// bound on what one data centre may carry it adds hosts by price for their rate; the
// best over all bounds wins. With one machine class this is the cheapest set.
func cheapest(n need, base, more []offer) *selection {
	ranked := slices.Clone(more)
	slices.SortStableFunc(ranked, compareValue)
	var best *selection
	for _, bound := range bounds(n, base, ranked) {
		s, bounded := fill(n, base, ranked, bound)
		if s.betterThan(best) {
			best = s
		}
		if !bounded {
			break // a higher bound gives the same
		}
	}
	return best
}

// compareValue orders by price for the rate.
func compareValue(a, b offer) int {
	return cmp.Or(
		cmp.Compare(float64(a.host.PricePerHour)*b.rate, float64(b.host.PricePerHour)*a.rate),
		cmp.Compare(a.host.Name, b.host.Name),
	)
}

// bounds are the rates that a data centre can stand for when its hosts are taken in
// order of their value.
func bounds(n need, base, ranked []offer) []float64 {
	sums := make([]float64, n.dataCentres)
	list := []float64{0}
	for _, o := range slices.Concat(base, ranked) {
		sums[o.dataCentre] += o.lost(n.tolerance)
		list = append(list, sums[o.dataCentre])
	}
	slices.Sort(list)
	list = slices.CompactFunc(list, func(a, b float64) bool { return math.Abs(b-a) < rounding })
	return n.worthwhile(list)
}

// worthwhile leaves out the bounds under which the others could not carry the need if
// one data centre were lost, but for the last one.
func (n need) worthwhile(bounds []float64) []float64 {
	if n.tolerance != ToleranceDataCentre || n.dataCentres < 2 {
		return bounds
	}
	lowest := n.afterLoss / float64(n.dataCentres-1)
	first, _ := slices.BinarySearch(bounds, lowest-rounding)
	return bounds[min(first, len(bounds)-1):]
}

// fill adds hosts until the need is met; bounded tells whether the bound kept any out.
func fill(n need, base, ranked []offer, bound float64) (s *selection, bounded bool) {
	s = newSelection(n)
	s.offers = make([]offer, 0, len(base)+len(ranked))
	for _, o := range base {
		s.add(o)
	}
	for _, o := range ranked {
		if s.shortfall() == 0 {
			break
		}
		if s.losses[o.dataCentre]+o.lost(n.tolerance) > bound+rounding {
			bounded = true
			continue
		}
		s.add(o)
	}
	s.trim()
	return s, bounded
}

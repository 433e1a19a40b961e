package costbench

import (
	"slices"

	"github.com/alitto/pond/v2"
)

// RunSeries holds the results of one policy at one site, one for each seed.
type RunSeries struct {
	Site    Site
	Variant Variant
	Results []*Result
}

// Measure runs all variants at a site with the seeds 1 to seeds.
func Measure(pool pond.Pool, s Site, variants []Variant, seeds int) []RunSeries {
	list := make([]RunSeries, len(variants))
	group := pool.NewGroup()
	for i, v := range variants {
		list[i] = RunSeries{Site: s, Variant: v, Results: make([]*Result, seeds)}
		for seed := range seeds {
			group.Submit(func() { list[i].Results[seed] = Run(s, v, uint64(seed+1)) })
		}
	}
	if err := group.Wait(); err != nil {
		panic(err) // a task panicked: the decisions broke an invariant
	}
	return list
}

// Summary is a median with the lowest and the highest value. The median of an even number of
// values is the higher one of the two in the middle.
type Summary struct{ Median, Lowest, Highest float64 }

func summarise(values []float64) Summary {
	slices.Sort(values)
	return Summary{values[len(values)/2], values[0], values[len(values)-1]}
}

// Summarise summarises a figure over the seeds.
func (s *RunSeries) Summarise(figure func(*Result) float64) Summary {
	var values []float64
	for _, r := range s.Results {
		values = append(values, figure(r))
	}
	return summarise(values)
}

// Ratio summarises the ratio of a figure to that of another policy with the same seed. The
// other's figure counts as at least 1.
func (s *RunSeries) Ratio(other *RunSeries, figure func(*Result) float64) Summary {
	var values []float64
	for i, r := range s.Results {
		values = append(values, figure(r)/max(figure(other.Results[i]), 1))
	}
	return summarise(values)
}

// Sum adds up a figure over the seeds.
func (s *RunSeries) Sum(figure func(*Result) float64) float64 {
	sum := 0.0
	for _, r := range s.Results {
		sum += figure(r)
	}
	return sum
}

// The figures of a simulated day, for Summarise, Ratio and Sum.
func cost(r *Result) float64       { return r.Cost }
func overShare(r *Result) float64  { return r.OverShare() * 100 }
func missed(r *Result) float64     { return float64(r.Missed()) }
func recomputed(r *Result) float64 { return r.recomputed }
func starts(r *Result) float64     { return float64(r.starts) }
func refused(r *Result) float64    { return float64(r.refused) }
func peakHosts(r *Result) float64  { return float64(r.peakHosts) }
func shortPlans(r *Result) float64 { return float64(r.shortPlans) }
func stallSeconds(r *Result) float64 {
	return r.StallP95().Seconds()
}

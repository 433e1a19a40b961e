package policybench

import (
	"slices"
	"sync"

	"github.com/alitto/pond/v2"
)

// Suite runs scenarios over several seeds, each combination once.
type Suite struct {
	seeds int
	pool  pond.Pool

	mu         sync.Mutex
	runs       map[runKey][]Result
	capacities map[string]float64
}

type runKey struct {
	site     string
	scenario string
	variant  string
}

// NewSuite makes a suite that runs so many at once.
func NewSuite(seeds, workers int) *Suite {
	return &Suite{
		seeds: seeds, pool: pond.NewPool(workers),
		runs: make(map[runKey][]Result), capacities: make(map[string]float64),
	}
}

// capacity is the median of the answers a second that end while every slot is busy.
func (s *Suite) capacity(site *Site) float64 {
	if known, ok := s.capacities[site.Name]; ok {
		return known
	}
	var ended []float64
	for _, result := range s.seedRuns(site, closed, NoAdmission, 1) {
		ended = append(ended, result.Throughput)
	}
	s.capacities[site.Name] = median(ended)
	return s.capacities[site.Name]
}

// results are those of all seeds.
func (s *Suite) results(site *Site, scenario Scenario, variant Variant) []Result {
	key := runKey{site.Name, scenario.Name, variant.Name}
	if known, ok := s.runs[key]; ok {
		return known
	}
	rate := scenario.Load * s.capacity(site)
	s.runs[key] = s.seedRuns(site, scenario, variant, rate)
	return s.runs[key]
}

func (s *Suite) seedRuns(site *Site, scenario Scenario, variant Variant, rate float64) []Result {
	results := make([]Result, s.seeds)
	group := s.pool.NewGroup()
	for i := range results {
		group.Submit(func() {
			result := Run(site, scenario, variant, rate, uint64(i+1))
			s.mu.Lock()
			defer s.mu.Unlock()
			results[i] = result
		})
	}
	if err := group.Wait(); err != nil {
		panic(err)
	}
	return results
}

// values are a measure's over all seeds, in rising order.
func (s *Suite) values(site *Site, scenario Scenario, variant Variant, m measure) []float64 {
	var values []float64
	for _, result := range s.results(site, scenario, variant) {
		values = append(values, m.of(result, s.capacity(site)))
	}
	slices.Sort(values)
	return values
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted)%2 == 1 {
		return sorted[len(sorted)/2]
	}
	return (sorted[len(sorted)/2-1] + sorted[len(sorted)/2]) / 2
}

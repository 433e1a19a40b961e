package policybench

import (
	"slices"
	"sync"

	"github.com/alitto/pond/v2"
)

// Suite runs scenarios with several seeds, each combination only once.
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

// NewSuite returns a suite that runs up to workers simulations in parallel.
func NewSuite(seeds, workers int) *Suite {
	return &Suite{
		seeds: seeds, pool: pond.NewPool(workers),
		runs: make(map[runKey][]Result), capacities: make(map[string]float64),
	}
}

// capacity returns the number of answers per second that end in a closed loop, which keeps all slots
// busy: the median over all seeds.
func (s *Suite) capacity(site *Site) float64 {
	if cached, ok := s.capacities[site.Name]; ok {
		return cached
	}
	var ended []float64
	for _, result := range s.seedRuns(site, closedLoop, NoAdmission, 1) {
		ended = append(ended, result.Throughput)
	}
	s.capacities[site.Name] = median(ended)
	return s.capacities[site.Name]
}

// results returns the results of all seeds.
func (s *Suite) results(site *Site, scenario Scenario, variant Variant) []Result {
	key := runKey{site.Name, scenario.Name, variant.Name}
	if cached, ok := s.runs[key]; ok {
		return cached
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

// values returns a measure of all seeds in ascending order.
func (s *Suite) values(site *Site, scenario Scenario, variant Variant, m measure) []float64 {
	var values []float64
	for _, result := range s.results(site, scenario, variant) {
		values = append(values, m.value(result, s.capacity(site)))
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

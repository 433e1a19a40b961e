package policybench

import (
	"rattanchute/internal/route"
	"time"
)

const (
	calmLoad    = 0.6
	lightLoad   = 0.4
	reportEvery = time.Second
	staleEvery  = 5 * time.Second
)

// The scenarios.
var (
	Calm      = Scenario{Name: "calm", Load: calmLoad, ReportEvery: reportEvery, LoadOnChunks: true}
	Reclaimed = Scenario{Name: "data centre reclaimed", Load: calmLoad, ReportEvery: reportEvery, LoadOnChunks: true, Reclaim: true}
	Light     = Scenario{Name: "light", Load: lightLoad, ReportEvery: reportEvery, LoadOnChunks: true}
	StaleLoad = Scenario{Name: "stale load", Load: calmLoad, ReportEvery: staleEvery}
	Faulty    = Scenario{Name: "faulty runner", Load: calmLoad, ReportEvery: reportEvery, LoadOnChunks: true, Faulty: true}
	Preamble  = Scenario{Name: "common preamble", Load: calmLoad, ReportEvery: reportEvery, LoadOnChunks: true, Preamble: true}
	Full      = Scenario{Name: "1x capacity", Load: 1, ReportEvery: reportEvery, LoadOnChunks: true}
	Double    = Scenario{Name: "2x capacity", Load: 2, ReportEvery: reportEvery, LoadOnChunks: true}
	Fourfold  = Scenario{Name: "4x capacity", Load: 4, ReportEvery: reportEvery, LoadOnChunks: true}
	closed    = Scenario{Name: "closed loop", ReportEvery: reportEvery, LoadOnChunks: true, Closed: true}
)

// measure reads one figure from a run; capacity is in answers a second.
type measure struct {
	name string
	of   func(r Result, capacity float64) float64
}

var (
	recomputed = measure{"recomputed tokens a request", func(r Result, _ float64) float64 { return r.Recomputed }}
	firstToken = measure{"p95 first token, s", func(r Result, _ float64) float64 { return r.P95 }}
	goodput    = measure{"goodput / capacity", func(r Result, capacity float64) float64 { return r.Goodput / capacity }}
	unserved   = measure{"not served, part", func(r Result, _ float64) float64 { return r.Refused + r.Late + r.Failed }}
	inTarget   = measure{"first token in 0.47 s, part", func(r Result, _ float64) float64 { return r.InTarget }}
	attempts   = measure{"failed attempts a request", func(r Result, _ float64) float64 { return r.FailedAttempts }}
	price      = measure{"mean host price", func(r Result, _ float64) float64 { return r.Price }}
	fairness   = measure{"served: small / large organisation", smallOverLarge}
)

// smallOverLarge compares organisations of the same priority.
func smallOverLarge(r Result, _ float64) float64 {
	small, large := 0.0, 0.0
	for _, site := range []*Site{Agroprecios(), Vazduh()} {
		if _, ok := r.ServedBy[site.Customers[0].name]; ok {
			large = r.ServedBy[site.Customers[0].name]
			small = r.ServedBy[site.Customers[2].name]
		}
	}
	if large == 0 {
		return 0
	}
	return small / large
}

// target is what a row was meant to reach, stated before the run.
type target struct {
	text string
	met  func(ours, ratio float64) bool
}

var (
	noTarget      = target{"none", nil}
	halfOfRandom  = target{"ratio at most 0.5", func(_, ratio float64) bool { return ratio <= 0.5 }}
	goodputTarget = target{"ours at least 0.95", func(ours, _ float64) bool { return ours >= 0.95 }}
	latencyTarget = target{"ours at most 0.47", func(ours, _ float64) bool { return ours <= route.FirstTokenTarget.Seconds() }}
	fairTarget    = target{"ours at least 1", func(ours, _ float64) bool { return ours >= 1 }}
)

// comparison is one row: ours against another way to do it.
type comparison struct {
	scenario Scenario
	measure  measure
	baseline Variant
	target   target
}

var comparisons = []comparison{
	{Calm, recomputed, RandomRouting, halfOfRandom},
	{Calm, recomputed, LeastLoaded, noTarget},
	{Light, firstToken, RandomRouting, latencyTarget},
	{Calm, firstToken, RandomRouting, latencyTarget},
	{Calm, firstToken, LeastLoaded, latencyTarget},
	{Calm, unserved, RandomRouting, noTarget},
	{Calm, unserved, LeastLoaded, noTarget},
	{Preamble, recomputed, RandomRouting, halfOfRandom},
	{Reclaimed, recomputed, RandomRouting, noTarget},
	{Reclaimed, firstToken, RandomRouting, noTarget},
	{Reclaimed, unserved, RandomRouting, noTarget},
	{Reclaimed, unserved, LeastLoaded, noTarget},
	{StaleLoad, firstToken, RandomRouting, noTarget},
	{StaleLoad, firstToken, LeastLoaded, noTarget},
	{StaleLoad, unserved, RandomRouting, noTarget},
	{StaleLoad, unserved, LeastLoaded, noTarget},
	{Full, goodput, NoAdmission, noTarget},
	{Double, goodput, NoAdmission, goodputTarget},
	{Double, inTarget, NoAdmission, noTarget},
	{Double, fairness, NoAdmission, fairTarget},
	{Fourfold, goodput, NoAdmission, noTarget},
}

// ablations switch one mechanism off each.
var ablations = []comparison{
	{Calm, recomputed, WithoutAffinity, noTarget},
	{Calm, firstToken, WithoutAffinity, noTarget},
	{Double, goodput, WithoutAffinity, noTarget},
	{Calm, recomputed, WithoutSpread, noTarget},
	{Preamble, recomputed, WithoutSpread, noTarget},
	{Preamble, firstToken, WithoutSpread, noTarget},
	{Calm, unserved, WithoutSpread, noTarget},
	{Calm, recomputed, WithoutBound, noTarget},
	{Calm, unserved, WithoutBound, noTarget},
	{Reclaimed, unserved, WithoutBound, noTarget},
	{StaleLoad, unserved, WithoutBound, noTarget},
	{Calm, unserved, WithoutTwo, noTarget},
	{StaleLoad, unserved, WithoutTwo, noTarget},
	{Double, goodput, WithoutTwo, noTarget},
	{Faulty, attempts, WithoutEjection, noTarget},
	{Faulty, unserved, WithoutEjection, noTarget},
	{Calm, price, WithoutPrice, noTarget},
	{Calm, firstToken, WithoutPrice, noTarget},
	{Reclaimed, inTarget, NoAdmission, noTarget},
	{Double, inTarget, NoAdmission, noTarget},
	{Double, goodput, NoAdmission, noTarget},
}

// withoutPrefixes compares variants of requests that have no prefix.
var withoutPrefixes = []pair{
	{Calm, price, NoPrefixes, NoPrefixesPrice},
	{Calm, firstToken, NoPrefixes, NoPrefixesPrice},
}

type pair struct {
	scenario Scenario
	measure  measure
	ours     Variant
	baseline Variant
}

package policybench

import (
	"rattanchute/internal/route"
	"time"
)

const (
	normalLoad          = 0.6
	lightLoad           = 0.4
	reportInterval      = time.Second
	staleReportInterval = 5 * time.Second
)

// The scenarios in which variants are compared, and closedLoop, which measures the capacity that the
// Load of the others refers to.
var (
	Normal     = Scenario{Name: "calm", Load: normalLoad, ReportInterval: reportInterval, LoadOnChunks: true}
	Reclaimed  = Scenario{Name: "data centre reclaimed", Load: normalLoad, ReportInterval: reportInterval, LoadOnChunks: true, Reclaim: true}
	Light      = Scenario{Name: "light", Load: lightLoad, ReportInterval: reportInterval, LoadOnChunks: true}
	StaleLoad  = Scenario{Name: "stale load", Load: normalLoad, ReportInterval: staleReportInterval}
	Faulty     = Scenario{Name: "faulty runner", Load: normalLoad, ReportInterval: reportInterval, LoadOnChunks: true, Faulty: true}
	Preamble   = Scenario{Name: "common preamble", Load: normalLoad, ReportInterval: reportInterval, LoadOnChunks: true, Preamble: true}
	Full       = Scenario{Name: "1x capacity", Load: 1, ReportInterval: reportInterval, LoadOnChunks: true}
	Double     = Scenario{Name: "2x capacity", Load: 2, ReportInterval: reportInterval, LoadOnChunks: true}
	Fourfold   = Scenario{Name: "4x capacity", Load: 4, ReportInterval: reportInterval, LoadOnChunks: true}
	closedLoop = Scenario{Name: "closed loop", ReportInterval: reportInterval, LoadOnChunks: true, ClosedLoop: true}
)

// measure selects one figure of a run; capacity is in answers per second.
type measure struct {
	name  string
	value func(r Result, capacity float64) float64
}

var (
	recomputed = measure{"recomputed tokens a request", func(r Result, _ float64) float64 { return r.Recomputed }}
	firstToken = measure{"p95 first token, s", func(r Result, _ float64) float64 { return r.P95 }}
	goodput    = measure{"goodput / capacity", func(r Result, capacity float64) float64 { return r.Goodput / capacity }}
	unserved   = measure{"not served, part", func(r Result, _ float64) float64 { return r.Refused + r.Late + r.Failed }}
	inTarget   = measure{"first token in 0.47 s, part", func(r Result, _ float64) float64 { return r.InTarget }}
	failures   = measure{"failed attempts a request", func(r Result, _ float64) float64 { return r.FailedAttempts }}
	price      = measure{"mean host price", func(r Result, _ float64) float64 { return r.Price }}
	fairness   = measure{"served: small / large organisation", smallOverLarge}
)

// smallOverLarge returns the share of requests served for a small organisation divided by that for
// a large one of the same priority.
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

// target is the value that a row should reach; the targets were stated before the run.
type target struct {
	text string
	met  func(value, ratio float64) bool
}

var (
	noTarget      = target{"none", nil}
	halfOfRandom  = target{"ratio at most 0.5", func(_, ratio float64) bool { return ratio <= 0.5 }}
	goodputTarget = target{"ours at least 0.95", func(value, _ float64) bool { return value >= 0.95 }}
	latencyTarget = target{"ours at most 0.47", func(value, _ float64) bool { return value <= route.FirstTokenTarget.Seconds() }}
	fairTarget    = target{"ours at least 1", func(value, _ float64) bool { return value >= 1 }}
)

// comparison is one row of the report: the production policy against a baseline.
type comparison struct {
	scenario Scenario
	measure  measure
	baseline Variant
	target   target
}

var comparisons = []comparison{
	{Normal, recomputed, RandomRouting, halfOfRandom},
	{Normal, recomputed, LeastLoaded, noTarget},
	{Light, firstToken, RandomRouting, latencyTarget},
	{Normal, firstToken, RandomRouting, latencyTarget},
	{Normal, firstToken, LeastLoaded, latencyTarget},
	{Normal, unserved, RandomRouting, noTarget},
	{Normal, unserved, LeastLoaded, noTarget},
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

// ablations disable one mechanism of the router each, or admission control.
var ablations = []comparison{
	{Normal, recomputed, WithoutAffinity, noTarget},
	{Normal, firstToken, WithoutAffinity, noTarget},
	{Double, goodput, WithoutAffinity, noTarget},
	{Normal, recomputed, WithoutSpread, noTarget},
	{Preamble, recomputed, WithoutSpread, noTarget},
	{Preamble, firstToken, WithoutSpread, noTarget},
	{Normal, unserved, WithoutSpread, noTarget},
	{Normal, recomputed, WithoutBound, noTarget},
	{Normal, unserved, WithoutBound, noTarget},
	{Reclaimed, unserved, WithoutBound, noTarget},
	{StaleLoad, unserved, WithoutBound, noTarget},
	{Normal, unserved, WithoutTwoChoices, noTarget},
	{StaleLoad, unserved, WithoutTwoChoices, noTarget},
	{Double, goodput, WithoutTwoChoices, noTarget},
	{Faulty, failures, WithoutEjection, noTarget},
	{Faulty, unserved, WithoutEjection, noTarget},
	{Normal, price, WithoutPrice, noTarget},
	{Normal, firstToken, WithoutPrice, noTarget},
	{Reclaimed, inTarget, NoAdmission, noTarget},
	{Double, inTarget, NoAdmission, noTarget},
	{Double, goodput, NoAdmission, noTarget},
}

// withoutPrefixes compares variants with requests that have no prefixes.
var withoutPrefixes = []pair{
	{Normal, price, NoPrefixes, NoPrefixesNoPrice},
	{Normal, firstToken, NoPrefixes, NoPrefixesNoPrice},
}

type pair struct {
	scenario   Scenario
	measure    measure
	production Variant
	baseline   Variant
}

package costbench

import (
	"rattanchute/internal/capacity"
	"rattanchute/internal/fleet"
)

// Variant is a policy: the production one, a baseline, or the production one with some mechanisms
// disabled or changed.
type Variant struct {
	Name string
	// onDemandOnly, leastLoaded and restart select the behaviour of the baselines.
	onDemandOnly bool
	leastLoaded  bool
	restart      bool
	// The following fields each disable one mechanism of the production policy.
	noBackoff       bool
	noTransfer      bool
	earlyTransfers  bool
	earlyRecomputes bool
	equalShares     bool
	noLookAhead     bool
	// otherDataCentres is an experiment: streams move only to other data centres.
	otherDataCentres bool
	adjustSettings   func(*capacity.Settings)
}

// Production is the production policy.
var Production = Variant{Name: "ours"}

// The baselines are what an operator would do otherwise. All have the sizing rule and the scale-in
// delay of the production policy; those with leastLoaded know the exact load of each engine.
var (
	OnDemandOnly = Variant{
		Name: "least-loaded, on-demand only", onDemandOnly: true, leastLoaded: true, restart: true,
		adjustSettings: noTolerance,
	}
	CheapestFirst = Variant{
		Name: "cheapest first, no spread", leastLoaded: true, restart: true,
		adjustSettings: noTolerance,
	}
	Restart = Variant{Name: "restart from the prompt", restart: true}
)

func noTolerance(s *capacity.Settings) { s.Tolerance = capacity.ToleranceNone }

// CapacityVariants returns the production policy with one mechanism of the capacity plan
// disabled each.
func CapacityVariants() []Variant {
	return []Variant{
		{Name: "without spread", adjustSettings: noTolerance},
		{Name: "without hold time", adjustSettings: func(s *capacity.Settings) { s.ScaleInDelay = 0 }},
		{Name: "without swap gain", adjustSettings: func(s *capacity.Settings) { s.MinReplacementSaving = 0 }},
		{Name: "without look-ahead", noLookAhead: true},
		{Name: "without refused-start fallback", noBackoff: true},
		{Name: "without weight-store pace", adjustSettings: func(s *capacity.Settings) { s.ParallelLoads = 0 }},
	}
}

// ReclaimVariants returns the production policy with one mechanism of the reclaim plan disabled
// each, with three of them disabled together, and with moves to other data centres only.
func ReclaimVariants() []Variant {
	return []Variant{
		{Name: "without KV transfer", noTransfer: true},
		{Name: "transfers at once", earlyTransfers: true},
		{Name: "text moves at once", earlyRecomputes: true},
		{Name: "bandwidth in equal shares", equalShares: true},
		{Name: "all three", earlyTransfers: true, earlyRecomputes: true, equalShares: true},
		{Name: "try: targets in other data centres", otherDataCentres: true},
	}
}

func (v *Variant) settings() capacity.Settings {
	s := capacity.DefaultSettings()
	if v.adjustSettings != nil {
		v.adjustSettings(&s)
	}
	return s
}

// offers reports whether the policy may use the host.
func (v *Variant) offers(h fleet.Host) bool {
	return !v.onDemandOnly || h.Kind == fleet.HostOnDemand
}

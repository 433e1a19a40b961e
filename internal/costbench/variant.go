package costbench

import (
	"rattanchute/internal/capacity"
	"rattanchute/internal/fleet"
)

// Variant is a policy: ours, a baseline, or ours without one mechanism.
type Variant struct {
	Name string
	// onDemandOnly, leastLoaded and restart are what the baselines do instead.
	onDemandOnly bool
	leastLoaded  bool
	restart      bool
	// The others switch one mechanism of ours off.
	noRefusalMemory bool
	noTransfer      bool
	earlyTransfers  bool
	earlyRecomputes bool
	equalShares     bool
	noLookAhead     bool
	// otherPlaces is a try: targets in other data centres only.
	otherPlaces bool
	adjust      func(*capacity.Settings)
}

// Ours is the policy as it runs in production.
var Ours = Variant{Name: "ours"}

// The baselines: what an operator would otherwise do. All get the same sizing rule, the
// same hold time and exact load of each engine.
var (
	OnDemandOnly = Variant{
		Name: "least-loaded, on-demand only", onDemandOnly: true, leastLoaded: true, restart: true,
		adjust: noTolerance,
	}
	CheapestFirst = Variant{
		Name: "cheapest first, no spread", leastLoaded: true, restart: true,
		adjust: noTolerance,
	}
	Restart = Variant{Name: "restart from the prompt", restart: true}
)

func noTolerance(s *capacity.Settings) { s.Tolerance = capacity.ToleranceNone }

// CapacityVariants are ours with one mechanism of the capacity plan switched off.
func CapacityVariants() []Variant {
	return []Variant{
		{Name: "without spread", adjust: noTolerance},
		{Name: "without hold time", adjust: func(s *capacity.Settings) { s.ScaleInDelay = 0 }},
		{Name: "without swap gain", adjust: func(s *capacity.Settings) { s.MinReplacementSaving = 0 }},
		{Name: "without look-ahead", noLookAhead: true},
		{Name: "without refused-start fallback", noRefusalMemory: true},
		{Name: "without weight-store pace", adjust: func(s *capacity.Settings) { s.ParallelLoads = 0 }},
	}
}

// ReclaimVariants are ours with one mechanism of the reclaim plan switched off.
func ReclaimVariants() []Variant {
	return []Variant{
		{Name: "without KV transfer", noTransfer: true},
		{Name: "transfers at once", earlyTransfers: true},
		{Name: "text moves at once", earlyRecomputes: true},
		{Name: "bandwidth in equal shares", equalShares: true},
		{Name: "all three", earlyTransfers: true, earlyRecomputes: true, equalShares: true},
		{Name: "try: targets in other data centres", otherPlaces: true},
	}
}

func (v *Variant) settings() capacity.Settings {
	s := capacity.DefaultSettings()
	if v.adjust != nil {
		v.adjust(&s)
	}
	return s
}

// offers reports whether the policy makes use of the host at all.
func (v *Variant) offers(h fleet.Host) bool {
	return !v.onDemandOnly || h.Kind == fleet.HostOnDemand
}

package policybench

import (
	"math/rand/v2"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// Variant is a configuration of the entry nodes.
type Variant struct {
	Name string
	// Baseline is "random" or "least-loaded"; empty selects the production router.
	Baseline string
	// Disabled are the mechanisms of the production router that are turned off.
	Disabled route.Mechanism
	// NoAdmission sends requests also if admission control refuses them.
	NoAdmission bool
}

// The variants that are compared. Production uses the production router and admission control; each
// of the others replaces or disables a part of them.
var (
	Production        = Variant{Name: "ours"}
	RandomRouting     = Variant{Name: "random routing", Baseline: "random"}
	LeastLoaded       = Variant{Name: "least-loaded by report", Baseline: "least-loaded"}
	NoAdmission       = Variant{Name: "no admission control", NoAdmission: true}
	WithoutAffinity   = Variant{Name: "affinity off", Disabled: route.MechanismAffinity}
	WithoutSpread     = Variant{Name: "popular prefixes off", Disabled: route.MechanismSpread}
	WithoutBound      = Variant{Name: "bounded load off", Disabled: route.MechanismBoundedLoad}
	WithoutTwoChoices = Variant{Name: "two choices off", Disabled: route.MechanismTwoChoices}
	WithoutEjection   = Variant{Name: "ejection off", Disabled: route.MechanismEjection}
	WithoutPrice      = Variant{Name: "price off", Disabled: route.MechanismPrice}
	// NoPrefixes and NoPrefixesNoPrice represent requests without prefixes, such as those of plain
	// services, which have no affinity.
	NoPrefixes        = Variant{Name: "no prefixes", Disabled: route.MechanismAffinity}
	NoPrefixesNoPrice = Variant{Name: "no prefixes, price off", Disabled: route.MechanismAffinity | route.MechanismPrice}
)

func (v Variant) policy(cfg *fleet.Configuration, random *rand.Rand) policy {
	if v.Baseline != "" {
		return &baselinePolicy{
			random: random, leastLoaded: v.Baseline == "least-loaded", endpoints: cfg.Endpoints,
			leaving: make(map[string]bool), reports: make(map[string]engine.Load),
		}
	}
	router := route.NewRouter(dataCentres[0])
	router.Disable(v.Disabled)
	router.SetTable(route.Compile(cfg))
	return &productionPolicy{router: router, random: random}
}

package policybench

import (
	"math/rand/v2"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// Variant is one way to run the entry nodes.
type Variant struct {
	Name string
	// Plain is "random" or "least-loaded"; empty is the production router.
	Plain string
	// Off are parts of the production router that are switched off.
	Off route.Mechanism
	// NoAdmission takes each request.
	NoAdmission bool
}

// The variants that the scenarios compare.
var (
	Ours            = Variant{Name: "ours"}
	RandomRouting   = Variant{Name: "random routing", Plain: "random"}
	LeastLoaded     = Variant{Name: "least-loaded by report", Plain: "least-loaded"}
	NoAdmission     = Variant{Name: "no admission control", NoAdmission: true}
	WithoutAffinity = Variant{Name: "affinity off", Off: route.MechanismAffinity}
	WithoutSpread   = Variant{Name: "popular prefixes off", Off: route.MechanismSpread}
	WithoutBound    = Variant{Name: "bounded load off", Off: route.MechanismBoundedLoad}
	WithoutTwo      = Variant{Name: "two choices off", Off: route.MechanismTwoChoices}
	WithoutEjection = Variant{Name: "ejection off", Off: route.MechanismEjection}
	WithoutPrice    = Variant{Name: "price off", Off: route.MechanismPrice}
	// Requests without prefixes, such as those of plain services, have no affinity.
	NoPrefixes      = Variant{Name: "no prefixes", Off: route.MechanismAffinity}
	NoPrefixesPrice = Variant{Name: "no prefixes, price off", Off: route.MechanismAffinity | route.MechanismPrice}
)

func (v Variant) policy(cfg *fleet.Configuration, random *rand.Rand) policy {
	if v.Plain != "" {
		return &plain{
			random: random, leastLoad: v.Plain == "least-loaded", endpoints: cfg.Endpoints,
			leaving: make(map[string]bool), reports: make(map[string]engine.Load),
		}
	}
	router := route.NewRouter(dataCentres[0])
	router.Disable(v.Off)
	router.SetTable(route.Compile(cfg))
	return &production{router: router, random: random}
}

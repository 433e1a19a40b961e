package route

// Mechanism is a set of mechanisms of the selection policy. Each can be disabled to measure its
// effect.
type Mechanism uint

// The mechanisms of the policy.
const (
	MechanismAffinity Mechanism = 1 << iota
	// MechanismSpread serves a popular prefix from several endpoints.
	MechanismSpread
	MechanismBoundedLoad
	MechanismTwoChoices
	MechanismEjection
	MechanismPrice
)

func (m Mechanism) has(mechanism Mechanism) bool { return m&mechanism != 0 }

// Disable turns mechanisms off. It must be called before the router is used.
func (r *Router) Disable(mechanisms Mechanism) { r.disabled |= mechanisms }

package route

// Mechanism is a set of parts of the policy. They can be switched off one by one, to
// measure what each earns.
type Mechanism uint

// The parts of the policy.
const (
	MechanismAffinity Mechanism = 1 << iota
	// MechanismSpread widens the affinity of popular prefixes.
	MechanismSpread
	MechanismBoundedLoad
	MechanismTwoChoices
	MechanismEjection
	MechanismPrice
)

func (m Mechanism) has(part Mechanism) bool { return m&part != 0 }

// Disable switches parts of the policy off. It must be called before the router is used.
func (r *Router) Disable(parts Mechanism) { r.off |= parts }

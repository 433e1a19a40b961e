package fleet

import "slices"

// Matches reports whether labels satisfy all requirements. An absent label satisfies OpNotIn and
// OpAbsent; no label satisfies an unknown operator.
func Matches(requirements []Requirement, labels Labels) bool {
	return MatchesWithFallback(requirements, labels, nil)
}

// MatchesWithFallback is Matches with a second set of labels, which is consulted for each label
// that the first does not have.
func MatchesWithFallback(requirements []Requirement, labels, fallback Labels) bool {
	for _, r := range requirements {
		if !r.matches(labels, fallback) {
			return false
		}
	}
	return true
}

func (r Requirement) matches(labels, fallback Labels) bool {
	value, present := labels[r.Label]
	if !present {
		value, present = fallback[r.Label]
	}
	switch r.Op {
	case OpIn:
		return present && slices.Contains(r.Values, value)
	case OpNotIn:
		return !present || !slices.Contains(r.Values, value)
	case OpExists:
		return present
	case OpAbsent:
		return !present
	}
	return false
}

// AllowsOrganisation reports whether the selector applies to requests of an organisation.
func (s Selector) AllowsOrganisation(o Organisation) bool {
	return Matches(s.Organisations, o.Labels)
}

// AllowsEndpoint reports whether the selector lets requests reach an endpoint on a host.
func (s Selector) AllowsEndpoint(e Endpoint, h Host) bool {
	if len(s.DataCentres) > 0 && !slices.Contains(s.DataCentres, h.DataCentre) {
		return false
	}
	return Matches(s.Hosts, h.Labels) && MatchesWithFallback(s.Endpoints, e.Labels, h.Labels)
}

package route

import (
	"slices"

	"rattanchute/internal/fleet"
)

// matches reports whether the labels satisfy all requirements. A label is taken from the first
// set that contains it. A missing label satisfies not-in and absent.
func matches(requirements []fleet.Requirement, sets ...fleet.Labels) bool {
	for _, requirement := range requirements {
		value, present := lookup(requirement.Label, sets)
		if !satisfies(requirement, value, present) {
			return false
		}
	}
	return true
}

func lookup(label string, sets []fleet.Labels) (string, bool) {
	for _, set := range sets {
		if value, present := set[label]; present {
			return value, true
		}
	}
	return "", false
}

func satisfies(requirement fleet.Requirement, value string, present bool) bool {
	listed := present && slices.Contains(requirement.Values, value)
	switch requirement.Op {
	case fleet.OpIn:
		return listed
	case fleet.OpNotIn:
		return !listed
	case fleet.OpExists:
		return present
	case fleet.OpAbsent:
		return !present
	default:
		return false
	}
}

package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Duty names a singleton duty: work that one member performs on behalf of all. While members
// disagree about which of them are live, several may consider themselves the owner.
type Duty string

// Rank orders members by their rendezvous weight for a duty, highest first. When a member
// leaves, only the duties that it ranked first for change owners.
func Rank(duty Duty, members []Member) []Member {
	type weighted struct {
		member Member
		weight uint64
	}
	all := make([]weighted, len(members))
	for i, m := range members {
		all[i] = weighted{m, weight(duty, m.Name)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.member.Name, b.member.Name)
	})
	out := make([]Member, len(all))
	for i, w := range all {
		out[i] = w.member
	}
	return out
}

// Owner returns the member that Rank would put first; false if there are no members.
func Owner(duty Duty, members []Member) (Member, bool) {
	var best Member
	var bestWeight uint64
	found := false
	for _, m := range members {
		w := weight(duty, m.Name)
		if !found || w > bestWeight || w == bestWeight && m.Name < best.Name {
			best, bestWeight, found = m, w, true
		}
	}
	return best, found
}

// InDataCentre returns those of the members that are in one data centre, in the same order.
func InDataCentre(members []Member, dataCentre string) []Member {
	var out []Member
	for _, m := range members {
		if m.DataCentre == dataCentre {
			out = append(out, m)
		}
	}
	return out
}

func weight(duty Duty, name string) uint64 {
	return xxhash.Sum64String(string(duty) + "\x00" + name)
}

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minOccasions is the number of separate occasions of crashes after which parts are quarantined.
	minOccasions = 3
	// occasionGap separates occasions. Endpoints that crash together, as when a rack loses power, tell no more
	// about the prompts than one does.
	occasionGap = 250 * time.Millisecond
)

// suspect is a part of prompts with the crashes at which it was in progress, the earliest first.
type suspect struct {
	key     partKey
	crashes []*crash
	// occasions is the number of separate occasions of the crashes.
	occasions int
}

// occasions counts the separate occasions of crashes, the earliest first.
func occasions(crashes []*crash) int {
	n := 0
	var began time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(began) >= occasionGap {
			n++
			began = c.at
		}
	}
	return n
}

// suspects returns the parts with their crashes: those with the most occasions first, and else in an order
// that is the same on all hosts.
func suspects(crashes []*crash) []suspect {
	byKey := map[partKey]*suspect{}
	for _, c := range crashes {
		if c.survived {
			continue
		}
		for _, part := range c.parts {
			key := partKey{c.fleet, part}
			if byKey[key] == nil {
				byKey[key] = &suspect{key: key}
			}
			byKey[key].crashes = append(byKey[key].crashes, c)
		}
	}
	list := make([]suspect, 0, len(byKey))
	for s := range maps.Values(byKey) {
		s.occasions = occasions(s.crashes)
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b suspect) int {
		return cmp.Or(
			cmp.Compare(b.occasions, a.occasions),
			cmp.Compare(a.key.fleet, b.key.fleet),
			cmp.Compare(a.key.part, b.key.part),
		)
	})
	return list
}

// decide returns the parts to quarantine because of the crashes. A part is among them if it was in progress
// on minOccasions occasions that parts with more occasions do not explain. All parts that were in progress
// at each of its crashes are quarantined together with it, because nothing tells them apart.
func decide(crashes []*crash) []Entry {
	list := suspects(crashes)
	var entries []Entry
	for i, s := range list {
		if s.occasions < minOccasions {
			break
		}
		if occasions(s.unexplained(list[:i])) < minOccasions {
			continue
		}
		last := s.crashes[len(s.crashes)-1]
		entries = append(entries, Entry{
			Fleet: s.key.fleet, Parts: s.inseparable(), Crashes: s.occasions, LastCrash: last.at,
		})
	}
	return entries
}

// unexplained returns the crashes at which none of the others that has more occasions was in progress.
func (s *suspect) unexplained(others []suspect) []*crash {
	var left []*crash
	for _, c := range s.crashes {
		explained := slices.ContainsFunc(others, func(o suspect) bool {
			return o.key.fleet == s.key.fleet && c.has(o.key.part) && o.occasions > s.occasions
		})
		if !explained {
			left = append(left, c)
		}
	}
	return left
}

// inseparable returns the parts that were in progress at each of the suspect's crashes, itself included.
func (s *suspect) inseparable() []string {
	var parts []string
	for _, part := range s.crashes[0].parts {
		if !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.has(part) }) {
			parts = append(parts, part)
		}
	}
	return parts
}

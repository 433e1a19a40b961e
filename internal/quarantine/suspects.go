package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minOccasions is the number of separate occasions of crashes after which a cause is quarantined.
	minOccasions = 3
	// occasionGap separates occasions. Endpoints that crash together, as when a rack loses power, tell no more
	// about what they ran than one does.
	occasionGap = 250 * time.Millisecond
	// resendTolerance is how much earlier than a crash a request may seem to be sent that was sent because of
	// it: hosts learn of crashes with ages in whole milliseconds.
	resendTolerance = 5 * time.Millisecond
)

// suspect is a possible cause with the crashes at which it was in progress, the earliest first.
type suspect struct {
	cause   cause
	crashes []*crash
	// weight is the number of occasions apart by occasionGap, by which suspects are compared.
	weight int
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

// occasionsOf counts the separate occasions of crashes for one possible cause. A request that was sent after
// one crash and was in progress at the next was there on two occasions, however close they are: what took the
// first endpoint down had not taken the second.
func occasionsOf(by cause, crashes []*crash) int {
	if !by.isRequest() {
		return occasions(crashes)
	}
	n := 0
	var began time.Time
	for _, c := range crashes {
		if n == 0 || c.isNewOccasion(by, began) {
			n++
			began = c.at
		}
	}
	return n
}

// isNewOccasion reports whether the crash is separate from an earlier one for a possible cause.
func (c *crash) isNewOccasion(by cause, earlier time.Time) bool {
	if c.at.Sub(earlier) >= occasionGap {
		return true
	}
	return by.isRequest() && c.at.After(earlier) && !c.sentAt(by.fingerprint).Before(earlier.Add(-resendTolerance))
}

// suspects returns the possible causes with their crashes: those with the most weight first, of equal weight
// requests before parts, and else in an order that is the same on all hosts.
func suspects(crashes []*crash) []suspect {
	byCause := map[cause]*suspect{}
	for _, c := range crashes {
		for _, part := range c.parts {
			addCrash(byCause, cause{fleet: c.fleet, part: part}, c)
		}
		for _, r := range c.requests {
			addCrash(byCause, cause{fingerprint: r.fingerprint}, c)
		}
	}
	list := make([]suspect, 0, len(byCause))
	for _, s := range byCause {
		if len(s.crashes) < minOccasions {
			continue
		}
		s.weight = occasions(s.crashes)
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b suspect) int {
		return cmp.Or(
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(b.cause.fingerprint, a.cause.fingerprint), // that of a part is empty
			cmp.Compare(a.cause.fleet, b.cause.fleet),
			cmp.Compare(a.cause.part, b.cause.part),
		)
	})
	return list
}

func addCrash(byCause map[cause]*suspect, by cause, c *crash) {
	s := byCause[by]
	if s == nil {
		s = &suspect{cause: by}
		byCause[by] = s
	}
	s.crashes = append(s.crashes, c)
}

// decide returns what to quarantine because of the crashes: what was in progress on minOccasions occasions
// that weightier suspects do not explain. All parts that were in progress at each of a part's crashes are
// quarantined together with it, because nothing tells them apart.
func decide(crashes []*crash) []Entry {
	list := suspects(crashes)
	var entries []Entry
	for i, s := range list {
		if occasionsOf(s.cause, s.unexplained(list[:i])) < minOccasions {
			continue
		}
		last := s.crashes[len(s.crashes)-1]
		e := Entry{Crashes: occasionsOf(s.cause, s.crashes), LastCrash: last.at}
		if s.cause.isRequest() {
			e.Fingerprint = s.cause.fingerprint
		} else {
			e.Fleet, e.Parts = s.cause.fleet, s.inseparable()
		}
		entries = append(entries, e)
	}
	return entries
}

// unexplained returns the crashes at which none of the others that explain a crash was in progress.
func (s *suspect) unexplained(others []suspect) []*crash {
	var left []*crash
	for _, c := range s.crashes {
		explained := slices.ContainsFunc(others, func(o suspect) bool { return o.outweighs(s) && c.has(o.cause) })
		if !explained {
			left = append(left, c)
		}
	}
	return left
}

// outweighs reports whether the suspect explains crashes rather than another one. A request does so already
// with the same weight as a part of its prompt: other requests with the part have not crashed an endpoint.
func (s *suspect) outweighs(other *suspect) bool {
	if s.weight == other.weight {
		return s.cause.isRequest() && !other.cause.isRequest()
	}
	return s.weight > other.weight
}

// inseparable returns the parts that were in progress at each of the suspect's crashes, itself included.
func (s *suspect) inseparable() []string {
	var parts []string
	for _, part := range s.crashes[0].parts {
		by := cause{fleet: s.cause.fleet, part: part}
		if !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !c.has(by) }) {
			parts = append(parts, part)
		}
	}
	return parts
}

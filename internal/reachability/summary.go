package reachability

import "time"

// Summary is what is known against the links to a fleet, for logs.
type Summary struct {
	// Refused, Unopened, Ended and Silent count the endpoints by how they were last not reached.
	Refused, Unopened, Ended, Silent int
	// SilentRequests counts the requests that wait for longer than they ever take.
	SilentRequests int
	// HeardAgo is the time since the fleet was last heard; negative if it never was.
	HeardAgo time.Duration
}

// Summary returns what is known against the links to a fleet.
func (t *Table) Summary(now time.Time, name string) Summary {
	f := t.fleet(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Summary{SilentRequests: len(f.silentWaits(now)), HeardAgo: -1}
	if f.heardAt.Load() != 0 {
		s.HeardAgo = now.Sub(f.lastHeard())
	}
	for _, e := range f.failures {
		if now.Sub(e.at) >= evidenceRetention {
			continue
		}
		switch e.kind {
		case Refused:
			s.Refused++
		case Unopened:
			s.Unopened++
		case Ended:
			s.Ended++
		case Silent:
			s.Silent++
		}
	}
	return s
}

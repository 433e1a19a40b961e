package reachability

import "time"

const (
	// askInterval is the least time between two questions to peers about a fleet.
	askInterval = 150 * time.Millisecond
	// confirmationDelay is how long after a peer has heard a fleet this host must still hear nothing: endpoints that go on
	// after a pause are not heard by all hosts at the same moment.
	confirmationDelay = 250 * time.Millisecond
	// askedRetention is for how long a question of a peer counts, and staleAfter the time since a fleet was heard after
	// which a probe finds the answer.
	askedRetention = 500 * time.Millisecond
	staleAfter     = 200 * time.Millisecond
)

// PeerHeard records that a peer has heard an endpoint of a fleet at a time.
func (t *Table) PeerHeard(name string, at time.Time) {
	f := t.fleet(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.peerHeardAt) {
		f.peerHeardAt = at
	}
}

// Asked records that a peer asks whether this host hears a fleet, and returns the time since it did; ok is false if it never
// has. If that is long ago, the next Check asks for a probe.
func (t *Table) Asked(now time.Time, name string) (heardAgo time.Duration, ok bool) {
	f := t.fleet(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askedAt = now
	if f.heardAt.Load() == 0 {
		return 0, false
	}
	return now.Sub(f.lastHeard()), true
}

// isAsked reports whether a peer waits to learn whether this host hears the fleet.
func (f *fleet) isAsked(now time.Time) bool {
	return now.Sub(f.askedAt) < askedRetention && now.Sub(f.lastHeard()) >= staleAfter
}

// peersHear reports whether a peer has heard the fleet when the request was silent already, and this host has not since.
func (f *fleet) peersHear(now time.Time, w *Wait) bool {
	return now.Sub(f.peerHeardAt) >= confirmationDelay && w.silent(f.peerHeardAt, f.lastHeard(), f.pauses.high())
}

// dueQuestion reports whether peers are to be asked now whether they hear the fleet: a request is silent that would be taken
// back if they do.
func (f *fleet) dueQuestion(now time.Time) bool {
	if now.Before(f.askNext) {
		return false
	}
	heard, usual := f.lastHeard(), f.pauses.high()
	for _, w := range f.silentWaits(now) {
		if w.Repeatable && !w.kept.Load() && !w.silent(f.peerHeardAt, heard, usual) {
			f.askNext = now.Add(askInterval)
			return true
		}
	}
	return false
}

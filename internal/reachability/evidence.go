package reachability

import "time"

// FailureKind is how an endpoint could not be reached.
type FailureKind int

// The kinds of failures.
const (
	// Refused means that a connection was refused at once.
	Refused FailureKind = iota
	// Unopened means that a connection did not open.
	Unopened
	// Ended means that a connection opened and ended without a byte of a response.
	Ended
	// Silent means that a connection opened and delivers nothing.
	Silent
)

// Failure is a connection over which an endpoint was not reached.
type Failure struct {
	Endpoint string
	Kind     FailureKind
	// New is set if the connection was opened for this request, and Probe if the request was a probe.
	New, Probe bool
}

const (
	// maxRequired is the number of endpoints of a large fleet that must be without a sign before the fleet is out of
	// reach. Of a smaller fleet, all must.
	maxRequired = 4
	// minSilent is the least number of endpoints that must be without a sign if some of them are merely silent.
	minSilent = 2
	// minProbed is how many probes must have failed before a fleet of which open connections are heard is out of
	// reach.
	minProbed = 2
	// evidenceRetention is how long a failure counts.
	evidenceRetention = 3 * time.Second
)

// evidence is what is known against the link to one endpoint.
type evidence struct {
	at         time.Time
	kind       FailureKind
	new, probe bool
	// probeKind is how the last probe failed.
	probeKind FailureKind
}

// addFailure records a failure and drops old ones.
func (f *fleet) addFailure(now time.Time, x Failure) {
	f.dropOld(now)
	e := f.failures[x.Endpoint]
	e.at, e.kind, e.new = now, x.Kind, e.new || x.New
	if x.Probe {
		e.probe, e.probeKind = true, x.Kind
	}
	f.failures[x.Endpoint] = e
	f.lastKind = x.Kind
}

// dropOld drops the failures that no longer count.
func (f *fleet) dropOld(now time.Time) {
	for id, e := range f.failures {
		if now.Sub(e.at) >= evidenceRetention {
			delete(f.failures, id)
		}
	}
}

// refute drops the failures that a response refutes: those on connections that were open already, and those on new
// connections if the response came on a connection that was opened later.
func (f *fleet) refute(openedAt time.Time) {
	for id, e := range f.failures {
		if !e.new || openedAt.After(e.at) {
			delete(f.failures, id)
		}
	}
}

// required returns how many endpoints must be without a sign, of a fleet with a number of endpoints.
func required(endpoints int) int { return min(max(endpoints, 1), maxRequired) }

// counts reports whether a failure counts where a number of endpoints is required. If it is one, a single
// request may have made the endpoint close its connection, and the endpoint may pause.
func (e *evidence) counts(needed int) bool {
	switch {
	case needed > 1:
		return true
	case e.kind == Ended:
		return e.probe && e.probeKind != Silent
	}
	return e.kind != Silent
}

// tally sums up what is known against the links to a fleet.
type tally struct {
	// unheard are the endpoints that were not reached since the fleet was last heard.
	unheard map[string]bool
	// probed is set if one of these was probed.
	probed bool
	// failedNew counts the endpoints to which new connections have failed, and probedNew those that were probed.
	failedNew, probedNew int
}

// tally counts the failures that matter if a number of endpoints is required.
func (f *fleet) tally(now time.Time, needed int) tally {
	sum, heard := tally{unheard: map[string]bool{}}, f.lastHeard()
	for id, e := range f.failures {
		if now.Sub(e.at) >= evidenceRetention || !e.counts(needed) {
			continue
		}
		if e.new {
			sum.failedNew++
		}
		if e.new && e.probe {
			sum.probedNew++
		}
		if e.at.After(heard) {
			sum.unheard[id] = true
			sum.probed = sum.probed || e.probe
		}
	}
	return sum
}

// isLost reports whether the evidence shows that no endpoint is reached.
func (f *fleet) isLost(now time.Time, endpoints int) bool {
	needed := required(endpoints)
	sum := f.tally(now, needed)
	if len(sum.unheard) >= needed {
		return true
	}
	// Open connections may go on while new ones fail.
	if sum.failedNew >= needed && sum.probedNew >= min(needed, minProbed) {
		return true
	}
	if !sum.probed {
		return false
	}
	for _, w := range f.silentWaits(now) {
		sum.unheard[w.Endpoint] = true
	}
	return len(sum.unheard) >= max(needed, minSilent)
}

// connectionsFail reports whether connections to as many endpoints as are required have failed, and not merely been silent.
func (f *fleet) connectionsFail(now time.Time, endpoints int) bool {
	failed := 0
	for _, e := range f.failures {
		if e.kind != Silent && now.Sub(e.at) < evidenceRetention {
			failed++
		}
	}
	return failed >= required(endpoints)
}

// isSuspect reports whether a probe should tell what the evidence means: a request is silent, or several new
// connections have failed.
func (f *fleet) isSuspect(now time.Time, endpoints int) bool {
	recent := 0
	for _, e := range f.failures {
		if now.Sub(e.at) < evidenceRetention {
			recent++
		}
	}
	return recent >= min(required(endpoints), minSilent) || len(f.silentWaits(now)) > 0
}

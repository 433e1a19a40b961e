package quarantine

import (
	"slices"
	"strings"
	"time"
)

const (
	// firstProbeDelay is how long after the crash that led to a quarantine a request is probed. Each further
	// crash multiplies the delay by probeDelayFactor, up to maxProbeDelay.
	firstProbeDelay  = 15 * time.Second
	probeDelayFactor = 3
	maxProbeDelay    = 24 * time.Hour
	// firstRequestProbeDelay and requestProbeDelayFactor are those of a request. The first probe is early, because
	// a sound request that was in progress at the same crashes is quarantined too; the next ones are late, because
	// only its caller waits for the result.
	firstRequestProbeDelay  = 10 * time.Second
	requestProbeDelayFactor = 10
	// probeTimeout is how long a host waits for the result of a probe before it may send another.
	probeTimeout = 30 * time.Second
	// entryRetention is how long after the last crash an entry is kept.
	entryRetention = 48 * time.Hour
	// settleTime is how long after its last crash a new entry is worked out again from each change of the
	// crashes. By then, the hosts have heard of each other's crashes.
	settleTime = time.Second
	// maxEntries bounds the entries; those with the earliest last crash are dropped first.
	maxEntries = 256
)

// Entry is a quarantine. Either requests to a fleet whose prompts have all of some parts crash its endpoints,
// or a request and its repetitions do, at any fleet.
type Entry struct {
	// Fleet and Parts are empty if the cause is a request. Parts are sorted.
	Fleet string
	Parts []string
	// Fingerprint is that of the request; empty if the cause is parts of prompts.
	Fingerprint string
	// Crashes is the number of occasions of crashes, and LastCrash the time of the last one.
	Crashes   int
	LastCrash time.Time
}

// key identifies the entry among others.
func (e *Entry) key() string {
	return e.Fingerprint + "\x00" + e.Fleet + "\x00" + strings.Join(e.Parts, "\x00")
}

// isRequest reports whether the cause is a request.
func (e *Entry) isRequest() bool { return e.Fingerprint != "" }

// ProbeAt returns when a request may be probed.
func (e *Entry) ProbeAt() time.Time {
	delay, factor := firstProbeDelay, time.Duration(probeDelayFactor)
	if e.isRequest() {
		delay, factor = firstRequestProbeDelay, requestProbeDelayFactor
	}
	for i := minOccasions; i < e.Crashes && delay < maxProbeDelay; i++ {
		delay *= factor
	}
	return e.LastCrash.Add(min(delay, maxProbeDelay))
}

// covers reports whether the request is the one of the entry, or has all parts of it.
func (e *Entry) covers(r *Request) bool {
	if e.isRequest() {
		return e.Fingerprint == r.Fingerprint
	}
	return e.Fleet == r.Fleet && isSubset(e.Parts, r.Parts)
}

// inProgressAt reports whether everything that the entry names was in progress at a crash.
func (e *Entry) inProgressAt(c *crash) bool {
	if e.isRequest() {
		return c.has(cause{fingerprint: e.Fingerprint})
	}
	return c.fleet == e.Fleet && isSubset(e.Parts, c.parts)
}

// has reports whether a possible cause is among what the entry names.
func (e *Entry) has(by cause) bool {
	if by.isRequest() || e.isRequest() {
		return e.Fingerprint == by.fingerprint
	}
	_, found := slices.BinarySearch(e.Parts, by.part)
	return found && e.Fleet == by.fleet
}

func isSubset(parts, of []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(of, part) })
}

// entryState is an entry on this host.
type entryState struct {
	Entry
	// settled is set once the entry no longer depends on the remembered crashes.
	settled bool
	// probingUntil is until when a probe of this host is awaited; zero if there is none.
	probingUntil time.Time
}

// entryTable holds the entries by key.
type entryTable map[string]*entryState

// merge adds an entry, or what it says of a known one. An entry whose parts include all those of a known one
// says nothing, and a settled one whose parts are among those of others replaces them.
func (t entryTable) merge(e Entry, settled bool) {
	if known := t[e.key()]; known != nil {
		known.update(e)
		known.settled = known.settled || settled
		return
	}
	for key, known := range t {
		switch {
		case known.isRequest() || e.isRequest() || known.Fleet != e.Fleet:
		case isSubset(known.Parts, e.Parts):
			return
		case settled && isSubset(e.Parts, known.Parts):
			delete(t, key)
		}
	}
	t[e.key()] = &entryState{Entry: e, settled: settled}
	t.trim()
}

// settle settles the entries whose last crash is settleTime ago.
func (t entryTable) settle(now time.Time) {
	for _, e := range t {
		e.settled = e.settled || now.Sub(e.LastCrash) >= settleTime
	}
}

// dropUnsettled removes the entries that are to be worked out again.
func (t entryTable) dropUnsettled() {
	for key, e := range t {
		if !e.settled {
			delete(t, key)
		}
	}
}

// update records what another host says of the entry. Of equal counts, the earlier time is right: the delays
// of messages make times later.
func (e *Entry) update(other Entry) {
	switch {
	case other.Crashes > e.Crashes:
		e.Crashes, e.LastCrash = other.Crashes, other.LastCrash
	case other.Crashes == e.Crashes && other.LastCrash.Before(e.LastCrash):
		e.LastCrash = other.LastCrash
	}
}

// observe counts a crash at which everything that the entry names was in progress, if it is a new occasion.
func (e *Entry) observe(c *crash) {
	if !e.inProgressAt(c) || !c.isNewOccasion(cause{fingerprint: e.Fingerprint}, e.LastCrash) {
		return
	}
	e.Crashes++
	e.LastCrash = c.at
}

// trim drops entries beyond maxEntries.
func (t entryTable) trim() {
	for len(t) > maxEntries {
		oldest := ""
		for key, e := range t {
			if oldest == "" || e.LastCrash.Before(t[oldest].LastCrash) {
				oldest = key
			}
		}
		delete(t, oldest)
	}
}

// expire drops the entries that are no longer kept.
func (t entryTable) expire(now time.Time) {
	for key, e := range t {
		if now.Sub(e.LastCrash) >= entryRetention {
			delete(t, key)
		}
	}
}

// clear removes a possible cause, which does not crash endpoints, from the entries.
func (t entryTable) clear(by cause) {
	for k, e := range t {
		if !e.has(by) {
			continue
		}
		delete(t, k)
		if len(e.Parts) <= 1 {
			continue
		}
		rest := e.Entry
		rest.Parts = slices.DeleteFunc(slices.Clone(e.Parts), func(part string) bool { return part == by.part })
		t.merge(rest, e.settled)
	}
}

// find returns the entry that covers a request and can be probed last; nil if there is none.
func (t entryTable) find(r *Request) *entryState {
	var found *entryState
	for _, e := range t {
		if e.covers(r) && (found == nil || found.ProbeAt().Before(e.ProbeAt())) {
			found = e
		}
	}
	return found
}

// has reports whether a possible cause is among those of an entry.
func (t entryTable) has(by cause) bool { return t.newest(by) != nil }

// newest returns the entry with the possible cause and the latest crash; nil if there is none.
func (t entryTable) newest(by cause) *entryState {
	var newest *entryState
	for _, e := range t {
		if e.has(by) && (newest == nil || newest.LastCrash.Before(e.LastCrash)) {
			newest = e
		}
	}
	return newest
}

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

// Entry is a quarantine: requests to a fleet whose prompts have all of the parts crash its endpoints.
type Entry struct {
	Fleet string
	// Parts are sorted.
	Parts []string
	// Crashes is the number of occasions of crashes, and LastCrash the time of the last one.
	Crashes   int
	LastCrash time.Time
}

// key identifies the entry among others.
func (e *Entry) key() string { return e.Fleet + "\x00" + strings.Join(e.Parts, "\x00") }

// ProbeAt returns when a request may be probed.
func (e *Entry) ProbeAt() time.Time {
	delay := firstProbeDelay
	for i := minOccasions; i < e.Crashes && delay < maxProbeDelay; i++ {
		delay *= probeDelayFactor
	}
	return e.LastCrash.Add(min(delay, maxProbeDelay))
}

// covers reports whether a prompt has all parts of the entry.
func (e *Entry) covers(p Prompt) bool {
	if e.Fleet != p.Fleet {
		return false
	}
	return isSubset(e.Parts, p.Parts)
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
		case known.Fleet != e.Fleet:
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

// observe counts a crash at which all parts of the entry were in progress, if it is a new occasion.
func (e *Entry) observe(c *crash) {
	if c.survived || c.fleet != e.Fleet || c.at.Sub(e.LastCrash) < occasionGap || !isSubset(e.Parts, c.parts) {
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

// clear removes a part, which does not crash endpoints, from the entries.
func (t entryTable) clear(key partKey) {
	for k, e := range t {
		i, found := slices.BinarySearch(e.Parts, key.part)
		if e.Fleet != key.fleet || !found {
			continue
		}
		delete(t, k)
		if len(e.Parts) == 1 {
			continue
		}
		rest := e.Entry
		rest.Parts = slices.Delete(slices.Clone(e.Parts), i, i+1)
		t.merge(rest, e.settled)
	}
}

// find returns the entry that covers a prompt and can be probed last; nil if there is none.
func (t entryTable) find(p Prompt) *entryState {
	var found *entryState
	for _, e := range t {
		if e.covers(p) && (found == nil || found.ProbeAt().Before(e.ProbeAt())) {
			found = e
		}
	}
	return found
}

// has reports whether a part is among those of an entry.
func (t entryTable) has(key partKey) bool { return t.newest(key) != nil }

// newest returns the entry with the part and the latest crash; nil if there is none.
func (t entryTable) newest(key partKey) *entryState {
	var newest *entryState
	for _, e := range t {
		_, found := slices.BinarySearch(e.Parts, key.part)
		if e.Fleet == key.fleet && found && (newest == nil || newest.LastCrash.Before(e.LastCrash)) {
			newest = e
		}
	}
	return newest
}

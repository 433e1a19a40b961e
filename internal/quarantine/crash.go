package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sightingWindow is the time within which responses of one endpoint that are terminated at one host are one
	// sighting of a crash, and mergeWindow the time within which all sightings of one endpoint are of one crash.
	sightingWindow = 100 * time.Millisecond
	mergeWindow    = time.Second
	// survivalWindow is the time within which an endpoint that answers a later request has not crashed. It is
	// shorter than the restart of any endpoint.
	survivalWindow = 300 * time.Millisecond
	// crashRetention is how long a crash counts.
	crashRetention = time.Hour
	// maxCrashes bounds the crashes that are remembered, maxCrashParts and maxCrashRequests what was in progress
	// at one of them.
	maxCrashes       = 512
	maxCrashParts    = 64
	maxCrashRequests = 128
)

// crash is one supposed crash of an endpoint, or one sighting of it by a host.
type crash struct {
	// id is that of the sighting, which is the same on all hosts; author is the host that saw it, empty if that
	// is another one.
	id, author string
	fleet      string
	// endpoint names one run of an endpoint. A run whose successor has the same name may crash again.
	endpoint string
	at       time.Time
	// parts are the parts of prompts that were in progress, sorted.
	parts []string
	// requests are the requests that were in progress, sorted by fingerprint.
	requests []requestInProgress
	// survived is set if the endpoint has answered a later request: it has not crashed.
	survived bool
}

// requestInProgress is a request that was in progress at a crash.
type requestInProgress struct {
	fingerprint string
	// ran is how long before the crash it was sent; of repetitions at the same time, that of the last one.
	ran time.Duration
}

// isEmpty reports whether all that was in progress has been cleared.
func (c *crash) isEmpty() bool { return len(c.parts)+len(c.requests) == 0 }

// has reports whether a possible cause was in progress.
func (c *crash) has(by cause) bool {
	if by.isRequest() {
		_, found := c.findRequest(by.fingerprint)
		return found
	}
	_, found := slices.BinarySearch(c.parts, by.part)
	return found && c.fleet == by.fleet
}

func (c *crash) findRequest(fingerprint string) (int, bool) {
	return slices.BinarySearchFunc(c.requests, fingerprint, func(r requestInProgress, fingerprint string) int {
		return cmp.Compare(r.fingerprint, fingerprint)
	})
}

// addPart adds a part, and reports whether it is new.
func (c *crash) addPart(part string) bool {
	i, found := slices.BinarySearch(c.parts, part)
	if found || len(c.parts) >= maxCrashParts {
		return false
	}
	c.parts = slices.Insert(c.parts, i, part)
	return true
}

// addRequest adds a request that was sent some time before the crash, and reports whether that is new.
func (c *crash) addRequest(fingerprint string, ran time.Duration) bool {
	i, found := c.findRequest(fingerprint)
	switch {
	case found && c.requests[i].ran <= ran:
		return false
	case found:
		c.requests[i].ran = ran
		return true
	case len(c.requests) >= maxCrashRequests:
		return false
	}
	c.requests = slices.Insert(c.requests, i, requestInProgress{fingerprint, ran})
	return true
}

// remove removes a possible cause, and reports whether it was there.
func (c *crash) remove(by cause) bool {
	if !c.has(by) {
		return false
	}
	if by.isRequest() {
		i, _ := c.findRequest(by.fingerprint)
		c.requests = slices.Delete(c.requests, i, i+1)
		return true
	}
	i, _ := slices.BinarySearch(c.parts, by.part)
	c.parts = slices.Delete(c.parts, i, i+1)
	return true
}

// sentAt returns when the last of the repetitions of a request in progress was sent.
func (c *crash) sentAt(fingerprint string) time.Time {
	i, _ := c.findRequest(fingerprint)
	return c.at.Add(-c.requests[i].ran)
}

// crashLog holds the sightings of crashes, the earliest first. Hosts learn of them in different orders, so that
// they are brought together to crashes only when all are looked at.
type crashLog struct{ crashes []*crash }

// find returns a host's sighting of an endpoint's crash at about a time, or nil.
func (l *crashLog) find(author, endpoint string, at time.Time) *crash {
	for _, c := range slices.Backward(l.crashes) {
		if c.author == author && c.endpoint == endpoint && c.at.Sub(at).Abs() < sightingWindow {
			return c
		}
	}
	return nil
}

// byID returns the sighting with an ID, or nil.
func (l *crashLog) byID(id string) *crash {
	i := slices.IndexFunc(l.crashes, func(c *crash) bool { return c.id == id })
	if i < 0 {
		return nil
	}
	return l.crashes[i]
}

// add adds a sighting.
func (l *crashLog) add(c *crash) {
	l.crashes = append(l.crashes, c)
	l.sort()
	l.crashes = l.crashes[max(len(l.crashes)-maxCrashes, 0):]
}

// setEarlier sets the time of a sighting if that is earlier: the delays of messages make times later.
func (l *crashLog) setEarlier(c *crash, at time.Time) {
	if at.Before(c.at) {
		c.at = at
		l.sort()
	}
}

// merged returns the crashes that endpoints did not survive, the earliest first, each with all that its
// sightings have.
func (l *crashLog) merged() []*crash {
	var list []*crash
	latest := map[string]*crash{}
	for _, c := range l.crashes {
		if c.survived || c.isEmpty() {
			continue
		}
		m := latest[c.endpoint]
		if m == nil || c.at.Sub(m.at) >= mergeWindow {
			m = &crash{fleet: c.fleet, endpoint: c.endpoint, at: c.at}
			latest[c.endpoint] = m
			list = append(list, m)
		}
		m.merge(c)
	}
	return list
}

// merge adds what another sighting of the crash has.
func (c *crash) merge(other *crash) {
	for _, part := range other.parts {
		c.addPart(part)
	}
	for _, r := range other.requests {
		c.addRequest(r.fingerprint, r.ran-other.at.Sub(c.at))
	}
}

// sort sorts the crashes, of equal times in an order that is the same on all hosts.
func (l *crashLog) sort() {
	slices.SortStableFunc(l.crashes, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.id, b.id))
	})
}

// expire drops the crashes that no longer count, and reports whether there were any.
func (l *crashLog) expire(now time.Time) bool {
	before := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) >= crashRetention })
	return len(l.crashes) < before
}

// has reports whether a possible cause was in progress at a crash.
func (l *crashLog) has(by cause) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return c.has(by) })
}

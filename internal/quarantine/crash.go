package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mergeWindow is the time within which all terminated responses of one endpoint are of one crash.
	mergeWindow = time.Second
	// survivalWindow is the time within which an endpoint that answers a later request has not crashed. It is
	// shorter than the restart of any endpoint.
	survivalWindow = 300 * time.Millisecond
	// crashRetention is how long a crash counts.
	crashRetention = time.Hour
	// maxCrashes and maxCrashParts bound the crashes that are remembered and the parts of one of them.
	maxCrashes    = 256
	maxCrashParts = 64
)

// partKey identifies a part of prompts for the endpoints of one fleet.
type partKey struct{ fleet, part string }

// crash is one supposed crash of an endpoint.
type crash struct {
	fleet string
	// endpoint names one run of an endpoint. A run whose successor has the same name may crash again.
	endpoint string
	at       time.Time
	// parts are the parts of prompts that were in progress, sorted.
	parts []string
	// survived is set if the endpoint has answered a later request: it has not crashed.
	survived bool
}

func (c *crash) has(part string) bool {
	_, found := slices.BinarySearch(c.parts, part)
	return found
}

// add adds a part, and reports whether it is new.
func (c *crash) add(part string) bool {
	i, found := slices.BinarySearch(c.parts, part)
	if found || len(c.parts) >= maxCrashParts {
		return false
	}
	c.parts = slices.Insert(c.parts, i, part)
	return true
}

// remove removes a part, and reports whether it was there.
func (c *crash) remove(part string) bool {
	i, found := slices.BinarySearch(c.parts, part)
	if found {
		c.parts = slices.Delete(c.parts, i, i+1)
	}
	return found
}

// crashLog holds the crashes, the earliest first.
type crashLog struct{ crashes []*crash }

// find returns the crash of an endpoint at about a time, or nil.
func (l *crashLog) find(endpoint string, at time.Time) *crash {
	for _, c := range slices.Backward(l.crashes) {
		if c.endpoint == endpoint && c.at.Sub(at).Abs() < mergeWindow {
			return c
		}
	}
	return nil
}

// findOrAdd returns the crash of an endpoint at about a time, and adds it if there is none. A known crash
// keeps the earlier time.
func (l *crashLog) findOrAdd(fleet, endpoint string, at time.Time) *crash {
	if c := l.find(endpoint, at); c != nil {
		if at.Before(c.at) {
			c.at = at
			l.sort()
		}
		return c
	}
	c := &crash{fleet: fleet, endpoint: endpoint, at: at}
	l.crashes = append(l.crashes, c)
	l.sort()
	l.crashes = l.crashes[max(len(l.crashes)-maxCrashes, 0):]
	return c
}

// sort sorts the crashes, of equal times in an order that is the same on all hosts.
func (l *crashLog) sort() {
	slices.SortStableFunc(l.crashes, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.endpoint, b.endpoint))
	})
}

// expire drops the crashes that no longer count, and reports whether there were any.
func (l *crashLog) expire(now time.Time) bool {
	before := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.at) >= crashRetention })
	return len(l.crashes) < before
}

// hasPart reports whether a part was in progress at a crash.
func (l *crashLog) hasPart(key partKey) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool { return c.fleet == key.fleet && c.has(key.part) })
}

package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Verdict says whether a request may be sent.
type Verdict struct {
	Allowed bool
	// Probe is set if the request is sent to find out whether it still crashes endpoints.
	Probe bool
	// Entry is the quarantine that covers the request; nil if none does.
	Entry *Entry
	// RetryAfter is the time until such a request may be probed.
	RetryAfter time.Duration
}

// Table holds the crashes and the quarantines that a host knows of. It is safe for concurrent use.
type Table struct {
	// active is set while anything is known. Otherwise, requests take no lock. It is changed under mu.
	active  atomic.Bool
	mu      sync.Mutex
	log     crashLog
	entries entryTable
	// cleared holds what was in progress at a crash and has had a complete response later.
	cleared map[cause]clearing
	// host names this run of this host. clearings counts what it has cleared, and sightings the crashes that it
	// has seen.
	host      string
	clearings uint64
	sightings uint64
	endings   endings
	// stale is set if the crashes have changed since the entries were worked out.
	stale bool
	// version counts the changes of entries; changes are those that TakeChanges has not returned yet.
	version uint64
	changes []Change
}

// clearing is the last complete response to a request with a possible cause. The ID is the same on all hosts that
// have heard of it, whose times differ by the delays of messages.
type clearing struct {
	at time.Time
	id string
}

// NewTable returns a table without any crash for a run of a host. Other hosts still know what earlier runs, which
// have other numbers, have told.
func NewTable(host string, run int64) *Table {
	return &Table{host: fmt.Sprint(host, "/", run), entries: entryTable{}, cleared: map[cause]clearing{}}
}

// Active reports whether anything is known. If not, Responded has no effect.
func (t *Table) Active() bool { return t.active.Load() }

// Check returns whether a request may be sent. When a probe is due, it is one if mayProbe returns true; a nil
// function stands for false.
func (t *Table) Check(now time.Time, r Request, mayProbe func() bool) Verdict {
	if !t.active.Load() {
		return Verdict{Allowed: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now, "")
	e := t.entries.find(&r)
	if e == nil {
		return Verdict{Allowed: true}
	}
	entry := e.Entry
	wait := max(e.ProbeAt().Sub(now), e.probingUntil.Sub(now))
	if wait > 0 {
		return Verdict{Entry: &entry, RetryAfter: wait}
	}
	if mayProbe == nil || !mayProbe() {
		return Verdict{Entry: &entry, RetryAfter: probeTimeout}
	}
	e.probingUntil = now.Add(probeTimeout)
	return Verdict{Allowed: true, Probe: true, Entry: &entry}
}

// Terminated records that an endpoint closed the connection of a request, sent at a time, before its response
// was complete. It reports whether this is the first one at about that time at this host.
func (t *Table) Terminated(now time.Time, endpoint string, sentAt time.Time, r Request) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = t.log.find(t.host, endpoint, now) == nil
	t.addCrash(now, attempt{Request: r, endpoint: endpoint, ran: now.Sub(sentAt)})
	return first
}

func (t *Table) addCrash(at time.Time, a attempt) {
	t.active.Store(true)
	c := t.ownSighting(a.Fleet, a.endpoint, at)
	t.addAttempt(c, &a, at)
	for _, e := range t.endings.take(at, a.endpoint) {
		t.addAttempt(c, &e.attempt, e.at)
	}
}

// ownSighting returns this host's sighting of an endpoint's crash at about a time, and adds it if there is
// none.
func (t *Table) ownSighting(fleet, endpoint string, at time.Time) *crash {
	if c := t.log.find(t.host, endpoint, at); c != nil {
		t.log.setEarlier(c, at)
		return c
	}
	t.sightings++
	c := &crash{id: fmt.Sprint(t.host, "#", t.sightings), author: t.host, fleet: fleet, endpoint: endpoint, at: at}
	t.log.add(c)
	return c
}

// addAttempt adds an attempt that ended at a time to a crash.
func (t *Table) addAttempt(c *crash, a *attempt, endedAt time.Time) {
	t.addParts(c, a.Parts)
	if a.Fingerprint != "" {
		t.addRequest(c, a.Fingerprint, max(a.ran+c.at.Sub(endedAt), 0))
	}
}

// addParts adds parts to a crash, except those that were in a complete response since.
func (t *Table) addParts(c *crash, parts []string) {
	for _, part := range parts {
		if !t.isClearedSince(c.at, cause{fleet: c.fleet, part: part}) && c.addPart(part) {
			t.stale = true
		}
	}
}

// addRequest adds a request to a crash, unless it has had a complete response since.
func (t *Table) addRequest(c *crash, fingerprint string, ran time.Duration) {
	if !t.isClearedSince(c.at, cause{fingerprint: fingerprint}) && c.addRequest(fingerprint, ran) {
		t.stale = true
	}
}

// isClearedSince reports whether a possible cause has had a complete response at or after a time.
func (t *Table) isClearedSince(at time.Time, by cause) bool {
	c, cleared := t.cleared[by]
	return cleared && !at.After(c.at)
}

// Completed records that the response to a request, sent at a time, is complete. A response that ended with
// its connection may have been cut off by a crash: it counts once its endpoint answers a later request.
func (t *Table) Completed(now time.Time, endpoint string, sentAt time.Time, r Request, endedWithConnection bool) {
	if !endedWithConnection && !t.active.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if endedWithConnection {
		t.endings.add(ending{attempt: attempt{r, endpoint, now.Sub(sentAt)}, at: now})
		return
	}
	t.clear(now, r)
}

// Abandoned records that a request, sent at a time, was given up while its endpoint may have worked on it. If
// the endpoint crashes soon, the request may be the reason.
func (t *Table) Abandoned(now time.Time, endpoint string, sentAt time.Time, r Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endings.add(ending{attempt: attempt{r, endpoint, now.Sub(sentAt)}, at: now, abandoned: true})
}

// Responded records that an endpoint has begun to answer a request that was sent at a time, or has accepted a
// connection that was requested then.
func (t *Table) Responded(now time.Time, endpoint string, sentAt time.Time) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endings.takeBefore(now, endpoint, sentAt) {
		if !e.abandoned {
			t.clear(now, e.Request)
		}
	}
	for _, c := range t.log.crashes {
		if c.endpoint == endpoint && !c.survived && sentAt.After(c.at) && now.Sub(c.at) < survivalWindow {
			c.survived = true
			t.stale = true
		}
	}
}

// Unreachable records that an endpoint refuses connections. If a response of it has just ended with its
// connection, it was cut off.
func (t *Table) Unreachable(now time.Time, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endings.take(now, endpoint) {
		t.addCrash(e.at, e.attempt)
	}
}

// clear records that a request does not crash endpoints.
func (t *Table) clear(at time.Time, r Request) {
	for _, by := range r.causes() {
		if t.log.has(by) || t.entries.has(by) {
			t.clearings++
			t.clearCause(clearing{at: at, id: fmt.Sprint(t.host, "#", t.clearings)}, by, "")
		}
	}
}

func (t *Table) clearCause(c clearing, by cause, source string) {
	t.cleared[by] = c
	for _, crashed := range t.log.crashes {
		if !crashed.at.After(c.at) && crashed.remove(by) {
			t.stale = true
		}
	}
	if e := t.entries.newest(by); e == nil || e.LastCrash.After(c.at) {
		return
	}
	before := t.entries.list()
	t.entries.clear(by)
	t.recordChanges(before, source)
}

// Release ends the quarantines of the parts of a prompt, or of a request, as a complete response does.
func (t *Table) Release(now time.Time, r Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(now, r)
}

// update works out the entries from the crashes if those have changed, and drops what is too old. The
// source is the host whose report led to it.
func (t *Table) update(now time.Time, source string) {
	if t.log.expire(now) {
		t.stale = true
	}
	t.entries.settle(now)
	if !t.stale {
		return
	}
	t.stale = false
	t.entries.expire(now)
	t.expireCleared(now)
	before := t.entries.list()
	t.entries.dropUnsettled()
	crashes := t.log.merged()
	for _, e := range t.entries {
		for _, c := range crashes {
			e.observe(c)
		}
	}
	for _, e := range decide(crashes) {
		t.entries.merge(e, now.Sub(e.LastCrash) >= settleTime)
	}
	t.recordChanges(before, source)
	t.active.Store(len(t.log.crashes)+len(t.entries)+len(t.cleared) > 0)
}

func (t *Table) expireCleared(now time.Time) {
	for key, at := range t.cleared {
		if now.Sub(at.at) >= crashRetention {
			delete(t.cleared, key)
		}
	}
}

// Entries returns the settled quarantines, those with the latest crash first.
func (t *Table) Entries(now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now, "")
	return t.entries.settledList()
}

// settledList returns the settled entries in the order of list.
func (t entryTable) settledList() []Entry {
	return slices.DeleteFunc(t.list(), func(e Entry) bool { return !t[e.key()].settled })
}

func (t entryTable) list() []Entry {
	list := make([]Entry, 0, len(t))
	for _, e := range t {
		list = append(list, e.Entry)
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(b.LastCrash.Compare(a.LastCrash), cmp.Compare(a.key(), b.key()))
	})
	return list
}

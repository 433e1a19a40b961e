package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Prompt is what of a request may crash endpoints: the fleet that serves it, and the parts of its prompt that
// other requests may have too.
type Prompt struct {
	Fleet string
	Parts []string
}

// Verdict says whether a request may be sent.
type Verdict struct {
	Allowed bool
	// Probe is set if the request is sent to find out whether its prompt still crashes endpoints.
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
	// cleared holds the parts that were in progress at a crash and in a complete response later.
	cleared map[partKey]clearing
	// host is the name of this host, and clearings counts what it has cleared.
	host      string
	clearings uint64
	endings   endings
	// stale is set if the crashes have changed since the entries were worked out.
	stale bool
	// version counts the changes of entries; changes are those that TakeChanges has not returned yet.
	version uint64
	changes []Change
}

// clearing is the last time that a part was in a complete response. The ID is the same on all hosts that
// have heard of it, whose times differ by the delays of messages.
type clearing struct {
	at time.Time
	id string
}

// NewTable returns a table without any crash for the host with the given name.
func NewTable(host string) *Table {
	return &Table{host: host, entries: entryTable{}, cleared: map[partKey]clearing{}}
}

// Active reports whether anything is known. If not, Responded has no effect.
func (t *Table) Active() bool { return t.active.Load() }

// Check returns whether a request may be sent. When a probe is due, it is one if mayProbe returns true; a nil
// function stands for false.
func (t *Table) Check(now time.Time, p Prompt, mayProbe func() bool) Verdict {
	if !t.active.Load() || len(p.Parts) == 0 {
		return Verdict{Allowed: true}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now, "")
	e := t.entries.find(p)
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

// Terminated records that an endpoint closed the connection of a request before its response was complete.
func (t *Table) Terminated(now time.Time, endpoint string, p Prompt) {
	if len(p.Parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addCrash(now, endpoint, p)
}

func (t *Table) addCrash(now time.Time, endpoint string, p Prompt) {
	t.active.Store(true)
	c := t.log.findOrAdd(p.Fleet, endpoint, now)
	t.addParts(c, p.Parts)
	for _, e := range t.endings.take(now, endpoint) {
		t.addParts(c, e.prompt.Parts)
	}
}

// addParts adds parts to a crash, except those that were in a complete response since.
func (t *Table) addParts(c *crash, parts []string) {
	for _, part := range parts {
		if t.isClearedSince(c.at, partKey{c.fleet, part}) {
			continue
		}
		if c.add(part) {
			t.stale = true
		}
	}
}

// isClearedSince reports whether a part was in a complete response at or after a time.
func (t *Table) isClearedSince(at time.Time, key partKey) bool {
	c, cleared := t.cleared[key]
	return cleared && !at.After(c.at)
}

// Completed records that the response to a request is complete. A response that ended with its connection
// may have been cut off by a crash: it counts once its endpoint answers a later request.
func (t *Table) Completed(now time.Time, endpoint string, p Prompt, endedWithConnection bool) {
	if len(p.Parts) == 0 || !endedWithConnection && !t.active.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if endedWithConnection {
		t.endings.add(now, endpoint, p)
		return
	}
	t.clear(now, p)
}

// Responded records that an endpoint has begun to answer a request that was sent at a time.
func (t *Table) Responded(now time.Time, endpoint string, sentAt time.Time) {
	if !t.active.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endings.takeBefore(now, endpoint, sentAt) {
		t.clear(now, e.prompt)
	}
	c := t.log.find(endpoint, sentAt)
	if c != nil && !c.survived && sentAt.After(c.at) && now.Sub(c.at) < survivalWindow {
		c.survived = true
		t.stale = true
	}
}

// Unreachable records that an endpoint accepts no connections. If a response of it has just ended with its
// connection, it was cut off.
func (t *Table) Unreachable(now time.Time, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endings.take(now, endpoint) {
		t.addCrash(e.at, endpoint, e.prompt)
	}
}

// clear records that the parts of a prompt do not crash endpoints.
func (t *Table) clear(at time.Time, p Prompt) {
	for _, part := range p.Parts {
		key := partKey{p.Fleet, part}
		if t.log.hasPart(key) || t.entries.has(key) {
			t.clearings++
			t.clearPart(clearing{at: at, id: fmt.Sprint(t.host, "#", t.clearings)}, key, "")
		}
	}
}

func (t *Table) clearPart(by clearing, key partKey, source string) {
	t.cleared[key] = by
	for _, c := range t.log.crashes {
		if c.fleet == key.fleet && !c.at.After(by.at) && c.remove(key.part) {
			t.stale = true
		}
	}
	if e := t.entries.newest(key); e == nil || e.LastCrash.After(by.at) {
		return
	}
	before := t.entries.list()
	t.entries.clear(key)
	t.recordChanges(before, source)
}

// Release ends the quarantines of the parts of a prompt, as a complete response does.
func (t *Table) Release(now time.Time, p Prompt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(now, p)
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
	for _, e := range t.entries {
		for _, c := range t.log.crashes {
			e.observe(c)
		}
	}
	for _, e := range decide(t.log.crashes) {
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

package quarantine

import (
	"slices"
	"time"
)

const (
	// reportRetention is how long hosts tell each other of a crash or of a part that does not crash endpoints.
	// Messages are repeated, because they may be lost.
	reportRetention = 10 * time.Second
	// maxReportedCrashes, maxReportedRequests (of all crashes together), maxReportedCleared and
	// maxReportedEntries bound a message.
	maxReportedCrashes  = 64
	maxReportedRequests = 256
	maxReportedCleared  = 64
	maxReportedEntries  = 32
)

// Report is what a host tells others. Ages are in milliseconds.
type Report struct {
	Crashes []CrashReport   `json:"crashes,omitempty"`
	Cleared []ClearedReport `json:"cleared,omitempty"`
	Entries []EntryReport   `json:"entries,omitempty"`
}

// CrashReport says that a host has seen a supposed crash of an endpoint, and which parts of prompts and which
// requests of that host were in progress.
type CrashReport struct {
	// ID identifies the sighting.
	ID        string          `json:"id"`
	Fleet     string          `json:"fleet"`
	Endpoint  string          `json:"endpoint"`
	Parts     []string        `json:"parts,omitempty"`
	Requests  []RequestReport `json:"requests,omitempty"`
	AgeMillis int64           `json:"age_ms"`
	// Survived is set if the endpoint has answered since.
	Survived bool `json:"survived,omitempty"`
}

// RequestReport is a request that was in progress at a crash, and for how long it had been.
type RequestReport struct {
	Fingerprint string `json:"fingerprint"`
	RanMillis   int64  `json:"ran_ms"`
}

// ClearedReport says that a part or a request which was in progress at a crash has had a complete response
// later.
type ClearedReport struct {
	Fleet       string `json:"fleet,omitempty"`
	Part        string `json:"part,omitempty"`
	Fingerprint string `json:"fingerprint,omitempty"`
	AgeMillis   int64  `json:"age_ms"`
	// ID identifies the response.
	ID string `json:"id"`
}

// EntryReport is an entry; the age is that of its last crash.
type EntryReport struct {
	Fleet       string   `json:"fleet,omitempty"`
	Parts       []string `json:"parts,omitempty"`
	Fingerprint string   `json:"fingerprint,omitempty"`
	Crashes     int      `json:"crashes"`
	AgeMillis   int64    `json:"age_ms"`
}

// Report returns what to tell the other hosts, the newest of each kind first; nil if there is nothing.
func (t *Table) Report(now time.Time) *Report {
	if !t.active.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now, "")
	r := &Report{Crashes: t.crashReports(now), Cleared: t.clearedReports(now), Entries: t.entryReports(now)}
	if len(r.Crashes)+len(r.Cleared)+len(r.Entries) == 0 {
		return nil
	}
	return r
}

func (t *Table) crashReports(now time.Time) []CrashReport {
	var reports []CrashReport
	requests := 0
	for _, c := range slices.Backward(t.log.crashes) {
		age := now.Sub(c.at)
		if age >= reportRetention || len(reports) == maxReportedCrashes {
			break
		}
		if c.isEmpty() && !c.survived {
			continue
		}
		r := CrashReport{ID: c.id, Fleet: c.fleet, Endpoint: c.endpoint, AgeMillis: age.Milliseconds(), Survived: c.survived}
		r.Parts = slices.Clone(c.parts)
		for _, q := range c.requests[:min(len(c.requests), maxReportedRequests-requests)] {
			r.Requests = append(r.Requests, RequestReport{q.fingerprint, q.ran.Milliseconds()})
		}
		requests += len(r.Requests)
		reports = append(reports, r)
	}
	return reports
}

func (t *Table) clearedReports(now time.Time) []ClearedReport {
	var reports []ClearedReport
	for by, c := range t.cleared {
		if age := now.Sub(c.at); age < reportRetention {
			reports = append(reports, ClearedReport{by.fleet, by.part, by.fingerprint, age.Milliseconds(), c.id})
		}
	}
	slices.SortFunc(reports, func(a, b ClearedReport) int { return int(a.AgeMillis - b.AgeMillis) })
	return reports[:min(len(reports), maxReportedCleared)]
}

func (t *Table) entryReports(now time.Time) []EntryReport {
	list := t.entries.settledList()
	reports := make([]EntryReport, 0, len(list))
	for _, e := range list[:min(len(list), maxReportedEntries)] {
		age := now.Sub(e.LastCrash).Milliseconds()
		reports = append(reports, EntryReport{e.Fleet, e.Parts, e.Fingerprint, e.Crashes, age})
	}
	return reports
}

// Apply records what another host tells, and reports whether any of it was not known.
func (t *Table) Apply(now time.Time, source string, r *Report) bool {
	if r == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active.Store(true)
	before := t.version
	for i := range r.Crashes {
		t.applyCrash(now, &r.Crashes[i])
	}
	changed := t.stale
	for _, c := range r.Cleared {
		if at, ok := timeOf(now, c.AgeMillis); ok {
			t.applyCleared(clearing{at, c.ID}, cause{c.Fleet, c.Part, c.Fingerprint}, source)
		}
	}
	for i := range r.Entries {
		t.applyEntry(now, &r.Entries[i], source)
	}
	t.update(now, source)
	return changed || t.version != before
}

// timeOf returns the time that was an age ago; false if that cannot be.
func timeOf(now time.Time, ageMillis int64) (time.Time, bool) {
	if ageMillis < 0 || ageMillis > entryRetention.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ageMillis) * time.Millisecond), true
}

func (t *Table) applyCrash(now time.Time, r *CrashReport) {
	at, ok := timeOf(now, r.AgeMillis)
	if !ok || r.Endpoint == "" || r.ID == "" || now.Sub(at) >= crashRetention {
		return
	}
	c := t.log.byID(r.ID)
	if c == nil {
		c = &crash{id: r.ID, fleet: r.Fleet, endpoint: r.Endpoint, at: at}
		t.log.add(c)
	}
	t.log.setEarlier(c, at)
	if r.Survived && !c.survived {
		c.survived = true
		t.stale = true
	}
	t.addParts(c, r.Parts)
	for _, q := range r.Requests {
		if q.Fingerprint != "" {
			t.addRequest(c, q.Fingerprint, time.Duration(max(q.RanMillis, 0))*time.Millisecond)
		}
	}
}

// applyCleared keeps what was cleared elsewhere, also what this host does not know to be in progress at a
// crash: the report of the crash may arrive later.
func (t *Table) applyCleared(c clearing, by cause, source string) {
	known, ok := t.cleared[by]
	if ok && (c.id == known.id || !c.at.After(known.at)) || !ok && len(t.cleared) >= maxCleared {
		return
	}
	t.clearCause(c, by, source)
}

// maxCleared bounds the causes that are remembered as cleared.
const maxCleared = 4096

func (t *Table) applyEntry(now time.Time, r *EntryReport, source string) {
	at, ok := timeOf(now, r.AgeMillis)
	if !ok || len(r.Parts) > maxCrashParts || r.Crashes < minOccasions {
		return
	}
	e := Entry{Fleet: r.Fleet, Parts: slices.Clone(r.Parts), Fingerprint: r.Fingerprint, Crashes: r.Crashes, LastCrash: at}
	if e.isRequest() {
		e.Fleet, e.Parts = "", nil
	}
	slices.Sort(e.Parts)
	e.Parts = slices.DeleteFunc(slices.Compact(e.Parts), func(part string) bool {
		return t.isClearedSince(at, cause{fleet: e.Fleet, part: part})
	})
	if len(e.Parts) == 0 && (!e.isRequest() || t.isClearedSince(at, cause{fingerprint: e.Fingerprint})) {
		return
	}
	before := t.entries.list()
	t.entries.merge(e, true)
	t.recordChanges(before, source)
}

package backpressure

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// reportRetention is how long after an endpoint told it the hosts tell each other that it leaves.
	// Messages are repeated, because they may be lost.
	reportRetention = 5 * time.Second
	// maxReports bounds the endpoints of one message.
	maxReports = 100
	// maxUnlisted bounds the remembered endpoints that are not listed. Closed ones are forgotten first, and
	// then those that are known to leave for the longest time.
	maxUnlisted = 4096
)

// Instance identifies one run of an endpoint.
type Instance struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// StartMillis is when the run started, in Unix milliseconds; zero if unknown.
	StartMillis int64 `json:"born,omitempty"`
}

// LeavingReport is the message of a host that an endpoint leaves.
type LeavingReport struct {
	Instance
	// Source is the host that the endpoint told, and AgeMillis how long ago.
	Source    string `json:"source"`
	AgeMillis int64  `json:"age_ms"`
}

// Table holds the endpoints by run. It is safe for concurrent use.
type Table struct {
	// host is the name of this host.
	host string
	// hosts are those that share the endpoints' rate limits; nil before they are known.
	hosts     atomic.Pointer[Hosts]
	mu        sync.Mutex
	endpoints map[Instance]*Endpoint
}

// NewTable returns an empty table of the host with the given name.
func NewTable(host string) *Table {
	return &Table{host: host, endpoints: map[Instance]*Endpoint{}}
}

// Endpoint returns the state of a run of an endpoint, which it creates if there is none.
func (t *Table) Endpoint(i Instance) *Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[i]
	if e == nil {
		e = &Endpoint{}
		t.endpoints[i] = e
	}
	return e
}

// all returns a copy of the endpoints.
func (t *Table) all() map[Instance]*Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.endpoints)
}

// Observe records a signal of a response of an endpoint that arrived now. The random number, from 0 to
// 1, is the jitter of a pause.
func (t *Table) Observe(now time.Time, random float64, i Instance, s Signal) Change {
	return t.Endpoint(i).Observe(now, random, s, t.host)
}

// IsLeaving reports whether the endpoint has told a host that it leaves.
func (t *Table) IsLeaving(i Instance) bool {
	t.mu.Lock()
	e := t.endpoints[i]
	t.mu.Unlock()
	return e != nil && e.restricted.Load() && e.leavingInfo() != nil
}

func (e *Endpoint) leavingInfo() *leavingInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// ApplyReports records the reports of another host, and returns those that were not known.
func (t *Table) ApplyReports(now time.Time, reports []LeavingReport) []LeavingReport {
	var unknown []LeavingReport
	for _, r := range reports {
		if r.ID == "" || r.AgeMillis < 0 {
			continue
		}
		e := t.Endpoint(r.Instance)
		e.mu.Lock()
		since := now.Add(-time.Duration(min(r.AgeMillis, reportRetention.Milliseconds())) * time.Millisecond)
		if e.markLeavingLocked(leavingInfo{source: r.Source, since: since}) {
			unknown = append(unknown, r)
		}
		e.mu.Unlock()
	}
	return unknown
}

// LeavingReports returns what to tell the other hosts: the endpoints that have told a host in the last seconds that
// they leave, the newest first.
func (t *Table) LeavingReports(now time.Time) []LeavingReport {
	var reports []LeavingReport
	for i, info := range t.leaving() {
		if age := now.Sub(info.since); age < reportRetention {
			reports = append(reports, LeavingReport{Instance: i, Source: info.source, AgeMillis: age.Milliseconds()})
		}
	}
	slices.SortFunc(reports, func(a, b LeavingReport) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.ID, b.ID))
	})
	return reports[:min(len(reports), maxReports)]
}

// leaving returns the endpoints that are known to leave.
func (t *Table) leaving() map[Instance]leavingInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	infos := map[Instance]leavingInfo{}
	for i, e := range t.endpoints {
		if !e.restricted.Load() {
			continue
		}
		if info := e.leavingInfo(); info != nil {
			infos[i] = *info
		}
	}
	return infos
}

// Counts are numbers of endpoints.
type Counts struct {
	Leaving int
	// Closed are the other ones that want no requests for some time, and Limited those that state a rate limit.
	Closed  int
	Limited int
}

// Counts counts the endpoints by what they have said.
func (t *Table) Counts(now time.Time) Counts {
	var c Counts
	for _, e := range t.all() {
		v := e.Verdict(now)
		switch {
		case v.Leaving:
			c.Leaving++
		case !v.Limited && now.Before(v.OpensAt):
			c.Closed++
		}
		if !v.Leaving && e.Limit().Stated {
			c.Limited++
		}
	}
	return c
}

// Retain forgets the endpoints that are not listed, except those that leave or to which requests have not
// returned completely: a later list may name them again.
func (t *Table) Retain(listed []Instance) {
	keep := make(map[Instance]bool, len(listed))
	for _, i := range listed {
		keep[i] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var unlisted []Instance
	for i, e := range t.endpoints {
		if keep[i] {
			continue
		}
		if e.restricted.Load() {
			unlisted = append(unlisted, i)
			continue
		}
		delete(t.endpoints, i)
	}
	t.forgetOldestLocked(unlisted)
}

// forgetOldestLocked forgets as many endpoints as there are over maxUnlisted.
func (t *Table) forgetOldestLocked(unlisted []Instance) {
	if len(unlisted) <= maxUnlisted {
		return
	}
	since := func(i Instance) time.Time {
		if info := t.endpoints[i].leavingInfo(); info != nil {
			return info.since
		}
		return time.Time{}
	}
	slices.SortFunc(unlisted, func(a, b Instance) int { return since(a).Compare(since(b)) })
	for _, i := range unlisted[:len(unlisted)-maxUnlisted] {
		delete(t.endpoints, i)
	}
}

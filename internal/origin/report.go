package origin

import (
	"cmp"
	"slices"
	"time"

	"rattanchute/internal/route"
)

const (
	// maxReported bounds the streams in a message; the newest are included.
	maxReported = 1500
	// repeatTime is how long all streams are repeated after a host has joined.
	repeatTime = time.Second
)

// Report is what a host tells others. Ages are in milliseconds.
type Report struct {
	Streams []StreamsReport `json:"streams,omitempty"`
	Only    []OnlyReport    `json:"only,omitempty"`
	// Destinations are those that have been in force for longer than streams may be resumed. A host tells them when another
	// joins, and while its configuration is confirmed.
	Destinations []route.Destination `json:"destinations,omitempty"`
}

// StreamsReport lists streams with the same origin.
type StreamsReport struct {
	Fleet   string `json:"fleet"`
	Version string `json:"version"`
	Keys    []Key  `json:"keys"`
}

// OnlyReport says that a fleet has had only one version for some time, at most as long as streams may be
// resumed.
type OnlyReport struct {
	Fleet     string `json:"fleet"`
	Version   string `json:"version"`
	AgeMillis int64  `json:"age_ms"`
}

// Repeat has all streams reported again for a while, because a host has joined that does not know them.
func (t *Table) Repeat(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeatUntil = now.Add(repeatTime)
}

// Report returns what to tell other hosts: the streams heard of after a time. With own set, only those that
// this host or its followers served are included.
func (t *Table) Report(now, after time.Time, own bool) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &Report{}
	if now.Before(t.repeatUntil) {
		after = now.Add(-retention)
		r.Destinations = t.routes.certain(now)
	}
	r.Streams, r.Only = t.streamReports(after, own), t.onlyReports(now)
	if len(r.Streams)+len(r.Only)+len(r.Destinations) == 0 {
		return nil
	}
	return r
}

// isReported reports whether other hosts are told of the stream; with own set, only because of the group.
func (s *stream) isReported(own bool) bool {
	if s.origin == (Origin{}) {
		return false
	}
	return s.fromGroup || !own && !s.fromStore
}

func (t *Table) streamReports(after time.Time, own bool) []StreamsReport {
	keys := map[Origin][]Key{}
	count := 0
	for _, s := range slices.Backward(t.streams) {
		if !s.heardAt.After(after) || count == maxReported {
			break
		}
		if s.isReported(own) {
			keys[s.origin] = append(keys[s.origin], s.key)
			count++
		}
	}
	return grouped(keys)
}

func (t *Table) onlyReports(now time.Time) []OnlyReport {
	var reports []OnlyReport
	if !t.versions.isConfirmed(now) {
		return nil
	}
	for fleet := range t.versions.fleets {
		version, since := t.versions.only(now, fleet)
		if age := now.Sub(since); version != "" && age > 0 {
			reports = append(reports, OnlyReport{fleet, version, min(age, retention).Milliseconds()})
		}
	}
	slices.SortFunc(reports, func(a, b OnlyReport) int { return cmp.Compare(a.Fleet, b.Fleet) })
	return reports
}

// Apply records what another host tells; fromGroup is set if that host is a follower of this one.
func (t *Table) Apply(now time.Time, r *Report, fromGroup bool) {
	if r == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range r.Streams {
		for _, key := range s.Keys {
			t.add(stream{key: key, origin: Origin{s.Fleet, s.Version}, heardAt: now, fromGroup: fromGroup})
		}
	}
	for _, destination := range r.Destinations {
		t.routes.hear(destination, now.Add(-retention))
	}
	for _, o := range r.Only {
		if o.AgeMillis > 0 && o.AgeMillis <= retention.Milliseconds() {
			t.versions.hear(o.Fleet, o.Version, now.Add(-time.Duration(o.AgeMillis)*time.Millisecond))
		}
	}
}

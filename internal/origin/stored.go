package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// TakeUnstored returns streams that are not in the store but have to be, in the order in which this host
// learned of them, and counts them as stored: those of the group whose fleets may have had several versions
// lately. The zero origin stands for several.
func (t *Table) TakeUnstored(now time.Time, most int) []StoredStream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var taken []StoredStream
	uncertain := t.uncertainFleets(now)
	if len(uncertain) == 0 {
		return nil
	}
	for _, s := range t.streams {
		if len(taken) == most {
			break
		}
		if s.stored || !s.fromGroup || !uncertain[s.origin.Fleet] || !s.key.valid() {
			continue
		}
		s.stored = true
		taken = append(taken, StoredStream{Key: s.key, Origin: s.storedOrigin()})
	}
	return taken
}

// uncertainFleets returns the fleets of which streams that may be resumed began at several versions, for all
// that this host knows.
func (t *Table) uncertainFleets(now time.Time) map[string]bool {
	uncertain := map[string]bool{}
	for name := range t.versions.fleets {
		if !t.isCertain(now, name) {
			uncertain[name] = true
		}
	}
	return uncertain
}

// isCertain reports whether all streams of a fleet that callers may resume began at one version.
func (t *Table) isCertain(now time.Time, fleet string) bool {
	version, since := t.versions.only(now, fleet)
	return version != "" && now.Sub(since) >= retention
}

func (s *stream) storedOrigin() Origin {
	if s.conflicting {
		return Origin{}
	}
	return s.origin
}

// AddStored records streams that were read from the store.
func (t *Table) AddStored(now time.Time, streams []StoredStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range streams {
		t.add(stream{key: s.Key, origin: s.Origin, heardAt: now, conflicting: s.Origin == Origin{}, stored: true, fromStore: true})
	}
}

// HasStreams reports whether this host knows of streams that may be resumed.
func (t *Table) HasStreams(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams) > 0 && now.Sub(t.streams[len(t.streams)-1].heardAt) <= retention
}

// OnlyVersions returns the fleets of which all streams that may be resumed began at one version, with that
// version.
func (t *Table) OnlyVersions(now time.Time) map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	only := map[string]string{}
	for name := range t.versions.fleets {
		if t.isCertain(now, name) {
			only[name], _ = t.versions.only(now, name)
		}
	}
	// A peer with a newer list of endpoints may have begun streams at another version.
	for _, s := range t.streams {
		if version, found := only[s.origin.Fleet]; found && (s.conflicting || s.origin.Version != version) {
			delete(only, s.origin.Fleet)
		}
	}
	return only
}

// AddOnly records that all streams of a fleet that may be resumed began at one version, as read from the store.
func (t *Table) AddOnly(now time.Time, fleet, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.hear(fleet, version, now.Add(-retention))
}

// StoredStream is a stream as it is stored. The zero Origin stands for several.
type StoredStream struct {
	Key    Key
	Origin Origin
}

// group returns the keys of streams by origin, in a fixed order of origins.
func group(streams []StoredStream) []StreamsReport {
	keys := map[Origin][]Key{}
	for _, s := range streams {
		keys[s.Origin] = append(keys[s.Origin], s.Key)
	}
	return grouped(keys)
}

// grouped returns the lists of keys in a fixed order of their origins.
func grouped(keys map[Origin][]Key) []StreamsReport {
	origins := slices.SortedFunc(maps.Keys(keys), func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Fleet, b.Fleet), cmp.Compare(a.Version, b.Version))
	})
	reports := make([]StreamsReport, 0, len(keys))
	for _, o := range origins {
		reports = append(reports, StreamsReport{o.Fleet, o.Version, keys[o]})
	}
	return reports
}

package origin

import (
	"time"

	"rattanchute/internal/registry"
)

// versionLog remembers which versions the fleets had lately.
type versionLog struct {
	// knownSince is since when this host has known all endpoints, and confirmedAt until when, at least: its start
	// before it has read them.
	knownSince  time.Time
	confirmedAt time.Time
	fleets      map[string]*fleetVersions
}

// fleetVersions are the versions of one fleet.
type fleetVersions struct {
	// lastSeen is when an endpoint of each version was last there; those of listed versions are there now.
	lastSeen map[string]time.Time
	listed   map[string]bool
	// heardSince is since when the fleet has had one version according to another host, and heardVersion that
	// version; empty if none has said so.
	heardVersion string
	heardSince   time.Time
}

// newVersionLog returns the log of a host that starts at a time.
func newVersionLog(knownSince, startedAt time.Time) versionLog {
	return versionLog{knownSince: knownSince, confirmedAt: startedAt, fleets: map[string]*fleetVersions{}}
}

func (l *versionLog) fleet(name string) *fleetVersions {
	f := l.fleets[name]
	if f == nil {
		f = &fleetVersions{lastSeen: map[string]time.Time{}, listed: map[string]bool{}}
		l.fleets[name] = f
	}
	return f
}

// set records the endpoints that are there now.
func (l *versionLog) set(now time.Time, known []registry.Known) {
	for _, f := range l.fleets {
		for version := range f.listed {
			f.lastSeen[version] = now
		}
		clear(f.listed)
	}
	for _, k := range known {
		f := l.fleet(k.Fleet)
		f.listed[k.Version] = true
		f.lastSeen[k.Version] = now
	}
}

// saw records that an endpoint of a version was there.
func (l *versionLog) saw(now time.Time, fleet, version string) {
	l.fleet(fleet).lastSeen[version] = now
}

// maxConfirmationGap is the longest time between two confirmations in which no version is missed. The last endpoint of a
// version leaves more slowly than it comes.
const maxConfirmationGap = 2500 * time.Millisecond

// confirm records that all endpoints were known at a time. After a longer gap, a version may have come and gone since
// the confirmation before.
func (l *versionLog) confirm(at time.Time) {
	if !at.After(l.confirmedAt) {
		return
	}
	if at.Sub(l.confirmedAt) > maxConfirmationGap {
		l.knownSince = at
		for _, f := range l.fleets {
			f.heardVersion, f.heardSince = "", time.Time{}
		}
	}
	l.confirmedAt = at
}

// isConfirmed reports whether all endpoints were known a short time ago.
func (l *versionLog) isConfirmed(now time.Time) bool {
	return now.Sub(l.confirmedAt) <= maxConfirmationGap
}

// only returns the one version that a fleet has, and since when it has had no other; an empty version if it
// has several or none.
func (l *versionLog) only(now time.Time, fleet string) (version string, since time.Time) {
	f := l.fleets[fleet]
	if f == nil || len(f.listed) != 1 {
		return "", time.Time{}
	}
	for v := range f.listed {
		version = v
	}
	since = l.knownSince
	if f.heardVersion == version && f.heardSince.Before(since) {
		since = f.heardSince
	}
	for v, seenAt := range f.lastSeen {
		switch {
		case v == version:
		case now.Sub(seenAt) > retention:
			delete(f.lastSeen, v)
		case seenAt.After(since):
			since = seenAt
		}
	}
	return version, since
}

// hear records that another host knows of only one version of a fleet since a time.
func (l *versionLog) hear(fleet, version string, since time.Time) {
	f := l.fleet(fleet)
	if f.heardVersion != version || since.Before(f.heardSince) {
		f.heardVersion, f.heardSince = version, since
	}
}

package node

import (
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

// restoreSettleTime is how long after a restore of the store the operator and the endpoints may take to
// write again what the copy lacks. The platform documents about two seconds.
const restoreSettleTime = 2500 * time.Millisecond

// peerReportWait is how long a host that starts waits for the first report of a peer before it takes it that
// there is none.
const peerReportWait = 700 * time.Millisecond

// configurationState decides which configuration is in force and whether it is known to be the newest.
// Configurations are ordered by generation, which the operator raises, and not by store version: after a
// restore, the store may show an older configuration at a newer version. It is not safe for concurrent
// use.
type configurationState struct {
	// version is the newest store version read, and stored the generation found there.
	version objectstore.Version
	stored  fleet.Generation
	// readAt is when the store was last asked for it.
	readAt time.Time
	// active is the generation in force, and newest the highest generation that this host or a peer
	// has had in force.
	active fleet.Generation
	newest fleet.Generation
	// settlesAt is when the operator has had the time to write again what a restore has lost.
	settlesAt time.Time
	// startedAt is when this host started; zero if the whole system started then. The store may have been restored
	// shortly before, which only peers know that ran meanwhile.
	startedAt time.Time
	// peerHeard is set once a peer has said which generation it has in force.
	peerHeard bool
}

// read records that the store holds a generation at a version, and reports whether that is to be put in
// force.
func (s *configurationState) read(version objectstore.Version, g fleet.Generation) (apply bool) {
	s.version, s.stored = version, g
	if g <= s.active {
		return false
	}
	s.active = g
	s.newest = max(s.newest, g)
	return true
}

// heard records that a peer has a generation in force, and reports whether this host lacks it.
func (s *configurationState) heard(g fleet.Generation) (outdated bool) {
	s.newest = max(s.newest, g)
	s.peerHeard = s.peerHeard || g > 0
	return g > s.active
}

// refuted reports whether the store holds a generation older than one that a peer names, while a restore of which this
// host does not know may still be settling: what it has confirmed since its start came from the older copy.
func (s *configurationState) refuted(now time.Time) bool {
	return s.stored < s.newest && now.Before(s.startedAt.Add(restoreSettleTime))
}

// awaitsPeer reports whether a peer that knows a newer generation may still be silent.
func (s *configurationState) awaitsPeer(now time.Time) bool {
	return !s.peerHeard && now.Before(s.startedAt.Add(peerReportWait))
}

// restored records that the store was restored from an older copy.
func (s *configurationState) restored(now time.Time) { s.settlesAt = now.Add(restoreSettleTime) }

// confirmed reports whether the active generation was the newest at a time at which the store was seen to
// hold the given one. It was not if any host knows a newer one, and that is unknown while the operator may
// still have to write a newer one again, and until a host that starts has heard a peer.
func (s *configurationState) confirmed(at time.Time, stored fleet.Generation) bool {
	return s.active > 0 && stored == s.active && s.active == s.newest && !at.Before(s.settlesAt) && !s.awaitsPeer(at)
}

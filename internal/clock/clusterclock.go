package clock

import (
	"slices"
	"sync"
	"time"
)

// readingMaxAge is how long a peer's clock reading is used.
const readingMaxAge = 3 * time.Second

// ClusterClock estimates the offset of the cluster's wall-clock time from the time since boot. The
// clock of a single host may jump; the median over the hosts is not affected by a few such hosts.
type ClusterClock struct {
	mu      sync.Mutex
	offset  time.Duration
	offsets map[string]reading
}

type reading struct {
	offset time.Duration
	at     time.Time
}

// NewClusterClock returns an estimate that starts from this host's own wall clock.
func NewClusterClock(now, wall time.Time) *ClusterClock {
	return &ClusterClock{offset: wall.Sub(now), offsets: map[string]reading{}}
}

// At returns the estimated wall-clock time at an instant since boot.
func (t *ClusterClock) At(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Add(t.offset)
}

// OnReport records the wall-clock time that a peer has just sent. If recent readings of at least two
// peers are known, the estimate becomes the median of these and of this host's own clock; of an even
// number, the upper of the two in the middle. Otherwise the estimate stays as it was.
func (t *ClusterClock) OnReport(now, ownWall time.Time, peer string, peerWall time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offsets[peer] = reading{peerWall.Sub(now), now}
	readings := []time.Duration{ownWall.Sub(now)}
	for name, r := range t.offsets {
		if now.Sub(r.at) > readingMaxAge {
			delete(t.offsets, name)
			continue
		}
		readings = append(readings, r.offset)
	}
	const needed = 3 // with two hosts that differ it is unknown whose clock has jumped
	if len(readings) < needed {
		return
	}
	slices.Sort(readings)
	t.offset = readings[len(readings)/2]
}

// Adopt replaces the estimate by the one that another host has just sent.
func (t *ClusterClock) Adopt(now, clusterTime time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offset = clusterTime.Sub(now)
}

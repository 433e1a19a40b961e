package clock

import (
	"slices"
	"sync"
	"time"
)

// offsetMaxAge is how long a peer's reading counts.
const offsetMaxAge = 3 * time.Second

// ClusterClock keeps the offset of true time to the time since boot. The dates of hosts may
// step; the median of what the hosts show does not step with a few of them.
type ClusterClock struct {
	mu      sync.Mutex
	offset  time.Duration
	offsets map[string]reading
}

type reading struct {
	offset time.Duration
	at     time.Time
}

// NewTrueTime begins with this host's own date.
func NewTrueTime(now, wall time.Time) *ClusterClock {
	return &ClusterClock{offset: wall.Sub(now), offsets: map[string]reading{}}
}

// At is the true time at an instant since boot.
func (t *ClusterClock) At(now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Add(t.offset)
}

// OnReport takes in the date that a peer sent a moment ago, beside this host's own.
func (t *ClusterClock) OnReport(now, ownWall time.Time, peer string, peerWall time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offsets[peer] = reading{peerWall.Sub(now), now}
	readings := []time.Duration{ownWall.Sub(now)}
	for name, r := range t.offsets {
		if now.Sub(r.at) > offsetMaxAge {
			delete(t.offsets, name)
			continue
		}
		readings = append(readings, r.offset)
	}
	const needed = 3 // two hosts that differ do not tell which one has stepped
	if len(readings) < needed {
		return
	}
	slices.Sort(readings)
	t.offset = readings[len(readings)/2]
}

// Adopt takes over another host's estimate of true time, sent a moment ago.
func (t *ClusterClock) Adopt(now, trueTime time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offset = trueTime.Sub(now)
}

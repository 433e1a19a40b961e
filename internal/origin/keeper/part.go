package keeper

import (
	"time"

	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
)

const (
	// partTime is how long a part takes new streams.
	partTime = 2 * time.Second
	// maxParts bounds the parts of a host. The oldest are left to a sweep, or are lost if the store answers no
	// writes.
	maxParts = 50
)

// part is one object of this host.
type part struct {
	// index distinguishes the parts of a writer; zero until the part has streams.
	index int
	batch origin.Batch
	// openedAt and newestAt are when the part was opened and when its last stream was added.
	openedAt time.Time
	newestAt time.Time
	// version is that of the stored object; zero if it is not known to be stored.
	version objectstore.Version
	// dirty is set while streams are to be written.
	dirty bool
}

// openPart returns the part that takes new streams.
func (k *Keeper) openPart(now time.Time) *part {
	if len(k.parts) > 0 {
		last := k.parts[len(k.parts)-1]
		if now.Sub(last.openedAt) < partTime && len(last.batch.Streams) < origin.MaxBatchStreams {
			return last
		}
	}
	return &part{openedAt: now}
}

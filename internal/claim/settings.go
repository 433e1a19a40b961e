package claim

import "time"

// Default settings.
const (
	DefaultShards          = 4
	DefaultMaxGroupDelay   = 100 * time.Millisecond
	DefaultTargetGroupSize = 24
	DefaultStoreTimeout    = 500 * time.Millisecond
	DefaultForwardTimeout  = 2 * time.Second
	DefaultMaxQueued       = 4096
	DefaultMaxBacklog      = 16384
	DefaultWriters         = 16
)

// Settings are the tunable parameters of a Service. Zero values select the defaults.
type Settings struct {
	// Shards is the number of shards. The first daemon of a deployment stores it in the platform,
	// and the stored number overrides the setting.
	// It is at most maxShards, which every member accepts as a stored layout.
	Shards int
	// MaxGroupDelay is the longest time that a claim waits for others to share its write.
	MaxGroupDelay time.Duration
	// TargetGroupSize is the number of claims in a write beyond which a longer delay is not
	// worthwhile.
	TargetGroupSize int
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// ForwardTimeout bounds the wait for the answer of an owner.
	ForwardTimeout time.Duration
	// MaxQueued bounds the pending operations of one shard.
	MaxQueued int
	// MaxBacklog bounds the reports that are queued while the store is unavailable.
	MaxBacklog int
	// Writers bounds the number of tasks that use the store at the same time: commits, of which each
	// shard runs one at a time, and deletions of segments.
	Writers int
	// SealThresholdBytes is the size of a shard, without its segments, above which it is sealed, and
	// MergeThreshold the number of old segments from which on they are merged into one.
	SealThresholdBytes int
	MergeThreshold     int
}

// withDefaults replaces zero values by the defaults.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Shards, DefaultShards)
	s.Shards = min(s.Shards, maxShards)
	setDefault(&s.MaxGroupDelay, DefaultMaxGroupDelay)
	setDefault(&s.TargetGroupSize, DefaultTargetGroupSize)
	setDefault(&s.StoreTimeout, DefaultStoreTimeout)
	setDefault(&s.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&s.MaxQueued, DefaultMaxQueued)
	setDefault(&s.MaxBacklog, DefaultMaxBacklog)
	setDefault(&s.Writers, DefaultWriters)
	setDefault(&s.SealThresholdBytes, DefaultSealThresholdBytes)
	setDefault(&s.MergeThreshold, DefaultMergeThreshold)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

package claim

import "time"

// Defaults of the settings.
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

// Settings tune a Service. Zero values stand for the defaults.
type Settings struct {
	// Shards is the number of shards. The first daemon of a site fixes it in the
	// platform; what is stored there wins over the setting.
	Shards int
	// MaxGroupDelay is the longest time a claim waits for others to share its write.
	MaxGroupDelay time.Duration
	// TargetGroupSize is the number of claims a write that a longer wait is not worth.
	TargetGroupSize int
	// StoreTimeout limits one call to the store.
	StoreTimeout time.Duration
	// ForwardTimeout limits the wait for the owner's answer.
	ForwardTimeout time.Duration
	// MaxQueued limits the operations that wait for one shard.
	MaxQueued int
	// MaxBacklog limits the reports kept for the time when the store is back.
	MaxBacklog int
	// Writers limits the shards that are written at the same time.
	Writers int
	// SealThresholdBytes is the size from which a shard's finished claims are moved to a segment,
	// and MergeSegments the number of old segments that are merged into one.
	SealThresholdBytes int
	MergeThreshold     int
}

// withDefaults fills in the zero values.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Shards, DefaultShards)
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

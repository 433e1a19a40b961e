package claim

import "sync/atomic"

// Metrics counts what a Service does. The fields only rise, but for the gauges.
type Metrics struct {
	// Writes are the conditional writes of shards that were tried.
	Writes atomic.Uint64
	// WrittenBytes is the size of all values that were tried to be written.
	WrittenBytes atomic.Uint64
	// Reads are the reads of shards.
	Reads atomic.Uint64
	// Conflicts are writes refused because another member wrote first.
	Conflicts atomic.Uint64
	// Lost are writes without an answer.
	Lost atomic.Uint64
	// Failures are store calls after which a group was refused.
	Failures atomic.Uint64
	// Groups are the groups committed or refused, and GroupedOps what was in them.
	Groups     atomic.Uint64
	GroupedOps atomic.Uint64
	// Forwards are operations sent to a shard's owner, and Fallbacks those committed
	// here because the owner did not answer.
	Forwards  atomic.Uint64
	Fallbacks atomic.Uint64
	// Dropped are reports lost because the backlog was full.
	Dropped atomic.Uint64
	// Seals and Merges are the segments made of finished claims and of old segments.
	Seals  atomic.Uint64
	Merges atomic.Uint64
	// Removals are the segments deleted, or tried to be; Leftovers are those of them
	// that stay as objects that nothing refers to.
	Removals  atomic.Uint64
	Leftovers atomic.Uint64
	// Violations are broken invariants.
	Violations atomic.Uint64
	// ShardBytes is a gauge: the size of the shard that was written last.
	ShardBytes atomic.Int64
	// Backlog is a gauge: the reports that wait for the store.
	Backlog atomic.Int64
	// Results of Acquire.
	Granted    atomic.Uint64
	Completed  atomic.Uint64
	InProgress atomic.Uint64
	Unknown    atomic.Uint64
	Refused    atomic.Uint64
	Expired    atomic.Uint64
}

// countAcquire counts the result of one Acquire.
func (m *Metrics) countAcquire(kind ResultKind) {
	switch kind {
	case Granted:
		m.Granted.Add(1)
	case Completed:
		m.Completed.Add(1)
	case InProgress:
		m.InProgress.Add(1)
	case Unknown:
		m.Unknown.Add(1)
	case Refused:
		m.Refused.Add(1)
	case Expired:
		m.Expired.Add(1)
	}
}

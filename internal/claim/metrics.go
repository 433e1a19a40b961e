package claim

import "sync/atomic"

// Metrics counts the work of a Service. All fields are counters unless marked as gauges.
type Metrics struct {
	// Writes counts attempted conditional writes of shards and segments.
	Writes atomic.Uint64
	// WrittenBytes counts the bytes of all values in attempted writes.
	WrittenBytes atomic.Uint64
	// Reads counts the reads of shards and segments, except those that precede a deletion.
	Reads atomic.Uint64
	// Conflicts counts writes of shards that were refused because the stored version had changed,
	// by another member or by an unanswered write of this one, or the object was gone.
	Conflicts atomic.Uint64
	// Lost counts writes of shards without an answer.
	Lost atomic.Uint64
	// Failures counts errors after which a group was refused.
	Failures atomic.Uint64
	// Groups counts the groups for which a commit was attempted, and GroupedOps their operations.
	// Groups that are refused because the circuit breaker is open are not included.
	Groups     atomic.Uint64
	GroupedOps atomic.Uint64
	// Forwards counts operations that were sent to the owner of a shard, and Fallbacks those of them
	// that were committed on this member because the forwarding failed.
	Forwards  atomic.Uint64
	Fallbacks atomic.Uint64
	// Dropped counts reports that were lost because the backlog was full or closed.
	Dropped atomic.Uint64
	// Seals counts segments made by sealing a shard, and Merges those made from older segments.
	Seals  atomic.Uint64
	Merges atomic.Uint64
	// Removals counts attempted deletions of segments, and Leftovers the failed ones, which may
	// leave objects that nothing refers to.
	Removals  atomic.Uint64
	Leftovers atomic.Uint64
	// Violations counts violated invariants.
	Violations atomic.Uint64
	// ShardBytes is a gauge: the size of the shard that was written last.
	ShardBytes atomic.Int64
	// Backlog is a gauge: the number of reports that could not be recorded yet.
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

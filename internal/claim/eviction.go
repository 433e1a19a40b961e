package claim

import (
	"bytes"
	"slices"
)

// evictionDivisor sets how much of a full shard is freed at once, beyond what is needed: the
// fraction 1/evictionDivisor.
const evictionDivisor = 10

// makeRoom frees space unless the shard has room for another need bytes, and returns whether it then
// has. Bodies of responses are dropped first, then records; new claims are refused only after that.
// Fingerprints are not dropped for room, because a key that was used must stay used.
func (e *editor) makeRoom(need int) bool {
	if e.size+need <= e.shard.maxBytes {
		return true
	}
	target := e.shard.maxBytes - e.shard.maxBytes/evictionDivisor - need
	evictable := e.evictable()
	e.dropBodies(evictable, target)
	e.dropRecords(evictable, target)
	return e.size+need <= e.shard.maxBytes
}

// evictable returns the claims that are completed or withdrawn, or pending for so long that they are
// answered as Unknown, the oldest first.
func (e *editor) evictable() []Record {
	var list []Record
	for _, r := range e.shard.records {
		if r.State != StatePending || r.age(e.env.Now) >= UnknownAfter {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareByAge)
	return list
}

// compareByAge orders records from the oldest to the newest.
func compareByAge(a, b Record) int {
	if a.CreatedMillis != b.CreatedMillis {
		return int(a.CreatedMillis - b.CreatedMillis)
	}
	return bytes.Compare(a.ID[:], b.ID[:])
}

// dropBodies drops the bodies of the given records until the shard has at most target bytes.
func (e *editor) dropBodies(records []Record, target int) {
	for _, r := range records {
		if e.size <= target {
			return
		}
		if !r.HasBody {
			continue
		}
		r.HasBody = false
		r.Body = nil
		e.store(r)
	}
}

// dropRecords replaces the given records by fingerprints until the shard has at most target bytes.
// Withdrawn ones leave no fingerprint.
func (e *editor) dropRecords(records []Record, target int) {
	var dropped []Record
	size := e.size
	for _, r := range records {
		if size <= target {
			break
		}
		dropped = append(dropped, r)
		size -= e.shard.records[r.ID].size() - encodedLen(fingerprintBytes)
	}
	if len(dropped) == 0 {
		return
	}
	e.shard.replaceByFingerprints(dropped)
	e.size = e.shard.size()
	e.changed = true
}

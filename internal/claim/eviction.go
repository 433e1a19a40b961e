package claim

import (
	"bytes"
	"slices"
)

// evictionDivisor sets how much of a full shard is freed at once: the fraction 1/evictionDivisor.
const evictionDivisor = 10

// makeRoom frees space until need more bytes fit into the shard. Bodies of responses are dropped
// first, then records; new claims are refused only after that. Fingerprints are never dropped,
// because a key that was used must stay used.
func (e *editor) makeRoom(need int) bool {
	if e.size+need <= e.shard.maxBytes {
		return true
	}
	target := e.shard.maxBytes - e.shard.maxBytes/evictionDivisor - need
	finished := e.finished()
	e.dropBodies(finished, target)
	e.dropRecords(finished, target)
	return e.size+need <= e.shard.maxBytes
}

// finished returns the claims that no attempt will report on any more, oldest first.
func (e *editor) finished() []Record {
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

// dropBodies drops recorded bodies until the shard has at most target bytes.
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

// dropRecords reduces records to fingerprints until the shard has at most target bytes.
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

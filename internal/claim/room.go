package claim

import (
	"bytes"
	"slices"
)

// roomDivisor sets how much of a full shard is freed at once: one part in so many.
const roomDivisor = 10

// makeRoom makes the shard take need more bytes. Answers are given up before records,
// records before new claims are refused, and fingerprints never: a key that was used
// stays used.
func (e *editor) makeRoom(need int) bool {
	if e.size+need <= e.shard.limit {
		return true
	}
	target := e.shard.limit - e.shard.limit/roomDivisor - need
	finished := e.finished()
	e.dropBodies(finished, target)
	e.dropRecords(finished, target)
	return e.size+need <= e.shard.limit
}

// finished lists the claims that no attempt will report on any more, oldest first.
func (e *editor) finished() []Record {
	var list []Record
	for _, r := range e.shard.records {
		if r.State != StatePending || r.age(e.env.Now) >= UnknownAfter {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareAge)
	return list
}

// compareAge orders records from the oldest on.
func compareAge(a, b Record) int {
	if a.CreatedMillis != b.CreatedMillis {
		return int(a.CreatedMillis - b.CreatedMillis)
	}
	return bytes.Compare(a.ID[:], b.ID[:])
}

// dropBodies gives up recorded bodies until the shard is down to target bytes.
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

// dropRecords reduces records to fingerprints until the shard is down to target bytes.
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
	e.shard.reduce(dropped)
	e.size = e.shard.size()
	e.changed = true
}

package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
)

func TestHostRecordsMergeInAnyOrder(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		var records []HostRecord
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			r := HostRecord{HostState: fleet.HostState{Host: "h", Phase: fleet.Phase(rapid.IntRange(0, 2).Draw(t, "phase"))}}
			r.Instance = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "instance")
			if rapid.Bool().Draw(t, "announced") {
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "deadline")) * time.Second)
			}
			if r.Phase == fleet.PhaseGone {
				r.GoneMillis = now.UnixMilli() - rapid.Int64Range(0, 2).Draw(t, "gone")
			}
			records = append(records, r)
		}
		one, other := newHostTable(), newHostTable()
		for _, r := range records {
			one.merge(now, r)
		}
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			other.merge(now, r)
		}
		if one.hashes.Sum() != other.hashes.Sum() {
			t.Fatalf("%v differs from %v", one.records, other.records)
		}
	})
}

func TestExpiredTombstoneIsNotReadded(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	table := newHostTable()
	r := HostRecord{HostState: fleet.HostState{Host: "h", Phase: fleet.PhaseGone}, GoneMillis: now.UnixMilli()}
	table.merge(now, r)
	later := now.Add(TombstoneTTL + time.Second)
	table.removeExpired(later)
	is.Equal(len(table.records), 0)
	is.Equal(table.hashes.Sum(), newHostTable().hashes.Sum())
	_, changed := table.merge(later, r)
	is.True(!changed)
}

func TestDecompressRejectsOversizedText(t *testing.T) {
	is := is.New(t)
	_, err := decompress(Compress(make([]byte, MaxTextBytes+1)))
	is.True(err != nil)
}

package gossip

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip/digest"
)

// MaxHostRecords is the maximum number of records in the table of host states.
const MaxHostRecords = 16384

// TombstoneTTL is how long the record of a gone host is kept, so that a stale list from the
// platform does not make the host appear live again.
const TombstoneTTL = time.Hour

// hostKey identifies one run of a host. instance tells successive runs apart.
type hostKey struct {
	host, instance string
}

func (k hostKey) String() string { return k.host + "\x00" + k.instance }

// hostTable holds the latest known state of each run of a host.
type hostTable struct {
	records map[hostKey]HostRecord
	buckets [digest.Buckets]map[hostKey]struct{}
	hashes  digest.Set
}

func newHostTable() *hostTable {
	t := &hostTable{records: map[hostKey]HostRecord{}}
	for i := range t.buckets {
		t.buckets[i] = map[hostKey]struct{}{}
	}
	return t
}

func keyOf(r HostRecord) hostKey { return hostKey{r.Host, r.Instance} }

// merge merges a record into the table. It returns the merged record and true if the table changed,
// otherwise a zero record and false. Invalid and expired records are ignored, and so are unknown
// runs of hosts if the table is full. Apart from that, merge is commutative and idempotent: the
// order in which records arrive does not affect the result.
func (t *hostTable) merge(now time.Time, r HostRecord) (HostRecord, bool) {
	if !validHostRecord(r) || isExpired(now, r) {
		return HostRecord{}, false
	}
	r.Deadline = r.Deadline.UTC().Truncate(time.Millisecond)
	old, known := t.records[keyOf(r)]
	if !known && len(t.records) >= MaxHostRecords {
		return HostRecord{}, false
	}
	next := r
	if known {
		next = mergeHostRecords(old, r)
		if equalHostRecords(next, old) {
			return HostRecord{}, false
		}
		t.toggleDigest(old)
	}
	t.records[keyOf(r)] = next
	t.buckets[digest.BucketOf(r.Host)][keyOf(r)] = struct{}{}
	t.toggleDigest(next)
	return next, true
}

func validHostRecord(r HostRecord) bool {
	known := r.Phase >= fleet.PhaseLive && r.Phase <= fleet.PhaseGone
	timed := r.GoneMillis > 0
	return r.Host != "" && known && timed == (r.Phase == fleet.PhaseGone)
}

// mergeHostRecords returns the least upper bound of two records: the later phase, with the earlier
// time at which the host was found gone and the earlier deadline.
func mergeHostRecords(a, b HostRecord) HostRecord {
	out := a
	if b.Phase > a.Phase || b.Phase == a.Phase && b.GoneMillis < a.GoneMillis {
		out = b
	}
	out.Deadline = earlierDeadline(a.Deadline, b.Deadline)
	return out
}

func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func equalHostRecords(a, b HostRecord) bool {
	return a.Phase == b.Phase && a.GoneMillis == b.GoneMillis && a.Deadline.Equal(b.Deadline)
}

func isExpired(now time.Time, r HostRecord) bool {
	return r.Phase == fleet.PhaseGone && now.Sub(time.UnixMilli(r.GoneMillis)) > TombstoneTTL
}

func (t *hostTable) toggleDigest(r HostRecord) {
	encoded := make([]byte, 0, len(r.Host)+len(r.Instance)+64)
	encoded = append(encoded, keyOf(r).String()...)
	encoded = append(encoded, 0)
	encoded = strconv.AppendInt(encoded, int64(r.Phase), 10)
	encoded = append(encoded, ' ')
	encoded = strconv.AppendInt(encoded, r.GoneMillis, 10)
	encoded = append(encoded, ' ')
	encoded = strconv.AppendInt(encoded, r.Deadline.UnixMilli(), 10)
	t.hashes.Toggle(r.Host, encoded)
}

// removeExpired removes the tombstones that are older than TombstoneTTL.
func (t *hostTable) removeExpired(now time.Time) {
	for key, r := range t.records {
		if isExpired(now, r) {
			t.toggleDigest(r)
			delete(t.records, key)
			delete(t.buckets[digest.BucketOf(key.host)], key)
		}
	}
}

// bucket returns the records of one digest bucket, ordered by host and instance.
func (t *hostTable) bucket(i int) []HostRecord {
	out := make([]HostRecord, 0, len(t.buckets[i]))
	for key := range t.buckets[i] {
		out = append(out, t.records[key])
	}
	sortHosts(out)
	return out
}

func sortHosts(records []HostRecord) {
	slices.SortFunc(records, func(a, b HostRecord) int {
		return strings.Compare(keyOf(a).String(), keyOf(b).String())
	})
}

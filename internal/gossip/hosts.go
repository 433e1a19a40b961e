package gossip

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/gossip/digest"
)

// MaxHostRecords bounds the table of host states.
const MaxHostRecords = 16384

// TombstoneTTL is how long a host that is gone is remembered, so that a lagging
// list does not bring it back.
const TombstoneTTL = time.Hour

// hostKey tells apart the runs of a host.
type hostKey struct {
	host, instance string
}

func (k hostKey) String() string { return k.host + "\x00" + k.instance }

// hostTable holds the latest known state of each run of a host.
type hostTable struct {
	records map[hostKey]HostRecord
	buckets [digest.Buckets]map[hostKey]struct{}
	set     digest.Set
}

func newHostTable() *hostTable {
	t := &hostTable{records: map[hostKey]HostRecord{}}
	for i := range t.buckets {
		t.buckets[i] = map[hostKey]struct{}{}
	}
	return t
}

func keyOf(r HostRecord) hostKey { return hostKey{r.Host, r.Instance} }

// merge takes in a record; the result is the same in whatever order records arrive.
func (t *hostTable) merge(now time.Time, r HostRecord) (HostRecord, bool) {
	if !validHost(r) || expired(now, r) {
		return HostRecord{}, false
	}
	r.Deadline = r.Deadline.UTC().Truncate(time.Millisecond)
	old, known := t.records[keyOf(r)]
	if !known && len(t.records) >= MaxHostRecords {
		return HostRecord{}, false
	}
	next := r
	if known {
		next = joinHosts(old, r)
		if sameHost(next, old) {
			return HostRecord{}, false
		}
		t.toggle(old)
	}
	t.records[keyOf(r)] = next
	t.buckets[digest.BucketOf(r.Host)][keyOf(r)] = struct{}{}
	t.toggle(next)
	return next, true
}

func validHost(r HostRecord) bool {
	known := r.Phase >= fleet.PhaseLive && r.Phase <= fleet.PhaseGone
	timed := r.GoneMillis > 0
	return r.Host != "" && known && timed == (r.Phase == fleet.PhaseGone)
}

// joinHosts is the least state that is at least as far as both.
func joinHosts(a, b HostRecord) HostRecord {
	out := a
	if b.Phase > a.Phase || b.Phase == a.Phase && b.GoneMillis < a.GoneMillis {
		out = b
	}
	out.Deadline = earlier(a.Deadline, b.Deadline)
	return out
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func sameHost(a, b HostRecord) bool {
	return a.Phase == b.Phase && a.GoneMillis == b.GoneMillis && a.Deadline.Equal(b.Deadline)
}

func expired(now time.Time, r HostRecord) bool {
	return r.Phase == fleet.PhaseGone && now.Sub(time.UnixMilli(r.GoneMillis)) > TombstoneTTL
}

func (t *hostTable) toggle(r HostRecord) {
	encoded := make([]byte, 0, len(r.Host)+len(r.Instance)+64)
	encoded = append(encoded, keyOf(r).String()...)
	encoded = append(encoded, 0)
	encoded = strconv.AppendInt(encoded, int64(r.Phase), 10)
	encoded = append(encoded, ' ')
	encoded = strconv.AppendInt(encoded, r.GoneMillis, 10)
	encoded = append(encoded, ' ')
	encoded = strconv.AppendInt(encoded, r.Deadline.UnixMilli(), 10)
	t.set.Toggle(r.Host, encoded)
}

// expire drops the hosts that have been gone for long.
func (t *hostTable) expire(now time.Time) {
	for key, r := range t.records {
		if expired(now, r) {
			t.toggle(r)
			delete(t.records, key)
			delete(t.buckets[digest.BucketOf(key.host)], key)
		}
	}
}

// bucket returns the records of one bucket in order of host and instance.
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

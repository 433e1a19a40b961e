package origin

import (
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"time"

	"rattanchute/internal/registry"
)

const (
	// retention is how long after its begin a stream may be resumed.
	retention = 30 * time.Second
	// maxStreams bounds the streams that are remembered; the earliest are forgotten first.
	maxStreams = 40_000
	// keyBytes is the length of the digest in a key: long enough that no caller finds a request whose key is
	// that of another organisation's stream.
	keyBytes = 8
)

// Origin is where a stream began. The zero value stands for an unknown origin.
type Origin struct {
	Fleet string
	// Version is that of the software of the endpoint that wrote its first event.
	Version string
}

// Key identifies a stream.
type Key string

// KeyOf returns the key of the stream that a request of an organisation began.
func KeyOf(organisation, requestID string) Key {
	digest := sha256.Sum256([]byte(organisation + "\x00" + requestID))
	return Key(base64.RawURLEncoding.EncodeToString(digest[:keyBytes]))
}

// valid reports whether the key has the form of those of KeyOf.
func (k Key) valid() bool {
	if len(k) != keyLength {
		return false
	}
	digest, err := base64.RawURLEncoding.DecodeString(string(k))
	return err == nil && len(digest) == keyBytes
}

// Table holds the origins that a host knows. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	known map[Key]*stream
	// streams are those in known, the one heard of first at the start.
	streams []*stream
	// repeatUntil is until when all streams are reported, and not only the new ones.
	repeatUntil time.Time
	versions    versionLog
	routes      routeLog
}

// stream is the begin of a stream.
type stream struct {
	key Key
	// origin is the first that this host heard of; conflicting is set if it heard of another one.
	origin      Origin
	conflicting bool
	// heardAt is when this host learned of it.
	heardAt time.Time
	// fromGroup is set if this host or one of its followers served it.
	fromGroup bool
	// stored is set if it was read from the store or taken to be written there.
	stored bool
	// fromStore is set if it was first read there, as other hosts do.
	fromStore bool
}

// NewTable returns a table of a host that starts now. If first is set, the whole system starts for the first
// time, so that no stream has begun before.
func NewTable(now time.Time, first bool) *Table {
	knownSince := now
	if first {
		knownSince = now.Add(-retention)
	}
	return &Table{known: map[Key]*stream{}, versions: newVersionLog(knownSince, now), routes: newRouteLog(knownSince, now)}
}

// Began records that a stream has begun, or has been resumed, at this host.
func (t *Table) Began(now time.Time, key Key, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(stream{key: key, origin: o, heardAt: now, fromGroup: true})
}

// add adds a stream unless it is known. Of two origins, nobody can say which is right.
func (t *Table) add(s stream) {
	if known := t.known[s.key]; known != nil {
		known.merge(s)
		return
	}
	t.expire(s.heardAt)
	t.known[s.key] = &s
	t.streams = append(t.streams, &s)
}

// merge records what is said of the stream once more.
func (s *stream) merge(other stream) {
	s.fromGroup = s.fromGroup || other.fromGroup
	s.stored = s.stored || other.stored
	// Hosts that were running before have not read it there.
	s.fromStore = s.fromStore && other.fromStore
	if s.origin != other.origin && !s.conflicting {
		s.conflicting = true
		s.stored = false
	}
}

// expire forgets the streams that are too old or too many.
func (t *Table) expire(now time.Time) {
	old := 0
	for old < len(t.streams) && (now.Sub(t.streams[old].heardAt) > retention || len(t.streams)-old >= maxStreams) {
		delete(t.known, t.streams[old].key)
		old++
	}
	t.streams = t.streams[old:]
}

// Find returns where a stream began; false if that is not known.
func (t *Table) Find(key Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.known[key]
	if s == nil || s.conflicting || s.origin == (Origin{}) {
		return Origin{}, false
	}
	return s.origin, true
}

// SetEndpoints records the versions of the endpoints that are there now.
func (t *Table) SetEndpoints(now time.Time, known []registry.Known) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.set(now, known)
}

// SawVersion records that an endpoint of a version was there.
func (t *Table) SawVersion(now time.Time, fleet, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.saw(now, fleet, version)
}

// Confirm records that the endpoints of the last SetEndpoints were known to be all at a time.
func (t *Table) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.confirm(at)
}

// ConfirmedAt returns the last time at which the endpoints were known to be all.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.versions.confirmedAt
}

// OnlyVersion returns the version at which all streams of a fleet that may still be resumed began; false if
// they may have begun at several, or at one that this host does not know.
func (t *Table) OnlyVersion(now time.Time, fleet string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	version, _ := t.versions.only(now, fleet)
	return version, t.isCertain(now, fleet)
}

package objectstore

import (
	"fmt"
	"sync"
)

// Version identifies a state of the store. Its upper bits hold the store's era and its lower bits the
// revision within that era. The era rises when the store is restored from an older copy, after which
// it gives revisions out again. Versions are therefore ordered across a restore. A store without eras
// stays in era zero. The zero Version stands for an object that is not stored.
type Version uint64

// revisionBits is the number of bits of a Version that hold the revision.
const revisionBits = 44

// NewVersion returns the version of a revision in an era.
func NewVersion(era, revision uint64) Version {
	return Version(era<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the era of the version.
func (v Version) Era() uint64 { return uint64(v) >> revisionBits }

// Revision returns the store's own number of the version, which is unique only within its era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// String returns the era and the revision.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Era(), v.Revision()) }

// EraTracker keeps the newest era of the store that an answer has shown, and rejects what belongs to an
// older one. The store's client calls it for each answer. It is safe for concurrent use.
type EraTracker struct {
	mu    sync.Mutex
	seen  bool
	era   uint64
	onNew func(from, to uint64)
}

// OnRestore sets a callback for each rise of the era after the first answer. It must be set before the
// first call to the store, and must not call the store.
func (t *EraTracker) OnRestore(f func(from, to uint64)) { t.onNew = f }

// Era returns the newest era. It is not known before the first answer.
func (t *EraTracker) Era() (era uint64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.seen
}

// NameInEra returns the name of an object of which each era has its own. A host that has not noticed a
// restore writes to another object than the others, even if the store has given out again the revision
// that the host's condition names.
func NameInEra(name string, era uint64) string {
	if era == 0 {
		return name
	}
	return fmt.Sprintf("%s-era-%d", name, era)
}

// Observe records the era of an answer. It returns ErrUnavailable for an answer of an older era than
// the newest one, which arrived late and describes a state that no longer exists.
func (t *EraTracker) Observe(era uint64) error {
	from, restored, err := t.observe(era)
	if restored && t.onNew != nil {
		t.onNew(from, era)
	}
	return err
}

func (t *EraTracker) observe(era uint64) (from uint64, restored bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	from = t.era
	if t.seen && era < from {
		return from, false, fmt.Errorf("%w: answer of era %d after one of era %d", ErrUnavailable, era, from)
	}
	restored = t.seen && era > from
	t.seen = true
	t.era = era
	return from, restored, nil
}

// CheckCondition returns ErrConflict if a write would depend on a version of an older era: the store
// may have given the same revision to other contents since.
func (t *EraTracker) CheckCondition(v Version) error {
	if era, _ := t.Era(); v.Era() < era {
		return fmt.Errorf("%w: version %s is of an era before %d", ErrConflict, v, era)
	}
	return nil
}

// CheckWatch returns ErrCompacted if a watch would start from a version of an older era.
func (t *EraTracker) CheckWatch(after Version) error {
	if era, _ := t.Era(); after.Era() < era {
		return fmt.Errorf("%w: version %s is of an era before %d", ErrCompacted, after, era)
	}
	return nil
}

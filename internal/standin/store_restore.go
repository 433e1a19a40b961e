package standin

import (
	"maps"
	"slices"

	"rattanchute/internal/objectstore"
)

// Snapshot is a copy of the contents of a Store.
type Snapshot struct {
	objects map[objectKey]objectstore.Object
	version objectstore.Version
}

// Snapshot copies the contents.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{objects: maps.Clone(s.objects), version: s.version}
}

// Restore replaces the contents by an older copy, as after the loss of the store: what was written since
// is gone and its versions are given out again. The history is lost, watches from a version that the copy
// does not have are refused, and the era rises by one.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = maps.Clone(from.objects)
	s.version = from.version
	s.history = nil
	s.compacted = from.version
	s.era++
	s.wakeWatchers()
}

// Era returns the number of restores.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Contents returns the objects of a kind, ordered by name, without a call of the API.
func (s *Store) Contents(kind objectstore.Kind) []objectstore.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []objectstore.Object
	for key, o := range s.objects {
		if key.kind == kind {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b objectstore.Object) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

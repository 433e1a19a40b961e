package objectstore

import (
	"hash/maphash"
	"sync"
)

// maxMalformedTexts bounds the entries that are remembered. Beyond it all are forgotten.
const maxMalformedTexts = 1000

// ReportMalformedOnce returns a function that reports an entry that cannot be read, given its text, once for the same
// text. It is safe for concurrent use.
func ReportMalformedOnce(report func(Kind, error)) func(kind Kind, text []byte, err error) {
	var mu sync.Mutex
	seed, seen := maphash.MakeSeed(), map[uint64]struct{}{}
	isNew := func(text []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		if len(seen) >= maxMalformedTexts {
			clear(seen)
		}
		key := maphash.Bytes(seed, text)
		_, found := seen[key]
		seen[key] = struct{}{}
		return !found
	}
	return func(kind Kind, text []byte, err error) {
		if isNew(text) {
			report(kind, err)
		}
	}
}

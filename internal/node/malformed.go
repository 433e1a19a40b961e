package node

import (
	"sync"

	"github.com/phuslu/log"

	"rattanchute/internal/objectstore"
)

// malformedLog logs each malformed entry once per version. It remembers only the latest version of
// each, and forgets all entries when there are more than maxMalformedEntries.
type malformedLog struct {
	mu   sync.Mutex
	seen map[string]objectstore.Version
}

// maxMalformedEntries limits the number of entries that are remembered.
const maxMalformedEntries = 1000

// logOnce logs that a version of an entry was skipped.
func (m *malformedLog) logOnce(logger *log.Logger, name string, version objectstore.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil || len(m.seen) > maxMalformedEntries {
		m.seen = map[string]objectstore.Version{}
	}
	if seen, ok := m.seen[name]; ok && seen == version {
		return
	}
	m.seen[name] = version
	logger.Warn().Str("entry", name).Uint64("version", version.Revision()).Err(err).Msg("malformed entry skipped")
}

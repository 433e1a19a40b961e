package node

import (
	"sync"

	"github.com/phuslu/log"
)

// malformedLog logs each malformed entry once per version. It remembers only the latest version of
// each, and forgets all entries when there are more than maxMalformedEntries.
type malformedLog struct {
	mu   sync.Mutex
	seen map[string]uint64
}

// maxMalformedEntries limits the number of entries that are remembered.
const maxMalformedEntries = 1000

// logOnce logs that an entry was skipped. Nothing is logged if version is zero, as it is for peer
// messages.
func (m *malformedLog) logOnce(logger *log.Logger, name string, version uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil || len(m.seen) > maxMalformedEntries {
		m.seen = map[string]uint64{}
	}
	if m.seen[name] == version {
		return
	}
	m.seen[name] = version
	logger.Warn().Str("entry", name).Uint64("version", version).Err(err).Msg("malformed entry skipped")
}

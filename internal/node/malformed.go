package node

import (
	"sync"

	"github.com/phuslu/log"
)

// malformedLog logs each malformed entry once per version.
type malformedLog struct {
	mu   sync.Mutex
	seen map[string]uint64
}

// maxMalformedEntries limits the number of entries that are remembered.
const maxMalformedEntries = 1000

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

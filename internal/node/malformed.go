package node

import (
	"sync"

	"github.com/phuslu/log"
)

// malformedNotes logs each malformed entry once a version.
type malformedNotes struct {
	mu   sync.Mutex
	seen map[string]uint64
}

// maxMalformedNotes bounds what is remembered.
const maxMalformedNotes = 1000

func (m *malformedNotes) note(logger *log.Logger, name string, version uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.seen == nil || len(m.seen) > maxMalformedNotes {
		m.seen = map[string]uint64{}
	}
	if m.seen[name] == version {
		return
	}
	m.seen[name] = version
	logger.Warn().Str("entry", name).Uint64("version", version).Err(err).Msg("endpoint entry skipped")
}

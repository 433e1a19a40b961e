package node

import (
	"sync"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/objectstore"
)

// malformedLog logs each malformed entry once per version. It remembers only the latest version of
// each, and forgets all entries when there are more than maxMalformedEntries.
type malformedLog struct {
	mu   sync.Mutex
	seen map[string]objectstore.Version
	// count counts the logged entries.
	count prometheus.Counter
}

func newMalformedCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Name: "rattanchute_malformed_entries_total", Help: "Versions of entries of the platform's store that were skipped because they cannot be read.",
	})
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
	m.count.Inc()
	logger.Warn().Str("entry", name).Uint64("version", version.Revision()).Err(err).Msg("malformed entry skipped")
}

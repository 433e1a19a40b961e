package connlisten

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/connlimit"
)

// logInterval is the least time between two lines of a listener that tell of the same decision.
const logInterval = time.Second

// LogDecisions returns the OnDecision function of a listener's table. Each line has the counts of all decisions so far: those
// that follow within logInterval have no line of their own.
func LogDecisions(logger *log.Logger, listener string) func(time.Time, connlimit.Decision, connlimit.Usage) {
	var mu sync.Mutex
	next := map[connlimit.Decision]time.Time{}
	isDue := func(now time.Time, d connlimit.Decision) bool {
		mu.Lock()
		defer mu.Unlock()
		if now.Before(next[d]) {
			return false
		}
		next[d] = now.Add(logInterval)
		return true
	}
	return func(now time.Time, d connlimit.Decision, u connlimit.Usage) {
		if isDue(now, d) {
			LogDecision(logger.Warn(), listener, d, u)
		}
	}
}

// LogDecision writes the line of a decision.
func LogDecision(line *log.Entry, listener string, d connlimit.Decision, u connlimit.Usage) {
	line.Str("listener", listener).Str("decision", string(d)).
		Int("open", u.Open).Int("silent", u.Silent).Int("idle", u.Idle).
		Uint64("closed", u.Closed).Uint64("refused", u.Refused).
		Msg("too many connections")
}

package proxy

import (
	"sync"
	"time"
)

// maxRoutineLinesPerSecond is the limit for routine lines per second. Refusals and failures of
// requests, and attempts after the first one that reached an endpoint, are always logged.
const maxRoutineLinesPerSecond = 100

// The kinds of log lines that are rate-limited.
const (
	lineSent     = "sent"
	lineAnswered = "answered"
	lineAccept   = "accept_failed"
	lineSignal   = "signal_ignored"
	// lineClosed is a connection that was closed for others, and lineRefused one that was not taken.
	lineClosed  = "connection_closed"
	lineRefused = "connection_refused"
)

// allowRoutine reports whether a routine line may be written within the rate limit, and counts it
// as suppressed if not.
func (t *Telemetry) allowRoutine(now time.Time, kind string) bool {
	if t.routineLimit.allow(now, kind) {
		return true
	}
	t.metrics.suppressedLines[kind].Inc()
	return false
}

// lineLimiter limits the rate of log lines. The first line of each kind in a second is always
// allowed and does not count towards the limit.
type lineLimiter struct {
	perSecond int
	mu        sync.Mutex
	second    int64
	used      int
	kinds     map[string]bool
}

func (l *lineLimiter) allow(now time.Time, kind string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second || l.kinds == nil {
		l.second = second
		l.used = 0
		l.kinds = map[string]bool{}
	}
	if !l.kinds[kind] {
		l.kinds[kind] = true
		return true
	}
	l.used++
	return l.used <= l.perSecond
}

// Package invariant reports breaches of what must always hold. A breach is counted and
// handed to the installed handler: production logs it once a name, tests fail on it.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Handler is told of a breach: the invariant's name and what was seen.
type Handler func(name, detail string)

var (
	breaches atomic.Int64
	mu       sync.RWMutex
	handler  Handler = func(name, detail string) {
		panic(fmt.Sprintf("invariant %s: %s", name, detail))
	}
)

// Check reports a breach of the named invariant unless ok holds.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	breaches.Add(1)
	mu.RLock()
	h := handler
	mu.RUnlock()
	h(name, fmt.Sprintf(format, args...))
}

// SetHandler installs h and returns the handler it replaces. The handler at start
// panics, so that a test needs no set-up to fail on a breach.
func SetHandler(h Handler) Handler {
	mu.Lock()
	defer mu.Unlock()
	old := handler
	handler = h
	return old
}

// Violations returns how many breaches were reported since the start.
func Violations() int64 { return breaches.Load() }

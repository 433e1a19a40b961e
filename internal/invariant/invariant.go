// Package invariant reports violations of conditions that must always hold. Each violation is
// counted and passed to the installed handler. The initial handler panics, so that tests fail;
// package app installs one that counts each violation and logs the first of each name.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Handler is called on a violation with the invariant's name and the details.
type Handler func(name, detail string)

var (
	violations atomic.Int64
	mu         sync.RWMutex
	handler    Handler = func(name, detail string) {
		panic(fmt.Sprintf("invariant %s: %s", name, detail))
	}
)

// Check reports a violation of the named invariant unless ok is true.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	violations.Add(1)
	mu.RLock()
	h := handler
	mu.RUnlock()
	h(name, fmt.Sprintf(format, args...))
}

// SetHandler installs h and returns the handler that it replaces.
func SetHandler(h Handler) Handler {
	mu.Lock()
	defer mu.Unlock()
	old := handler
	handler = h
	return old
}

// Violations returns the number of violations since the start of the process.
func Violations() int64 { return violations.Load() }

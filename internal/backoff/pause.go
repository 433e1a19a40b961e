package backoff

import (
	"context"
	"time"
)

// Pause waits and reports whether the context is still active.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

package objectstore

import (
	"context"
	"time"
)

// WatchWait returns how long a watch may wait for changes: at most longest, and less if the deadline of the context
// would otherwise pass before the response arrives.
func WatchWait(ctx context.Context, longest time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return longest
	}
	return max(min(longest, time.Until(deadline)*3/4), 0)
}

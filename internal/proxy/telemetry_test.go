package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFirstLineOfEachKindIsAllowed checks that the first line of each kind in a second is allowed
// even if lines of other kinds have used up the limit.
func TestFirstLineOfEachKindIsAllowed(t *testing.T) {
	is := is.New(t)
	b := &lineLimiter{perSecond: 3}
	now := time.Unix(1000, 0)
	written := 0
	for range 100 {
		if b.allow(now, lineSent) {
			written++
		}
	}
	is.Equal(written, 4) // the first line, and as many as the limit allows
	is.True(b.allow(now, lineAnswered))
	is.True(!b.allow(now, lineAnswered))
	is.True(b.allow(now.Add(time.Second), lineSent))
}

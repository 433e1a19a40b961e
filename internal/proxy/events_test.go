package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFirstLineOfEachKindIsKept however many lines of other kinds there are.
func TestFirstLineOfEachKindIsKept(t *testing.T) {
	is := is.New(t)
	b := &lineBudget{perSecond: 3}
	now := time.Unix(1000, 0)
	written := 0
	for range 100 {
		if b.take(now, lineSent) {
			written++
		}
	}
	is.Equal(written, 4) // the first, and the bound
	is.True(b.take(now, lineAnswered))
	is.True(!b.take(now, lineAnswered))
	is.True(b.take(now.Add(time.Second), lineSent))
}

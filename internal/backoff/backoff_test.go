package backoff

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWaitsDoubleUpToTheMaximum(t *testing.T) {
	is := is.New(t)
	b := Backoff{Min: 200 * time.Millisecond, Max: time.Second}
	for round := range 2 {
		for i, longest := range []time.Duration{200, 400, 800, 1000, 1000} {
			wait := b.Next()
			longest *= time.Millisecond
			if wait < longest/2 || wait > longest {
				t.Errorf("round %d: wait %d is %v, want between %v and %v", round, i, wait, longest/2, longest)
			}
		}
		b.Reset()
	}
	zero := Backoff{}
	is.Equal(zero.Next(), time.Duration(0))
}

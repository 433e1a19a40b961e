package dispatcher

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestRequestsDuringDrain runs new requests and several drains concurrently. Under the race
// detector it fails if they are not synchronised.
func TestRequestsDuringDrain(t *testing.T) {
	is := is.New(t)
	for range 200 {
		f := newInflight()
		is.True(f.enter())
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for f.enter() {
					f.leave()
				}
			})
			wg.Go(func() {
				f.stopAccepting()
				_ = f.wait(context.Background())
			})
		}
		f.leave()
		wg.Wait()
		is.Equal(f.current(), 0)
		is.True(!f.enter())
	}
}

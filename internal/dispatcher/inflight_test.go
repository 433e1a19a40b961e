package dispatcher

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestRequestsArriveWhileTheServiceDrains runs arrivals and several waits at once; under
// the race detector it fails if they are not ordered.
func TestRequestsArriveWhileTheServiceDrains(t *testing.T) {
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
				f.refuse()
				_ = f.wait(context.Background())
			})
		}
		f.leave()
		wg.Wait()
		is.Equal(f.open(), 0)
		is.True(!f.enter())
	}
}

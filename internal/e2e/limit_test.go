package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// TestRateLimitThatAnEngineStatesIsKept has three daemons send to engines of which one states a limit.
func TestRateLimitThatAnEngineStatesIsKept(t *testing.T) {
	const (
		limit   = 1
		settle  = 3 * time.Second
		counted = 8 * time.Second
		allowed = limit*8*3/2 + 5
	)
	s := startSite(t, testsite.Options{Daemons: 3, Engines: 3, Engine: smallEngine})
	limited := s.Standin.Engine("engine-0")
	limited.SetFaults(standin.Faults{RateLimitText: fmt.Sprint(limit)})
	ended := make(chan struct{})
	var sending sync.WaitGroup
	for i := range 6 {
		caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[i%3].Callers)
		sending.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-ended:
					return
				case <-time.After(20 * time.Millisecond):
				}
				body := testsite.ChatBody(fmt.Sprint("question ", i, " ", j), 2, false)
				_, _ = caller.Call(t.Context(), http.MethodPost, "/v1/chat/completions", body)
			}
		})
	}
	time.Sleep(settle)
	before := limited.Received()
	time.Sleep(counted)
	got := limited.Received() - before
	close(ended)
	sending.Wait()
	if got > allowed || got < limit {
		t.Errorf("%d requests in %v at a limit of %d a second, allowed %d", got, counted, limit, allowed)
	}
}

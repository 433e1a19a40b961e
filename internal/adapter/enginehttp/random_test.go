package enginehttp_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/engine"
	"rattanchute/internal/standin"
)

// results collects the attempt ids of calls by the result that the client returned.
type results struct {
	mu        sync.Mutex
	completed []string
	notSent   []string
	unknown   []string
}

func (r *results) add(id string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.completed = append(r.completed, id)
	case errors.Is(err, engine.ErrNotSent):
		r.notSent = append(r.notSent, id)
	default:
		r.unknown = append(r.unknown, id)
	}
}

// faultKinds are the faults to choose from at random. The service is restarted after each.
var faultKinds = []standin.Faults{
	{},
	{Refuse: true},
	{CutBeforeRead: true},
	{CutAfterRequestBytes: 30},
	{CutAfterRun: true},
	{DelayMillis: 30},
	{Freeze: true},
	{Die: true},
}

// TestRandomFaultsAgainstLedger compares the results of calls with the service's own
// ledger: a call reported as not sent never ran, a completed call ran exactly once, and
// any other call ran at most once.
func TestRandomFaultsAgainstLedger(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	c := newClient()
	reported := &results{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", caller, n)
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				_, err := c.Call(ctx, s.Address(), engine.Call{Method: "POST", URI: "/", AttemptID: id})
				cancel()
				reported.add(id, err)
			}
		})
	}
	random := rand.New(rand.NewPCG(7, 7))
	for range 120 {
		s.SetFaults(faultKinds[random.IntN(len(faultKinds))])
		time.Sleep(5 * time.Millisecond)
		s.SetFaults(standin.Faults{})
		is.NoErr(s.Listen())
	}
	close(stop)
	group.Wait()
	time.Sleep(50 * time.Millisecond)
	runs := s.Ledger().Attempts
	for _, id := range reported.completed {
		is.Equal(runs[id], 1)
	}
	for _, id := range reported.notSent {
		is.Equal(runs[id], 0)
	}
	for _, id := range reported.unknown {
		is.True(runs[id] <= 1)
	}
	t.Logf("completed %d, not sent %d, unknown %d", len(reported.completed), len(reported.notSent), len(reported.unknown))
	is.True(len(reported.completed) > 0)
	is.True(len(reported.notSent) > 0)
	is.True(len(reported.unknown) > 0)
}

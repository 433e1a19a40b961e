package dispatcher

import (
	"sync"

	"rattanchute/internal/reclaim"
)

// progress is the part of a stream's state that other goroutines read to plan a move, while the
// stream's own goroutine updates it.
type progress struct {
	mu        sync.Mutex
	current   location
	priority  int
	prompt    int
	delivered int
	maxTokens int
}

func (p *progress) set(current location, delivered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = current
	p.delivered = delivered
}

func (p *progress) advance(delivered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delivered = delivered
}

func (p *progress) currentLocation() location {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// reclaimStream returns the stream as input to a reclaim plan.
func (p *progress) reclaimStream(id int) reclaim.Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return reclaim.Stream{
		ID:              id,
		Endpoint:        p.current.endpoint.Name,
		Priority:        p.priority,
		ContextTokens:   p.prompt + p.delivered,
		RemainingTokens: max(p.maxTokens-p.delivered, 0),
	}
}

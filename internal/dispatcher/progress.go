package dispatcher

import (
	"sync"

	"rattanchute/internal/reclaim"
)

// progress is what others may know of a stream while its own goroutine runs it.
type progress struct {
	mu        sync.Mutex
	at        location
	priority  int
	prompt    int
	delivered int
	maxTokens int
}

func (p *progress) set(at location, delivered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = at
	p.delivered = delivered
}

func (p *progress) advance(delivered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delivered = delivered
}

func (p *progress) endpoint() location {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at
}

// describe is the stream as a reclaim plan sees it.
func (p *progress) describe(id int) reclaim.Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return reclaim.Stream{
		ID:              id,
		Endpoint:        p.at.endpoint.Name,
		Priority:        p.priority,
		ContextTokens:   p.prompt + p.delivered,
		RemainingTokens: max(p.maxTokens-p.delivered, 0),
	}
}

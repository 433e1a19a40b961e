package standin

import (
	"sync"
	"time"

	"rattanchute/internal/engine"
)

// stream is one generation: its progress and its readers.
type stream struct {
	id       engine.StreamID
	prompt   prompt
	priority int
	arrival  uint64
	// start is the offset of the first token computed here.
	start int
	// promptHashes are of the prompt and the prefix already delivered.
	promptHashes []uint64
	cancelled    chan struct{}

	mu        sync.Mutex
	next      int
	prefilled int
	readers   int
	changed   chan struct{}
	once      sync.Once
}

func newStream(g engine.Generate, p prompt) *stream {
	sequence := append(append([]string(nil), p.tokens...), g.Prefix...)
	return &stream{
		id:           g.Stream,
		prompt:       p,
		priority:     g.Priority,
		start:        len(g.Prefix),
		promptHashes: chain(p.Model, sequence),
		next:         len(g.Prefix),
		cancelled:    make(chan struct{}),
		changed:      make(chan struct{}),
	}
}

func (s *stream) addReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// removeReader tells whether the last reader has left.
func (s *stream) removeReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	return s.readers == 0
}

func (s *stream) hasReaders() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers > 0
}

func (s *stream) cancel() {
	s.once.Do(func() { close(s.cancelled) })
}

func (s *stream) isCancelled() bool {
	select {
	case <-s.cancelled:
		return true
	default:
		return false
	}
}

// wait lets time pass and tells whether the stream goes on.
func (s *stream) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.cancelled:
		return false
	}
}

func (s *stream) setPrefilled(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefilled = n
}

// advance makes the tokens before next readable.
func (s *stream) advance(next int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = next
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next >= s.prompt.MaxTokens
}

// progress returns the offset after the last computed token.
func (s *stream) progress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// chunk waits for the token at an offset; false means that the stream ended early.
func (s *stream) chunk(offset int) (engine.Chunk, bool) {
	for {
		s.mu.Lock()
		ready, changed, prefilled := offset < s.next, s.changed, s.prefilled
		s.mu.Unlock()
		if ready {
			return s.makeChunk(offset, prefilled), true
		}
		select {
		case <-changed:
		case <-s.cancelled:
			return engine.Chunk{}, false
		}
	}
}

func (s *stream) makeChunk(offset, prefilled int) engine.Chunk {
	c := engine.Chunk{Stream: s.id, Offset: offset, Text: s.prompt.token(offset)}
	if offset == s.start {
		c.Prefilled = prefilled
	}
	if offset == s.prompt.MaxTokens-1 {
		c.Finish = s.prompt.finish()
	}
	return c
}

// hashes are of the prompt and all tokens computed so far.
func (s *stream) hashes() []uint64 {
	sequence := append([]string(nil), s.prompt.tokens...)
	for i := range s.progress() {
		sequence = append(sequence, s.prompt.token(i))
	}
	return chain(s.prompt.Model, sequence)
}

// jobQueue is a heap of waiting streams: highest priority first, then by arrival.
type jobQueue []*stream

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a stream at the end.
func (q *jobQueue) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop takes the last stream off.
func (q *jobQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

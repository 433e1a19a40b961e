package standin

import (
	"sync"
	"time"

	"rattanchute/internal/engine"
)

// stream is one text generation with its progress and its readers.
type stream struct {
	id       engine.StreamID
	prompt   prompt
	priority int
	arrival  uint64
	// start is the offset of the first token that this engine computes.
	start int
	// promptHashes are the prefix hashes of the prompt and of the text that the request continues.
	promptHashes []uint64
	cancelled    chan struct{}

	mu sync.Mutex
	// next is the offset of the next token to compute.
	next       int
	prefilled  int
	readers    int
	changed    chan struct{}
	cancelOnce sync.Once
}

func newStream(g engine.Generate, p prompt) *stream {
	sequence := append(append([]string(nil), p.promptTokens...), g.Prefix...)
	return &stream{
		id:           g.Stream,
		prompt:       p,
		priority:     g.Priority,
		start:        len(g.Prefix),
		promptHashes: chainHashes(p.Model, sequence),
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

// removeReader reports whether the stream has no reader left.
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
	s.cancelOnce.Do(func() { close(s.cancelled) })
}

func (s *stream) isCancelled() bool {
	select {
	case <-s.cancelled:
		return true
	default:
		return false
	}
}

// wait waits for d and reports whether the stream has not been cancelled meanwhile.
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

// advance makes the tokens with offsets below next readable.
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

// progress returns the offset of the next token to compute.
func (s *stream) progress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// chunk waits for the token at an offset and returns it as a chunk. It returns false if the
// stream is cancelled before that token is ready.
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
	c := engine.Chunk{Stream: s.id, Offset: offset, Text: s.prompt.answerToken(offset)}
	if offset == s.start {
		c.Prefilled = prefilled
	}
	if offset == s.prompt.MaxTokens-1 {
		c.Finish = s.prompt.finishReason()
	}
	return c
}

// hashes returns the prefix hashes of the prompt and all tokens generated so far.
func (s *stream) hashes() []uint64 {
	sequence := append([]string(nil), s.prompt.promptTokens...)
	for i := range s.progress() {
		sequence = append(sequence, s.prompt.answerToken(i))
	}
	return chainHashes(s.prompt.Model, sequence)
}

// streamQueue is a heap of waiting streams, ordered by descending priority and then by
// arrival. It implements heap.Interface.
type streamQueue []*stream

func (q streamQueue) Len() int { return len(q) }

func (q streamQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q streamQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a stream; use heap.Push.
func (q *streamQueue) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop removes the last stream; use heap.Pop.
func (q *streamQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

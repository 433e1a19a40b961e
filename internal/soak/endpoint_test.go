package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/chat"
	"rattanchute/internal/engine"
)

var (
	errConnectionCut = errors.New("soak: connection cut")
	errEndpointGone  = errors.New("soak: endpoint gone")
)

// closedError is the refusal of an endpoint that wants no requests from the node for some time.
type closedError struct{ retryAfter time.Duration }

// Error implements error.
func (e *closedError) Error() string { return fmt.Sprintf("closed for %s", e.retryAfter) }

// Unwrap returns what the refusal means for its request.
func (e *closedError) Unwrap() []error { return []error{engine.ErrClosed, engine.ErrNotSent} }

// endpoint is a fake engine and a fake service with a record of what it ran.
type endpoint struct {
	env     *environment
	name    string
	host    string
	address string

	mu       sync.Mutex
	dead     bool
	attempts map[string]int
	keys     map[string]string
	streams  map[engine.StreamID]bool
	stored   []engine.Chunk
}

func newEndpoint(env *environment, name, host, address string) *endpoint {
	return &endpoint{env: env, name: name, host: host, address: address,
		attempts: map[string]int{}, keys: map[string]string{}, streams: map[engine.StreamID]bool{}}
}

func (e *endpoint) setDead(dead bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = dead
}

func (e *endpoint) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// injectFault returns an error if a request fails before it is run: at random, and always while the
// endpoint is dead.
func (e *endpoint) injectFault() error {
	if e.isDead() || e.env.randBool(0.03) {
		e.env.report.countFault(faultNotSent)
		return fmt.Errorf("dial %s: %w", e.address, engine.ErrNotSent)
	}
	if e.env.randBool(0.02) {
		e.env.report.countFault(faultRefused)
		return fmt.Errorf("%s refused: %w", e.name, engine.ErrNotSent)
	}
	if e.env.randBool(0.01) {
		e.env.report.countFault(faultClosed)
		return &closedError{retryAfter: time.Millisecond + e.env.randDuration(100*time.Millisecond)}
	}
	if e.env.randBool(0.02) {
		e.env.report.countFault(faultCutBefore)
		return errConnectionCut
	}
	return nil
}

// call runs a plain call once, unless a fault comes first, and records the run before the response
// can be seen.
func (e *endpoint) call(ctx context.Context, c engine.Call) (engine.Response, error) {
	if err := e.injectFault(); err != nil {
		return engine.Response{}, err
	}
	e.env.sleep(ctx, e.env.randDuration(3*time.Millisecond))
	body := e.run(c)
	e.env.sleep(ctx, e.env.randDuration(3*time.Millisecond))
	if ctx.Err() != nil {
		return engine.Response{}, ctx.Err()
	}
	if e.isDead() || e.env.randBool(0.04) {
		e.env.report.countFault(faultCutAfter)
		return engine.Response{}, errConnectionCut
	}
	return engine.Response{Status: 200, Body: []byte(body)}, nil
}

func (e *endpoint) run(c engine.Call) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[c.AttemptID]++
	body := string(c.Body) + " run by " + c.AttemptID + " at " + e.name
	e.env.ledger.add(c.AttemptID, string(c.Body))
	return body
}

// expectedToken returns the token that every engine generates at an offset of an answer.
func expectedToken(body []byte, offset int) string {
	h := xxhash.New()
	_, _ = h.Write(body)
	_, _ = h.WriteString(strconv.Itoa(offset))
	return strconv.FormatUint(h.Sum64()%100000, 36) + " "
}

// generate opens a stream, with random faults for it: a cut before one of its first 8 chunks, and
// a freeze after the first one.
func (e *endpoint) generate(ctx context.Context, g engine.Generate) (engine.Stream, error) {
	if err := e.injectFault(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	known := e.streams[g.Stream]
	e.streams[g.Stream] = true
	e.mu.Unlock()
	if g.Attach && !known {
		return nil, engine.ErrNoStream
	}
	req, err := chat.Decode(g.Body)
	if err != nil {
		return nil, err
	}
	s := &stream{e: e, ctx: ctx, g: g, next: g.Offset, total: req.OutputTokens(), cutAt: -1}
	if !g.Attach && g.Offset != len(g.Prefix) {
		return nil, fmt.Errorf("soak: offset %d after a prefix of %d", g.Offset, len(g.Prefix))
	}
	if e.env.randBool(0.1) {
		s.cutAt = g.Offset + int(e.env.randN(8))
	}
	s.frozen = e.env.randBool(0.04)
	return s, nil
}

// stream is one response of a fake engine. cutAt is the offset at which it is cut; -1 means never.
type stream struct {
	e        *endpoint
	ctx      context.Context
	g        engine.Generate
	next     int
	total    int
	cutAt    int
	frozen   bool
	previous *engine.Chunk
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	s.e.env.sleep(s.ctx, s.e.env.randDuration(4*time.Millisecond))
	if s.frozen && s.next > s.g.Offset {
		s.e.env.report.countFault(faultStreamFrozen)
		<-s.ctx.Done()
	}
	if err := s.ctx.Err(); err != nil {
		return engine.Chunk{}, err
	}
	if s.e.isDead() || s.next == s.cutAt {
		s.e.env.report.countFault(faultStreamCut)
		return engine.Chunk{}, errConnectionCut
	}
	if c, ok := s.strayChunk(); ok {
		return c, nil
	}
	return s.make()
}

func (s *stream) make() (engine.Chunk, error) {
	if s.next >= s.total {
		return engine.Chunk{}, io.EOF
	}
	c := engine.Chunk{Stream: s.g.Stream, Offset: s.next, Text: expectedToken(s.g.Body, s.next)}
	s.next++
	if s.next == s.total {
		c.Finish = "length"
	}
	s.previous = &c
	s.e.storeChunk(c)
	return c, nil
}

// strayChunk returns, at random, the previous chunk again or a chunk of another stream; otherwise
// false.
func (s *stream) strayChunk() (engine.Chunk, bool) {
	if s.previous != nil && s.e.env.randBool(0.02) {
		s.e.env.report.countFault(faultChunkTwice)
		return *s.previous, true
	}
	if s.e.env.randBool(0.02) {
		if c, ok := s.e.storedChunk(s.e.env.randN(64)); ok && c.Stream != s.g.Stream {
			s.e.env.report.countFault(faultChunkCrossed)
			return c, true
		}
	}
	return engine.Chunk{}, false
}

// Close implements engine.Stream.
func (s *stream) Close() error { return nil }

// storeChunk stores a chunk that may later be sent to the wrong stream. At most 64 are kept.
func (e *endpoint) storeChunk(c engine.Chunk) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.stored) < 64 {
		e.stored = append(e.stored, c)
		return
	}
	e.stored[c.Offset%64] = c
}

func (e *endpoint) storedChunk(i uint64) (engine.Chunk, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.stored) == 0 {
		return engine.Chunk{}, false
	}
	return e.stored[i%uint64(len(e.stored))], true
}

// ledger counts the runs of plain calls at all endpoints, by attempt and by body.
type ledger struct {
	mu       sync.Mutex
	attempts map[string]int
	bodies   map[string]int
}

func (l *ledger) add(attempt, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[attempt]++
	l.bodies[body]++
}

func (l *ledger) attemptRuns(attempt string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[attempt]
}

func (l *ledger) bodyRuns(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bodies[body]
}

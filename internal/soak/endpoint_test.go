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
	errCut  = errors.New("soak: connection cut")
	errGone = errors.New("soak: endpoint gone")
)

// endpoint is a fake of an engine and of a service, with a ledger of what it ran.
type endpoint struct {
	w       *world
	name    string
	host    string
	address string

	mu       sync.Mutex
	dead     bool
	attempts map[string]int
	keys     map[string]string
	streams  map[engine.StreamID]bool
	older    []engine.Chunk
}

func newEndpoint(w *world, name, host, address string) *endpoint {
	return &endpoint{w: w, name: name, host: host, address: address,
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

// arrive draws what happens to a request before it is run.
func (e *endpoint) arrive() error {
	if e.isDead() || e.w.chance(0.03) {
		e.w.report.provoked(faultNotSent)
		return fmt.Errorf("dial %s: %w", e.address, engine.ErrNotSent)
	}
	if e.w.chance(0.02) {
		e.w.report.provoked(faultRefused)
		return fmt.Errorf("%s refused: %w", e.name, engine.ErrNotSent)
	}
	if e.w.chance(0.02) {
		e.w.report.provoked(faultCutBefore)
		return errCut
	}
	return nil
}

// call runs a plain call once and records it before anyone can see the answer.
func (e *endpoint) call(ctx context.Context, c engine.Call) (engine.Response, error) {
	if err := e.arrive(); err != nil {
		return engine.Response{}, err
	}
	e.w.sleep(ctx, e.w.upTo(3*time.Millisecond))
	body := e.run(c)
	e.w.sleep(ctx, e.w.upTo(3*time.Millisecond))
	if ctx.Err() != nil {
		return engine.Response{}, ctx.Err()
	}
	if e.isDead() || e.w.chance(0.04) {
		e.w.report.provoked(faultCutAfter)
		return engine.Response{}, errCut
	}
	return engine.Response{Status: 200, Body: []byte(body)}, nil
}

func (e *endpoint) run(c engine.Call) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[c.AttemptID]++
	body := string(c.Body) + " run by " + c.AttemptID + " at " + e.name
	e.w.ledger.add(c.AttemptID, string(c.Body))
	return body
}

// expectedToken is the token that every engine makes at an offset of an answer.
func expectedToken(body []byte, offset int) string {
	h := xxhash.New()
	_, _ = h.Write(body)
	_, _ = h.WriteString(strconv.Itoa(offset))
	return strconv.FormatUint(h.Sum64()%100000, 36) + " "
}

// generate opens a stream.
func (e *endpoint) generate(ctx context.Context, g engine.Generate) (engine.Stream, error) {
	if err := e.arrive(); err != nil {
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
	if e.w.chance(0.1) {
		s.cutAt = g.Offset + int(e.w.below(8))
	}
	s.frozen = e.w.chance(0.04)
	return s, nil
}

// stream makes the tokens of one generation.
type stream struct {
	e      *endpoint
	ctx    context.Context
	g      engine.Generate
	next   int
	total  int
	cutAt  int
	frozen bool
	again  *engine.Chunk
}

// Next implements engine.Stream.
func (s *stream) Next() (engine.Chunk, error) {
	s.e.w.sleep(s.ctx, s.e.w.upTo(4*time.Millisecond))
	if s.frozen && s.next > s.g.Offset {
		s.e.w.report.provoked(faultStreamFrozen)
		<-s.ctx.Done()
	}
	if err := s.ctx.Err(); err != nil {
		return engine.Chunk{}, err
	}
	if s.e.isDead() || s.next == s.cutAt {
		s.e.w.report.provoked(faultStreamCut)
		return engine.Chunk{}, errCut
	}
	if c, ok := s.noise(); ok {
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
	s.again = &c
	s.e.keep(c)
	return c, nil
}

// noise returns a chunk that is late, twice, or another stream's.
func (s *stream) noise() (engine.Chunk, bool) {
	if s.again != nil && s.e.w.chance(0.02) {
		s.e.w.report.provoked(faultChunkTwice)
		return *s.again, true
	}
	if s.e.w.chance(0.02) {
		if c, ok := s.e.anyOlder(s.e.w.below(64)); ok && c.Stream != s.g.Stream {
			s.e.w.report.provoked(faultChunkCrossed)
			return c, true
		}
	}
	return engine.Chunk{}, false
}

// Close implements engine.Stream.
func (s *stream) Close() error { return nil }

// keep remembers a few chunks to send to the wrong stream.
func (e *endpoint) keep(c engine.Chunk) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.older) < 64 {
		e.older = append(e.older, c)
		return
	}
	e.older[c.Offset%64] = c
}

func (e *endpoint) anyOlder(i uint64) (engine.Chunk, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.older) == 0 {
		return engine.Chunk{}, false
	}
	return e.older[i%uint64(len(e.older))], true
}

// ledger adds up the runs of all endpoints.
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

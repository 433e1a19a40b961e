package dispatcher

import (
	"context"
	"errors"
	"io"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/outcome"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/request"
	"rattanchute/internal/resumetoken"
	"rattanchute/internal/route"
)

// Event is one token for the caller.
type Event struct {
	Offset int
	Text   string
	// Finish is "stop" or "length" on the last event.
	Finish string
	// ResumeToken is set now and then; the newest one is the one to come back with.
	ResumeToken string
}

// resumeTokenEvery is the number of tokens after which a new resume token is sent.
const resumeTokenEvery = 32

// recoveryPause is the wait before an interrupted stream looks again for an endpoint
// when none can take it.
const recoveryPause = 100 * time.Millisecond

// The ends of a stream that was given up.
var (
	errSilent   = errors.New("the endpoint fell silent")
	errAttempts = errors.New("no attempt delivered the whole answer")
	errBroken   = errors.New("the endpoint's answer did not go on where it stopped")
	errBudget   = errors.New("the retry budget is spent")
)

// ChatStream is one open answer. Next is called from one goroutine.
type ChatStream struct {
	service   *Service
	ask       ChatRequest
	opened    time.Time
	deadline  time.Time
	query     route.Query
	admission ratelimit.Request
	priority  int

	ctx    context.Context
	cancel context.CancelFunc
	// stopEnding unregisters the stream from the service's end.
	stopEnding func() bool

	machine *request.Stream
	// progress is shared with the goroutines that move streams.
	progress progress
	attach   *resumetoken.Token
	next     *route.Choice
	current  *attempt
	// tries are the attempts since the last token was delivered.
	tries int
	// interrupted is when the last attempt failed; zero while one runs well.
	interrupted time.Time
	mayHaveRun  bool
	// stopped is why no further attempt is made; nil while one may be.
	stopped   error
	first     *Event
	lastEvent time.Time
	moves     chan Move
	released  bool
}

// RequestID identifies the request; after a resume it is the first one's.
func (c *ChatStream) RequestID() string { return c.ask.RequestID }

// Next returns the next event; io.EOF after the last. Any other error ends the stream
// and means that the answer was given up.
func (c *ChatStream) Next() (Event, error) {
	e, err := c.nextEvent()
	if err != nil {
		return Event{}, err
	}
	now := c.service.now()
	if !c.lastEvent.IsZero() {
		observe(c.service.counters.BetweenTokens, now.Sub(c.lastEvent))
	}
	c.lastEvent = now
	if (e.Offset+1)%resumeTokenEvery == 0 && e.Finish == "" {
		e.ResumeToken = c.ResumeToken()
	}
	return e, nil
}

func (c *ChatStream) nextEvent() (Event, error) {
	if c.first != nil {
		e := *c.first
		c.first = nil
		return e, nil
	}
	return c.read()
}

// read runs attempts until one yields the next chunk.
func (c *ChatStream) read() (Event, error) {
	for {
		if c.machine.Finished() {
			return Event{}, io.EOF
		}
		if err := c.ensureAttempt(); err != nil {
			return Event{}, err
		}
		chunk, err := c.receive()
		if err != nil {
			c.attemptFailed(err)
			continue
		}
		if e, ok := c.accept(chunk); ok {
			return e, nil
		}
	}
}

// accept judges a chunk; true if it goes to the caller.
func (c *ChatStream) accept(chunk engine.Chunk) (Event, bool) {
	c.noteChunk(chunk)
	switch c.machine.Accept(c.current.stream, chunk) {
	case request.Deliver:
		c.progress.advance(c.machine.Offset())
		c.interrupted = time.Time{}
		c.tries = 0
		return Event{Offset: chunk.Offset, Text: chunk.Text, Finish: chunk.Finish}, true
	case request.Skip:
		c.service.counters.RecomputedTokens.Inc()
	case request.Drop:
		c.service.counters.DroppedChunks.Inc()
	case request.Broken:
		c.attemptFailed(errBroken)
	}
	return Event{}, false
}

func (c *ChatStream) noteChunk(chunk engine.Chunk) {
	now := c.service.now()
	c.current.chunkArrived(now)
	if chunk.Prefilled > 0 {
		c.service.counters.PrefilledTokens.Add(float64(chunk.Prefilled))
	}
	if chunk.Load != nil {
		c.service.router.ObserveLoad(now, c.current.endpoint.Name, *chunk.Load)
	}
}

// ResumeToken returns a token for the chunks delivered so far.
func (c *ChatStream) ResumeToken() string {
	t := resumetoken.Token{
		RequestID:    c.ask.RequestID,
		Organisation: c.ask.Organisation,
		BodyHash:     bodyHash(c.ask.Body),
		Expires:      c.service.now().Add(c.service.settings.TokenLifetime).Unix(),
	}
	if hash, ok := c.machine.Hash(); ok {
		t.Offset = c.machine.Offset()
		t.Hash = hash
	}
	if c.first != nil {
		// The first chunk is read but not yet passed on.
		t.Offset, t.Hash = 0, 0
	}
	if c.current != nil {
		t.Endpoint = c.current.endpoint.Name
		t.Stream = c.current.stream
	}
	return c.service.signer.Sign(t)
}

// ErrorDetail is what the caller is told when Next failed.
func (c *ChatStream) ErrorDetail(cause error) outcome.Detail {
	return outcome.Detail{
		Code:             "interrupted",
		Message:          cause.Error(),
		Outcome:          outcome.Unknown,
		RetryAfterMillis: retryAfterFailure.Milliseconds(),
		RequestID:        c.ask.RequestID,
		ResumeToken:      c.ResumeToken(),
	}
}

// Close ends the stream; an attempt that still runs is cancelled at its engine.
func (c *ChatStream) Close() {
	o := outcome.Unknown
	if c.machine.Finished() {
		o = outcome.Completed
	}
	if c.release(o) {
		c.service.opened.Add(-1)
		c.service.leave()
	}
}

func (c *ChatStream) release(o outcome.Outcome) bool {
	if c.released {
		return false
	}
	c.released = true
	if c.current != nil {
		c.endAttempt(route.Result{OK: c.machine.Finished()})
	}
	c.stopEnding()
	c.cancel()
	c.service.done(c.admission)
	c.service.counters.Requests.WithLabelValues("chat", string(o)).Inc()
	return true
}

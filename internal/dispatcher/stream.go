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
	// ResumeToken is set on some events; the caller resumes with the newest.
	ResumeToken string
}

// resumeTokenInterval is the number of tokens after which a new resume token is sent.
const resumeTokenInterval = 32

// recoveryDelay is the delay before an interrupted stream looks for an endpoint again after none
// could take it.
const recoveryDelay = 100 * time.Millisecond

// errChunkTimeout and errDiscontinuous end an attempt; another one may follow. errAttemptsExhausted
// and errRetryBudgetSpent end a stream before its whole answer is delivered.
var (
	errChunkTimeout      = errors.New("the endpoint fell silent")
	errAttemptsExhausted = errors.New("no attempt delivered the whole answer")
	errDiscontinuous     = errors.New("the endpoint's answer did not go on where it stopped")
	errRetryBudgetSpent  = errors.New("the retry budget is spent")
)

// ChatStream is one open answer. Its methods must not be called concurrently.
type ChatStream struct {
	service   *Service
	req       ChatRequest
	opened    time.Time
	deadline  time.Time
	query     route.Query
	crash     crashSubject
	admission ratelimit.Request
	priority  int

	ctx    context.Context
	cancel context.CancelFunc
	// removeEndHook removes the stream's callback on endContext.
	removeEndHook func() bool

	machine *request.Stream
	// progress is shared with the goroutines that move streams.
	progress progress
	attach   *resumetoken.Token
	next     *route.Choice
	current  *attempt
	// attempts counts the attempts since the last delivered token.
	attempts int
	// interrupted is when, since the last delivered chunk, an attempt first failed or moved; zero
	// if none did.
	interrupted time.Time
	// mayHaveRun is set once a failed attempt may have reached its endpoint.
	mayHaveRun bool
	// stopped is the reason why no further attempt is made; nil if one may be.
	stopped error
	first   *Event
	// held are events that were released together and are still to be delivered.
	held      []Event
	lastEvent time.Time
	moves     chan Move
	released  bool
}

// RequestID identifies the request. A resumed stream keeps the id of the first request.
func (c *ChatStream) RequestID() string { return c.req.RequestID }

// Next returns the next event; io.EOF after the last. Any other error ends the stream before its
// answer is complete.
func (c *ChatStream) Next() (Event, error) {
	e, err := c.nextEvent()
	if err != nil {
		return Event{}, err
	}
	now := c.service.now()
	if !c.lastEvent.IsZero() {
		observe(c.service.metrics.BetweenTokens, now.Sub(c.lastEvent))
	}
	c.lastEvent = now
	if (e.Offset+1)%resumeTokenInterval == 0 && e.Finish == "" && len(c.held) == 0 {
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
	if e, ok := c.nextHeld(); ok {
		return e, nil
	}
	return c.read()
}

// read makes attempts until one delivers the next chunk.
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

// accept checks a chunk; it returns true if the chunk goes to the caller. A chunk that does not
// continue the answer ends the attempt.
func (c *ChatStream) accept(chunk engine.Chunk) (Event, bool) {
	c.observeChunk(chunk)
	switch c.machine.Accept(c.current.stream, chunk) {
	case request.Deliver:
		c.recordProgress()
		return Event{Offset: chunk.Offset, Text: chunk.Text, Finish: chunk.Finish}, true
	case request.Release:
		for _, held := range c.machine.TakeHeld() {
			c.held = append(c.held, Event{Offset: held.Offset, Text: held.Text, Finish: held.Finish})
		}
		c.recordProgress()
		return c.nextHeld()
	case request.Skip:
		c.service.metrics.RecomputedTokens.Inc()
	case request.Drop:
		c.service.metrics.DroppedChunks.Inc()
	case request.Broken:
		c.attemptFailed(errDiscontinuous)
	}
	return Event{}, false
}

// recordProgress records that the current attempt has added to what the caller gets.
func (c *ChatStream) recordProgress() {
	if c.query.Version == nil {
		version := c.current.endpoint.Version
		c.query.Version = &version
	}
	c.progress.advance(c.machine.Offset())
	c.interrupted = time.Time{}
	c.attempts = 0
}

// nextHeld returns the next of the events that are ready to be delivered; false if there is none.
func (c *ChatStream) nextHeld() (Event, bool) {
	if len(c.held) == 0 {
		return Event{}, false
	}
	e := c.held[0]
	c.held = c.held[1:]
	return e, true
}

func (c *ChatStream) observeChunk(chunk engine.Chunk) {
	now := c.service.now()
	if c.current.firstToken == 0 {
		c.service.quarantine.Responded(now, instanceName(c.current.endpoint), c.current.started)
	}
	c.current.chunkArrived(now)
	if chunk.Prefilled > 0 {
		c.service.metrics.PrefilledTokens.Add(float64(chunk.Prefilled))
	}
	if chunk.Load != nil {
		c.service.router.ObserveLoad(now, c.current.endpoint.Name, *chunk.Load)
	}
}

// ResumeToken returns a token with which the stream can be resumed after the chunks delivered so
// far.
func (c *ChatStream) ResumeToken() string {
	t := resumetoken.Token{
		RequestID:    c.req.RequestID,
		Organisation: c.req.Organisation,
		BodyHash:     bodyHash(c.req.Body),
		Expires:      c.service.now().Add(c.service.settings.TokenLifetime).Unix(),
	}
	if hash, ok := c.machine.Hash(); ok {
		t.Offset = c.machine.Offset()
		t.Hash = hash
	}
	if c.first != nil {
		// The first chunk has been read but not yet delivered.
		t.Offset, t.Hash = 0, 0
	}
	if c.current != nil {
		t.Endpoint = c.current.endpoint.Name
		t.Stream = c.current.stream
	}
	t.Version = c.query.Version
	return c.service.signer.Sign(t)
}

// ErrorDetail returns the error that is sent to the caller after Next has failed.
func (c *ChatStream) ErrorDetail(cause error) outcome.Detail {
	return outcome.Detail{
		Code:             "interrupted",
		Message:          cause.Error(),
		Outcome:          outcome.Unknown,
		RetryAfterMillis: retryAfterFailure.Milliseconds(),
		RequestID:        c.req.RequestID,
		ResumeToken:      c.ResumeToken(),
	}
}

// Close ends the stream; a running attempt is cancelled at its engine.
func (c *ChatStream) Close() {
	o := outcome.Unknown
	if c.machine.Finished() {
		o = outcome.Completed
	}
	if c.release(o) {
		c.service.openCount.Add(-1)
		c.service.leave()
	}
}

func (c *ChatStream) release(o outcome.Outcome) bool {
	if c.released {
		return false
	}
	c.released = true
	if c.current != nil {
		if c.machine.Finished() {
			// Its end is marked, however the connection ends.
			c.crash.observeCompletion(c.current.endpoint, c.current.started, false)
		}
		c.endAttempt(route.Result{OK: c.machine.Finished()})
	}
	c.removeEndHook()
	c.cancel()
	c.service.completed(c.admission)
	c.service.metrics.Requests.WithLabelValues("chat", string(o)).Inc()
	return true
}

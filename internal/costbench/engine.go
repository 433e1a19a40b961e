package costbench

import (
	"time"

	"rattanchute/internal/capacity"
	"rattanchute/internal/engine"
)

// request is a request of a caller, over all its attempts.
type request struct {
	arrived time.Time
	node    int
	// prompt is the number of prompt tokens to compute, beyond the shared start that is cached.
	prompt    int
	output    int
	generated int
	// transferred means that the engine that the request was moved to has received the KV cache of
	// the prompt and of the tokens generated so far, and need not compute them. It is cleared once
	// that engine generates tokens.
	transferred bool
	// answered means that the caller has received the first token.
	answered bool
	// leftAt is when the request last left an engine before it was finished.
	leftAt  time.Time
	attempt *attempt
}

// attempt is a request at one engine.
type attempt struct {
	request  *request
	engine   *fakeEngine
	state    attemptState
	interval time.Duration
	decoding time.Time
	done     func()
}

type attemptState int

const (
	stateQueued attemptState = iota
	statePrefill
	stateDecoding
	stateEnded
)

// fakeEngine has slots, computes one prefill at a time, and generates the tokens of a stream at an
// interval that depends on the size of the batch when the stream starts to generate.
type fakeEngine struct {
	clock   *clock
	class   capacity.Class
	queue   []*attempt
	running int
	// prefillFreeAt is when the prefills of all requests that have a slot will be finished.
	prefillFreeAt time.Time
	streams       map[*attempt]struct{}
	order         []*attempt
	stopped       bool
	onFirstToken  func(*request)
}

func newEngine(c *clock, class capacity.Class, onFirstToken func(*request)) *fakeEngine {
	return &fakeEngine{clock: c, class: class, streams: make(map[*attempt]struct{}), onFirstToken: onFirstToken}
}

func (e *fakeEngine) submit(r *request, done func()) {
	a := &attempt{request: r, engine: e, done: done}
	r.attempt = a
	e.streams[a] = struct{}{}
	e.order = append(e.order, a)
	e.queue = append(e.queue, a)
	e.admit()
}

func (e *fakeEngine) admit() {
	for len(e.queue) > 0 && e.running < e.class.Slots && !e.stopped {
		a := e.queue[0]
		e.queue = e.queue[1:]
		if a.state == stateEnded {
			continue
		}
		e.running++
		e.prefill(a)
	}
}

func (e *fakeEngine) prefill(a *attempt) {
	a.state = statePrefill
	tokens := a.request.prompt + a.request.generated
	if a.request.transferred {
		tokens = 0
	}
	took := time.Duration(float64(tokens) / e.class.PrefillTokensPerSecond * float64(time.Second))
	if e.prefillFreeAt.Before(e.clock.now) {
		e.prefillFreeAt = e.clock.now
	}
	e.prefillFreeAt = e.prefillFreeAt.Add(took)
	e.clock.at(e.prefillFreeAt, func() { e.decode(a) })
}

func (e *fakeEngine) decode(a *attempt) {
	if a.state != statePrefill {
		return
	}
	a.state = stateDecoding
	a.request.transferred = false
	a.decoding = e.clock.now
	a.interval = e.class.TokenInterval + time.Duration(e.running)*e.class.TokenIntervalPerStream
	e.onFirstToken(a.request)
	left := a.request.output - a.request.generated
	e.clock.after(time.Duration(left)*a.interval, func() { e.finish(a) })
}

func (e *fakeEngine) finish(a *attempt) {
	if a.state != stateDecoding {
		return
	}
	a.request.generated = a.request.output
	a.leave()
	a.done()
}

// leave ends the attempt and returns the number of tokens that have to be computed again if its
// KV cache is not transferred. The number is zero for an attempt that was queued without a
// transferred KV cache.
func (a *attempt) leave() int {
	state, generated := a.state, a.generated(a.engine.clock.now)
	a.state = stateEnded
	e := a.engine
	delete(e.streams, a)
	e.compact()
	computed := 0
	if state == statePrefill || state == stateDecoding || a.request.transferred {
		a.request.generated = generated
		computed = a.request.prompt + generated
	}
	if state == statePrefill || state == stateDecoding {
		e.running--
		e.admit()
	}
	return computed
}

func (a *attempt) generated(now time.Time) int {
	if a.state != stateDecoding || a.request.generated == a.request.output {
		return a.request.generated
	}
	more := int(now.Sub(a.decoding) / a.interval)
	return min(a.request.generated+more, a.request.output)
}

// compact removes ended attempts from order once there are many of them.
func (e *fakeEngine) compact() {
	if len(e.order) < 2*len(e.streams)+16 {
		return
	}
	e.order = e.activeAttempts()
}

// activeAttempts returns the running and queued streams in order of arrival.
func (e *fakeEngine) activeAttempts() []*attempt {
	var list []*attempt
	for _, a := range e.order {
		if a.state != stateEnded {
			list = append(list, a)
		}
	}
	return list
}

func (e *fakeEngine) load() engine.Load {
	tokens := max(e.prefillFreeAt.Sub(e.clock.now).Seconds(), 0) * e.class.PrefillTokensPerSecond
	for _, a := range e.queue {
		tokens += float64(a.request.prompt)
	}
	return engine.Load{
		Running: e.running, Queued: len(e.queue), Slots: e.class.Slots,
		QueuedTokens: int(tokens), TokensPerSecond: e.class.PrefillTokensPerSecond, At: e.clock.now,
	}
}

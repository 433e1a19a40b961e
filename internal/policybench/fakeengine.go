package policybench

import (
	"slices"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
)

// refusalTime is the time that a refused connection or an immediate error takes.
const refusalTime = 2 * time.Millisecond

// fakeEngine has slots, computes one prefill at a time, generates tokens at a fixed interval,
// and has a prefix cache and a load report that lags behind.
type fakeEngine struct {
	clock    *clock
	site     *Site
	endpoint fleet.Endpoint
	cache    *prefixCache
	queue    []*attempt
	prefills []*attempt
	running  int
	busy     bool
	stopped  bool
	failing  bool
	active   []*attempt
	report   engine.Load
	// onPrefill is called at the start of a prefill with the number of context tokens that were
	// cached.
	onPrefill func(r *request, cached int)
}

// attempt is one attempt of a request at one engine.
type attempt struct {
	request     *request
	engine      *fakeEngine
	priority    int
	submittedAt time.Time
	started     bool
	ended       bool
	// The engine calls these functions, which the node sets, when the attempt has its first
	// token, is complete, or has failed; hostLost tells whether the engine was stopped.
	onFirst func()
	onDone  func()
	onFail  func(hostLost bool)
}

func (e *fakeEngine) submit(a *attempt) {
	a.engine, a.submittedAt = e, e.clock.now
	if e.stopped || e.failing {
		e.clock.after(refusalTime, func() { a.fail(e.stopped) })
		return
	}
	e.active = append(slices.DeleteFunc(e.active, (*attempt).hasEnded), a)
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority < a.priority {
		at--
	}
	e.queue = slices.Insert(e.queue, at, a)
	e.start()
}

func (a *attempt) hasEnded() bool { return a.ended }

func (a *attempt) fail(hostLost bool) {
	if !a.ended {
		a.ended = true
		a.onFail(hostLost)
	}
}

// start assigns free slots to queued attempts, the highest priority first, and starts the next
// prefill if none is running.
func (e *fakeEngine) start() {
	for len(e.queue) > 0 && e.running < e.site.Slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		if next.ended {
			continue
		}
		next.started = true
		e.running++
		e.prefills = append(e.prefills, next)
	}
	e.prefill()
}

func (e *fakeEngine) prefill() {
	if e.stopped || e.busy || len(e.prefills) == 0 {
		return
	}
	a := e.prefills[0]
	e.prefills = e.prefills[1:]
	if a.ended {
		e.release()
		return
	}
	e.busy = true
	cachedTokens := e.cache.lookup(a.request)
	e.onPrefill(a.request, cachedTokens)
	computed := a.request.contextTokens() - cachedTokens
	took := time.Duration(float64(computed) / e.site.PrefillRate * float64(time.Second))
	e.clock.after(took, func() { e.decode(a) })
}

func (e *fakeEngine) decode(a *attempt) {
	e.busy = false
	if a.ended || e.stopped {
		e.release()
		return
	}
	a.request.decoding = e.clock.now
	a.onFirst()
	left := a.request.outputTokens - a.request.generated
	took := time.Duration(max(left-1, 0)) * e.site.TokenTime
	e.clock.after(took, func() { e.finish(a) })
	e.prefill()
}

func (e *fakeEngine) finish(a *attempt) {
	if e.stopped {
		return
	}
	if !a.ended {
		a.ended = true
		a.onDone()
	}
	e.release()
}

func (e *fakeEngine) release() {
	e.running--
	e.start()
}

// cancel withdraws an attempt. Its prefill is skipped if it has not started and completed if it
// has; no tokens are generated after it.
func (a *attempt) cancel() { a.ended = true }

// publish updates the load report that the nodes read.
func (e *fakeEngine) publish() {
	e.report = engine.Load{
		Running: e.running, Queued: e.waiting(), Slots: e.site.Slots,
		QueuedTokens: e.queuedTokens(), TokensPerSecond: e.site.PrefillRate, At: e.clock.now,
	}
}

func (e *fakeEngine) waiting() int {
	count := 0
	for _, a := range e.queue {
		if !a.ended {
			count++
		}
	}
	return count
}

func (e *fakeEngine) queuedTokens() int {
	tokens := 0
	for _, waiting := range [][]*attempt{e.queue, e.prefills} {
		for _, a := range waiting {
			if !a.ended {
				tokens += a.request.contextTokens() - e.cache.match(a.request)
			}
		}
	}
	return tokens
}

// stop ends the engine and fails all its queued and running attempts.
func (e *fakeEngine) stop() {
	e.stopped = true
	for _, a := range e.active {
		a.fail(true)
	}
}

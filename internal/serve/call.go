package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rattanchute/internal/admit"
	"rattanchute/internal/claim"
	"rattanchute/internal/engine"
	"rattanchute/internal/outcome"
	"rattanchute/internal/request"
	"rattanchute/internal/route"
)

// headerAnswerBody says "not-kept" on a recorded answer whose body was too large to be
// recorded.
const headerAnswerBody = "X-Answer-Body"

// CallAsk is a caller's request to a plain service.
type CallAsk struct {
	RequestID    string
	Organisation string
	Method       string
	// Path is the URI's path, without the query.
	Path           string
	URI            string
	Headers        []engine.Header
	Body           []byte
	IdempotencyKey string
	// Priority and Timeout as for a chat request.
	Priority int
	Timeout  time.Duration
}

// CallAnswer is an endpoint's answer and what is known of the run.
type CallAnswer struct {
	engine.Answer
	Outcome outcome.Outcome
}

// call is one plain call while it is served.
type call struct {
	service   *Service
	ask       CallAsk
	query     route.Query
	admission admit.Ask
	machine   *request.Call
	next      *route.Choice
	claimed   bool
	key       claim.Key
}

// Call serves a request to a plain service.
func (s *Service) Call(ctx context.Context, ask CallAsk) (CallAnswer, *Refusal) {
	c := &call{
		service: s,
		ask:     ask,
		machine: request.NewCall(ask.RequestID, s.router.Table().Repeatable(ask.Method, ask.Path)),
	}
	answer, refusal := c.enterAndServe(ctx)
	if refusal != nil {
		return CallAnswer{}, s.refused(c.qualify(refusal))
	}
	return answer, nil
}

func (c *call) enterAndServe(ctx context.Context) (CallAnswer, *Refusal) {
	if !c.service.enter() {
		return CallAnswer{}, refuseClosing(c.ask.RequestID)
	}
	defer c.service.leave()
	target, ok := c.service.router.Table().FleetForPath(c.ask.Path)
	if !ok {
		return CallAnswer{}, NewRefusal(http.StatusNotFound, c.ask.RequestID, "unknown_path",
			"no service answers this path").field("path")
	}
	c.query = route.Query{Organisation: c.ask.Organisation, Fleet: target.Name}
	ctx, cancel := context.WithTimeout(ctx, c.service.timeout(c.ask.Timeout))
	defer cancel()
	return c.serve(ctx)
}

// needsClaim tells whether the call runs under an at-most-once record.
func (c *call) needsClaim() bool {
	return !c.machine.Repeatable() && c.ask.IdempotencyKey != ""
}

// qualify makes a refusal speak for the key, not only for this try: while the key's
// record was not read, an earlier try with it may have run.
func (c *call) qualify(r *Refusal) *Refusal {
	if !c.needsClaim() || c.claimed || r.Detail.Outcome != outcome.NotRun {
		return r
	}
	r.Detail.Message += "; whether an earlier request with this key ran was not looked up, come back with the same key"
	return r.with(outcome.Unknown)
}

func (c *call) serve(ctx context.Context) (CallAnswer, *Refusal) {
	if refusal := c.admit(ctx); refusal != nil {
		return CallAnswer{}, refusal
	}
	defer c.service.done(c.admission)
	answer, refusal := c.claimAndRun(ctx)
	o := answer.Outcome
	if refusal != nil {
		o = refusal.Detail.Outcome
	}
	c.service.counters.Requests.WithLabelValues("call", string(o)).Inc()
	return answer, refusal
}

func (c *call) admit(ctx context.Context) *Refusal {
	now := c.service.now()
	choice, err := c.service.router.Choose(now, randomWord(), c.query)
	if err != nil {
		return refuseRoute(c.ask.RequestID, err)
	}
	priority := choice.Priority
	if c.ask.Priority != PriorityUnset {
		priority = min(priority, c.ask.Priority)
	}
	deadline, _ := ctx.Deadline()
	c.admission = admit.Ask{
		Organisation:       c.ask.Organisation,
		Fleet:              c.query.Fleet,
		Priority:           priority,
		ExpectedFirstToken: choice.ExpectedFirstToken,
		ExpectedPrefill:    choice.ExpectedPrefill,
		Deadline:           deadline,
	}
	d := c.service.admitter.Admit(now, c.admission)
	if !d.Admitted {
		return refuseAdmission(c.ask.RequestID, d)
	}
	c.service.admitter.Attempted(now, c.ask.Organisation, choice.Endpoint.Name)
	c.next = &choice
	return nil
}

// claimAndRun takes the at-most-once claim where one is needed. A non-idempotent call
// without a key needs none: this daemon alone holds it and dispatches it once.
func (c *call) claimAndRun(ctx context.Context) (CallAnswer, *Refusal) {
	if c.needsClaim() {
		answer, refusal, granted := c.acquire(ctx)
		if !granted {
			return answer, refusal
		}
	}
	answer, refusal := c.run(ctx)
	c.settle(answer, refusal)
	return answer, refusal
}

func (c *call) acquire(ctx context.Context) (CallAnswer, *Refusal, bool) {
	c.key = claim.Key{
		Organisation:   c.ask.Organisation,
		IdempotencyKey: c.ask.IdempotencyKey,
		Method:         c.ask.Method,
		Path:           c.ask.Path,
	}
	r := c.service.claims.Acquire(ctx, c.key, c.ask.RequestID)
	switch r.Kind {
	case claim.Granted:
		c.claimed = true
		return CallAnswer{}, nil, true
	case claim.Completed:
		return c.recorded(r), nil, false
	default:
		return CallAnswer{}, refuseClaim(c.ask.RequestID, r), false
	}
}

// recorded is the answer of an earlier run of the same key.
func (c *call) recorded(r claim.Result) CallAnswer {
	answer := engine.Answer{Status: r.Status, Body: r.Body}
	if !r.HasBody {
		answer.Headers = []engine.Header{{Name: headerAnswerBody, Value: "not-kept"}}
	}
	return CallAnswer{Answer: answer, Outcome: outcome.Completed}
}

func refuseClaim(requestID string, r claim.Result) *Refusal {
	switch r.Kind {
	case claim.InProgress:
		return NewRefusal(http.StatusConflict, requestID, "in_progress",
			"a request with this key is being run").with(outcome.InProgress).after(r.RetryAfter())
	case claim.Unknown:
		return NewRefusal(http.StatusConflict, requestID, "outcome_unknown",
			"a request with this key may have run; it is not run again").with(outcome.Unknown)
	case claim.Expired:
		return NewRefusal(http.StatusConflict, requestID, "key_expired",
			"this key is too old for its outcome to be known").with(outcome.Unknown)
	default:
		return NewRefusal(http.StatusServiceUnavailable, requestID, "claim_refused",
			"the record of non-idempotent calls cannot be written now").after(r.RetryAfter())
	}
}

// run makes attempts until one is answered or no further one is safe.
func (c *call) run(ctx context.Context) (CallAnswer, *Refusal) {
	for attempt := 1; ; attempt++ {
		choice, err := c.choose()
		if err != nil {
			return CallAnswer{}, refuseRoute(c.ask.RequestID, err).with(c.machine.Outcome())
		}
		answer, err := c.dispatch(ctx, choice)
		if err == nil {
			return CallAnswer{Answer: answer, Outcome: outcome.Completed}, nil
		}
		safe := c.machine.Failed(err)
		c.query.Exclude = append(c.query.Exclude, choice.Endpoint.Name)
		if !safe || attempt >= c.service.settings.MaxAttempts || !c.retryAllowed(ctx, choice) {
			return CallAnswer{}, c.refuseFailure(err)
		}
	}
}

func (c *call) choose() (route.Choice, error) {
	next := c.next
	c.next = nil
	return c.service.choose(next, c.query)
}

func (c *call) retryAllowed(ctx context.Context, choice route.Choice) bool {
	if ctx.Err() != nil {
		return false
	}
	return c.service.allowRetry(c.ask.Organisation, choice.Endpoint.Name)
}

// dispatch makes one attempt.
func (c *call) dispatch(ctx context.Context, choice route.Choice) (engine.Answer, error) {
	if err := ctx.Err(); err != nil {
		// Nothing has been sent for this attempt.
		return engine.Answer{}, errors.Join(engine.ErrNotSent, err)
	}
	c.machine.Begin()
	c.service.router.Begin(choice.Endpoint.Name)
	started := c.service.now()
	answer, err := c.service.engines.Call(ctx, choice.Endpoint.Address, engine.Call{
		Method:    c.ask.Method,
		URI:       c.ask.URI,
		Headers:   c.ask.Headers,
		Body:      c.ask.Body,
		AttemptID: c.ask.RequestID,
	})
	now := c.service.now()
	result := route.Result{OK: true}
	if err != nil {
		result = resultOf(err)
	} else {
		c.machine.Completed()
		result.FirstToken = now.Sub(started)
	}
	result.Duration = now.Sub(started)
	c.service.router.End(now, choice.Endpoint.Name, result)
	c.service.counters.Attempts.WithLabelValues(resultLabel(result)).Inc()
	return answer, err
}

func (c *call) refuseFailure(err error) *Refusal {
	o := c.machine.Outcome()
	status := http.StatusServiceUnavailable
	if o == outcome.Unknown {
		status = http.StatusBadGateway
	}
	return NewRefusal(status, c.ask.RequestID, "no_answer", err.Error()).
		with(o).after(retryAfterFailure)
}

// settle records how the claim ended. It does not use the caller's context: the
// record outlives the caller's patience.
func (c *call) settle(answer CallAnswer, refusal *Refusal) {
	if !c.claimed {
		return
	}
	recorded := make(chan struct{})
	c.service.pool.Submit(func() {
		defer close(recorded)
		c.record(answer, refusal)
	})
	if refusal != nil {
		// The final answer does not wait for the record's withdrawal.
		return
	}
	select {
	case <-recorded:
	case <-time.After(c.service.settings.RecordTimeout):
	}
}

func (c *call) record(answer CallAnswer, refusal *Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), c.service.settings.MaxTimeout)
	defer cancel()
	if refusal == nil {
		_ = c.service.claims.Complete(ctx, c.key, c.ask.RequestID, answer.Status, answer.Body)
		return
	}
	if refusal.Detail.Outcome == outcome.NotRun {
		_ = c.service.claims.Release(ctx, c.key, c.ask.RequestID)
	}
}

package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"rattanchute/internal/claim"
	"rattanchute/internal/engine"
	"rattanchute/internal/outcome"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/request"
	"rattanchute/internal/route"
)

// headerAnswerBody says "not-kept" on a recorded answer whose body was too large to be
// recorded.
const headerAnswerBody = "X-Answer-Body"

// CallRequest is a caller's request to a plain service.
type CallRequest struct {
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

// CallResponse is an endpoint's answer and what is known of the run.
type CallResponse struct {
	engine.Response
	Outcome outcome.Outcome
}

// call is one plain call while it is served.
type call struct {
	service   *Service
	ask       CallRequest
	query     route.Query
	admission ratelimit.Request
	machine   *request.Call
	next      *route.Choice
	claimed   bool
	key       claim.Key
}

// Call serves a request to a plain service.
func (s *Service) Call(ctx context.Context, ask CallRequest) (CallResponse, *Refusal) {
	c := &call{
		service: s,
		ask:     ask,
		machine: request.NewCall(ask.RequestID, s.router.Table().Idempotent(ask.Method, ask.Path)),
	}
	answer, refusal := c.enterAndServe(ctx)
	if refusal != nil {
		return CallResponse{}, s.refused(c.qualify(refusal))
	}
	return answer, nil
}

func (c *call) enterAndServe(ctx context.Context) (CallResponse, *Refusal) {
	if !c.service.enter() {
		return CallResponse{}, refuseClosing(c.ask.RequestID)
	}
	defer c.service.leave()
	target, ok := c.service.router.Table().FleetForPath(c.ask.Path)
	if !ok {
		return CallResponse{}, NewRefusal(http.StatusNotFound, c.ask.RequestID, "unknown_path",
			"no service answers this path").field("path")
	}
	c.query = route.Query{Organisation: c.ask.Organisation, Fleet: target.Name}
	ctx, cancel := context.WithTimeout(ctx, c.service.timeout(c.ask.Timeout))
	defer cancel()
	return c.serve(ctx)
}

func (c *call) serve(ctx context.Context) (CallResponse, *Refusal) {
	if refusal := c.ratelimit(ctx); refusal != nil {
		return CallResponse{}, refusal
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

func (c *call) ratelimit(ctx context.Context) *Refusal {
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
	c.admission = ratelimit.Request{
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
	c.service.admitter.RecordAttempt(now, c.ask.Organisation, choice.Endpoint.Name)
	c.next = &choice
	return nil
}

// run makes attempts until one is answered or no further one is safe.
func (c *call) run(ctx context.Context) (CallResponse, *Refusal) {
	for attempt := 1; ; attempt++ {
		choice, err := c.choose()
		if err != nil {
			return CallResponse{}, refuseRoute(c.ask.RequestID, err).with(c.machine.Outcome())
		}
		answer, err := c.dispatch(ctx, choice)
		if err == nil {
			return CallResponse{Response: answer, Outcome: outcome.Completed}, nil
		}
		safe := c.machine.RecordFailure(err)
		c.query.Exclude = append(c.query.Exclude, choice.Endpoint.Name)
		if !safe || attempt >= c.service.settings.MaxAttempts || !c.retryAllowed(ctx, choice) {
			return CallResponse{}, c.refuseFailure(err)
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
func (c *call) dispatch(ctx context.Context, choice route.Choice) (engine.Response, error) {
	if err := ctx.Err(); err != nil {
		// Nothing has been sent for this attempt.
		return engine.Response{}, errors.Join(engine.ErrNotSent, err)
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
		c.machine.RecordCompletion()
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

package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"rattanchute/internal/claim"
	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/outcome"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quarantine/verify"
	"rattanchute/internal/ratelimit"
	"rattanchute/internal/request"
	"rattanchute/internal/route"
)

// errEndpointGone means that a response that ended with its connection may have been cut off.
var errEndpointGone = fmt.Errorf("%w: endpoint gone at the end of a response without a length", engine.ErrTerminated)

// headerAnswerBody is "not-kept" on a recorded response whose body was not recorded, because it
// was too large or there was no room for it.
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
	// Priority and Timeout have the same meaning as in a chat request.
	Priority int
	Timeout  time.Duration
	// Room bounds the memory of the response's body; nil for no bound.
	Room engine.Room
}

// CallResponse is an endpoint's response, or the record of an earlier one, and the outcome of the
// request.
type CallResponse struct {
	engine.Response
	Outcome outcome.Outcome
}

// call is the state of one plain call while it is served.
type call struct {
	service   *Service
	req       CallRequest
	query     route.Query
	admission ratelimit.Request
	machine   *request.Call
	next      *route.Choice
	crash     crashSubject
	claimed   bool
	// presence is whether the endpoint was there when its response ended with its connection; unknown otherwise.
	presence verify.Presence
	key      claim.Key
}

// Call serves a request to a plain service. It returns either a response or a refusal.
func (s *Service) Call(ctx context.Context, req CallRequest) (CallResponse, *Refusal) {
	c := &call{
		service: s,
		req:     req,
		machine: request.NewCall(req.RequestID, s.router.Table().Idempotent(req.Method, req.Path)),
	}
	answer, refusal := c.enterAndServe(ctx)
	if refusal != nil {
		return CallResponse{}, s.refused(c.qualifyByKey(refusal))
	}
	return answer, nil
}

func (c *call) enterAndServe(ctx context.Context) (CallResponse, *Refusal) {
	if !c.service.enter() {
		return CallResponse{}, refuseShuttingDown(c.req.RequestID)
	}
	defer c.service.leave()
	target, ok := c.service.router.Table().FleetForPath(c.req.Path)
	if !ok {
		return CallResponse{}, NewRefusal(http.StatusNotFound, c.req.RequestID, "unknown_path",
			"no service answers this path").withField("path")
	}
	c.query = route.Query{Organisation: c.req.Organisation, Fleet: target.Name}
	c.crash = crashSubject{service: c.service, request: quarantine.Request{
		Fleet:       target.Name,
		Fingerprint: quarantine.Fingerprint(c.req.Organisation, c.req.Method, "", c.req.URI, c.req.Body),
	}}
	if refusal := c.crash.check(c.req.RequestID); refusal != nil {
		return CallResponse{}, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, c.service.timeout(c.req.Timeout))
	defer cancel()
	defer context.AfterFunc(c.service.endContext, cancel)()
	return c.serve(ctx)
}

func (c *call) serve(ctx context.Context) (CallResponse, *Refusal) {
	if refusal := c.ratelimit(ctx); refusal != nil {
		return CallResponse{}, refusal
	}
	defer c.service.completed(c.admission)
	answer, refusal := c.claimAndRun(ctx)
	o := answer.Outcome
	if refusal != nil {
		o = refusal.Detail.Outcome
	}
	c.service.metrics.Requests.WithLabelValues("call", string(o)).Inc()
	return answer, refusal
}

// ratelimit chooses the first endpoint and asks the limiter whether the call is accepted; nil means
// that it is.
func (c *call) ratelimit(ctx context.Context) *Refusal {
	now := c.service.now()
	choice, err := c.service.router.Choose(now, randomBits(), c.query)
	if err != nil {
		return c.service.refuseRoute(c.req.RequestID, err, c.query)
	}
	priority := choice.Priority
	if c.req.Priority != PriorityUnset {
		priority = min(priority, c.req.Priority)
	}
	deadline, _ := ctx.Deadline()
	c.admission = ratelimit.Request{
		Organisation:       c.req.Organisation,
		Fleet:              c.query.Fleet,
		Priority:           priority,
		ExpectedFirstToken: choice.ExpectedFirstToken,
		ExpectedPrefill:    choice.ExpectedPrefill,
		Deadline:           deadline,
	}
	d := c.service.limiter.Admit(now, c.admission)
	if !d.Admitted {
		return refuseAdmission(c.req.RequestID, d)
	}
	c.service.limiter.RecordAttempt(now, c.req.Organisation, choice.Endpoint.Name)
	c.next = &choice
	return nil
}

// run makes attempts until one is answered or no further one may be made: because the call may
// have run, or because the attempts, the retry budget, the endpoints or the time are used up.
func (c *call) run(ctx context.Context) (CallResponse, *Refusal) {
	for attempt := 1; ; attempt++ {
		choice, err := c.choose()
		if err != nil {
			return CallResponse{}, c.service.refuseRoute(c.req.RequestID, err, c.query).withOutcome(c.machine.Outcome())
		}
		if err := c.crash.recheck(attempt > 1); err != nil {
			return CallResponse{}, c.refuseFailure(err)
		}
		answer, err := c.runAttempt(ctx, choice)
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
	return c.service.allowRetry(c.req.Organisation, choice.Endpoint.Name)
}

// runAttempt makes one attempt and reports its result to the router. If ctx has ended, it sends
// nothing.
func (c *call) runAttempt(ctx context.Context, choice route.Choice) (engine.Response, error) {
	if err := ctx.Err(); err != nil {
		// This attempt has sent nothing.
		return engine.Response{}, errors.Join(engine.ErrNotSent, err)
	}
	c.machine.Begin()
	c.presence = verify.Unknown
	c.service.router.Begin(choice.Endpoint.Name)
	started := c.service.now()
	answer, err := c.service.engines.Call(ctx, choice.Endpoint.Address, engine.Call{
		Method:    c.req.Method,
		URI:       c.req.URI,
		Headers:   c.req.Headers,
		Body:      c.req.Body,
		AttemptID: c.req.RequestID,
		Room:      c.req.Room,
	})
	// The check is no part of the endpoint's time.
	took := c.service.now().Sub(started)
	if err == nil && answer.EndedWithConnection {
		err = c.checkEnd(ctx, choice.Endpoint)
	}
	c.observeCrash(choice.Endpoint, started, answer, err)
	result := route.Result{OK: true}
	if err != nil {
		result = resultOf(err)
	} else {
		c.machine.RecordCompletion()
		result.FirstToken = took
	}
	result.Duration = took
	c.service.router.End(c.service.now(), choice.Endpoint.Name, result)
	c.service.metrics.Attempts.WithLabelValues(resultLabel(result)).Inc()
	if err != nil {
		return engine.Response{}, err
	}
	return answer, nil
}

// checkEnd returns an error if a response that has ended with its connection counts as cut off, because its endpoint
// is gone. The operating system closes the connections of a process that is killed in order.
func (c *call) checkEnd(ctx context.Context, endpoint fleet.Endpoint) error {
	// Why it is unknown does not matter here: the metric counts it.
	c.presence, _ = c.service.crashes.Presence(ctx, endpoint.Address)
	c.service.metrics.EndChecks.WithLabelValues(c.presence.String()).Inc()
	leaving := c.service.router.Leaving(c.service.now(), endpoint.Name)
	if verify.DoubtsEnd(c.presence, leaving, c.machine.Idempotent()) {
		return errEndpointGone
	}
	return nil
}

// observeCrash records what the end of an attempt says about what crashes endpoints. A response that reports
// an error may have been given without running the call.
func (c *call) observeCrash(endpoint fleet.Endpoint, started time.Time, answer engine.Response, err error) {
	if err != nil {
		c.crash.observeFailure(endpoint, started, err)
		return
	}
	c.service.quarantine.Responded(c.service.now(), instanceName(endpoint), started)
	if answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices {
		unframed := answer.EndedWithConnection && c.presence != verify.Present
		c.crash.observeCompletion(endpoint, started, unframed)
	}
}

func (c *call) refuseFailure(err error) *Refusal {
	o := c.machine.Outcome()
	status := http.StatusServiceUnavailable
	if o == outcome.Unknown {
		status = http.StatusBadGateway
	}
	return NewRefusal(status, c.req.RequestID, "no_answer", err.Error()).
		withOutcome(o).withRetryAfter(retryAfterFailure)
}

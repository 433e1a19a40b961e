package dispatcher

import (
	"context"
	"net/http"
	"time"

	"rattanchute/internal/claim"
	"rattanchute/internal/engine"
	"rattanchute/internal/outcome"
)

// needsClaim tells whether the call runs under an at-most-once record.
func (c *call) needsClaim() bool {
	return !c.machine.Idempotent() && c.ask.IdempotencyKey != ""
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

// claimAndRun takes the at-most-once claim where one is needed. A non-idempotent call
// without a key needs none: this daemon alone holds it and dispatches it once.
func (c *call) claimAndRun(ctx context.Context) (CallResponse, *Refusal) {
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

func (c *call) acquire(ctx context.Context) (CallResponse, *Refusal, bool) {
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
		return CallResponse{}, nil, true
	case claim.Completed:
		return c.recorded(r), nil, false
	default:
		return CallResponse{}, refuseClaim(c.ask.RequestID, r), false
	}
}

// recorded is the answer of an earlier run of the same key.
func (c *call) recorded(r claim.Result) CallResponse {
	answer := engine.Response{Status: r.Status, Body: r.Body}
	if !r.HasBody {
		answer.Headers = []engine.Header{{Name: headerAnswerBody, Value: "not-kept"}}
	}
	return CallResponse{Response: answer, Outcome: outcome.Completed}
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

// settle records how the claim ended. It does not use the caller's context: the
// record outlives the caller's patience.
func (c *call) settle(answer CallResponse, refusal *Refusal) {
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

func (c *call) record(answer CallResponse, refusal *Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), c.service.settings.MaxTimeout)
	defer cancel()
	if refusal == nil {
		_ = c.service.claims.Complete(ctx, c.key, c.ask.RequestID, answer.Status, answer.Body)
		return
	}
	if refusal.Detail.Outcome == outcome.NotRun {
		_ = c.service.claims.Withdraw(ctx, c.key, c.ask.RequestID)
	}
}

package dispatcher

import (
	"context"
	"net/http"
	"time"

	"rattanchute/internal/claim"
	"rattanchute/internal/engine"
	"rattanchute/internal/outcome"
)

// needsClaim reports whether the call needs an at-most-once record.
func (c *call) needsClaim() bool {
	return !c.machine.Idempotent() && c.req.IdempotencyKey != ""
}

// qualifyByKey makes a refusal cover the idempotency key and not only this attempt: as long as the
// key's record has not been read, an earlier attempt with the key may have run.
func (c *call) qualifyByKey(r *Refusal) *Refusal {
	if !c.needsClaim() || c.claimed || r.Detail.Outcome != outcome.NotRun {
		return r
	}
	r.Detail.Message += "; whether an earlier request with this key ran was not looked up, come back with the same key"
	return r.withOutcome(outcome.Unknown)
}

// claimAndRun takes the at-most-once claim if one is needed, and runs the call. A non-idempotent
// call without a key needs none: only this daemon has it, and it does not send it again if it may
// have run.
func (c *call) claimAndRun(ctx context.Context) (CallResponse, *Refusal) {
	if c.needsClaim() {
		answer, refusal, granted := c.acquireClaim(ctx)
		if !granted {
			return answer, refusal
		}
	}
	answer, refusal := c.run(ctx)
	c.finishClaim(answer, refusal)
	return answer, refusal
}

func (c *call) acquireClaim(ctx context.Context) (CallResponse, *Refusal, bool) {
	c.key = claim.Key{
		Organisation:   c.req.Organisation,
		IdempotencyKey: c.req.IdempotencyKey,
		Method:         c.req.Method,
		Path:           c.req.Path,
	}
	r := c.service.claims.Acquire(ctx, c.key, c.req.RequestID)
	switch r.Kind {
	case claim.Granted:
		c.claimed = true
		return CallResponse{}, nil, true
	case claim.Completed:
		return c.recordedResponse(r), nil, false
	default:
		return CallResponse{}, refuseClaim(c.req.RequestID, r), false
	}
}

// recordedResponse returns the response of an earlier run with the same key.
func (c *call) recordedResponse(r claim.Result) CallResponse {
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
			"a request with this key is being run").withOutcome(outcome.InProgress).withRetryAfter(r.RetryAfter())
	case claim.Unknown:
		return NewRefusal(http.StatusConflict, requestID, "outcome_unknown",
			"a request with this key may have run; it is not run again").withOutcome(outcome.Unknown)
	case claim.Expired:
		return NewRefusal(http.StatusConflict, requestID, "key_expired",
			"this key is too old for its outcome to be known").withOutcome(outcome.Unknown)
	default:
		return NewRefusal(http.StatusServiceUnavailable, requestID, "claim_refused",
			"the record of non-idempotent calls cannot be written now").withRetryAfter(r.RetryAfter())
	}
}

// finishClaim records a response, or withdraws the claim if the call has not run; after an unknown
// outcome the claim stays as it is. It does not use the caller's context, because the record must
// be written even if the caller no longer waits. A response waits for its record, at most for
// RecordTimeout.
func (c *call) finishClaim(answer CallResponse, refusal *Refusal) {
	if !c.claimed {
		return
	}
	recorded := make(chan struct{})
	c.service.pool.Submit(func() {
		defer close(recorded)
		c.recordOutcome(answer, refusal)
	})
	if refusal != nil {
		// A refusal does not wait until the claim is withdrawn.
		return
	}
	select {
	case <-recorded:
	case <-time.After(c.service.settings.RecordTimeout):
	}
}

func (c *call) recordOutcome(answer CallResponse, refusal *Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), c.service.settings.MaxTimeout)
	defer cancel()
	if refusal == nil {
		_ = c.service.claims.Complete(ctx, c.key, c.req.RequestID, answer.Status, answer.Body)
		return
	}
	if refusal.Detail.Outcome == outcome.NotRun {
		_ = c.service.claims.Withdraw(ctx, c.key, c.req.RequestID)
	}
}

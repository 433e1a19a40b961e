package request

import (
	"errors"

	"rattanchute/internal/engine"
	"rattanchute/internal/invariant"
	"rattanchute/internal/outcome"
)

// Call tracks a non-streaming request over its attempts. It is not safe for concurrent use.
type Call struct {
	id         string
	idempotent bool
	attempts   int
	// mayHaveRun is set once an attempt has failed without proof that it was not executed.
	mayHaveRun bool
	completed  bool
}

// NewCall returns a Call without attempts. idempotent states that the call may be executed more
// than once.
func NewCall(id string, idempotent bool) *Call {
	return &Call{id: id, idempotent: idempotent}
}

// Idempotent reports whether the call was declared to be safe to execute again.
func (c *Call) Idempotent() bool { return c.idempotent }

// Begin records that an attempt is about to be dispatched.
func (c *Call) Begin() {
	invariant.Check(c.idempotent || !c.mayHaveRun, "non_idempotent_dispatched_once",
		"call %s is dispatched again although it may have run", c.id)
	c.attempts++
}

// RecordFailure records that an attempt ended without a response, and reports whether another
// attempt is safe.
func (c *Call) RecordFailure(err error) (retrySafe bool) {
	if !errors.Is(err, engine.ErrNotSent) {
		c.mayHaveRun = true
	}
	return c.idempotent || !c.mayHaveRun
}

// RecordCompletion records that the response of an endpoint has arrived.
func (c *Call) RecordCompletion() { c.completed = true }

// Outcome returns what may be reported to the caller at this point.
func (c *Call) Outcome() outcome.Outcome {
	if c.completed {
		return outcome.Completed
	}
	if c.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

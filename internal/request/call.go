package request

import (
	"errors"

	"rattanchute/internal/engine"
	"rattanchute/internal/invariant"
	"rattanchute/internal/outcome"
)

// Call follows one plain call over its attempts. It is not safe for concurrent use.
type Call struct {
	id         string
	repeatable bool
	attempts   int
	// mayHaveRun is set once an attempt ended without proof that it was not run.
	mayHaveRun bool
	completed  bool
}

// NewCall starts the life of a call.
func NewCall(id string, repeatable bool) *Call {
	return &Call{id: id, repeatable: repeatable}
}

// Idempotent tells whether the call was declared to be safe to run again.
func (c *Call) Idempotent() bool { return c.repeatable }

// Begin records that an attempt is about to be dispatched.
func (c *Call) Begin() {
	invariant.Check(c.repeatable || !c.mayHaveRun, "non_idempotent_dispatched_once",
		"call %s is dispatched again although it may have run", c.id)
	c.attempts++
}

// RecordFailure records the end of an attempt without an answer and tells whether another
// attempt is safe.
func (c *Call) RecordFailure(err error) (retrySafe bool) {
	if !errors.Is(err, engine.ErrNotSent) {
		c.mayHaveRun = true
	}
	return c.repeatable || !c.mayHaveRun
}

// RecordCompletion records that an endpoint's answer arrived.
func (c *Call) RecordCompletion() { c.completed = true }

// Outcome is what the caller may be told now.
func (c *Call) Outcome() outcome.Outcome {
	if c.completed {
		return outcome.Completed
	}
	if c.mayHaveRun {
		return outcome.Unknown
	}
	return outcome.NotRun
}

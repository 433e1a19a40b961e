package request

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/engine"
	"rattanchute/internal/invariant"
	"rattanchute/internal/outcome"
)

var errCut = errors.New("connection cut")

func TestRetrySafetyAndOutcome(t *testing.T) {
	refused := fmt.Errorf("refused: %w", engine.ErrNotSent)
	cases := []struct {
		name       string
		idempotent bool
		failures   []error
		retrySafe  bool
		outcome    outcome.Outcome
	}{
		{"refused, not repeatable", false, []error{refused, refused}, true, outcome.NotRun},
		{"cut, not repeatable", false, []error{errCut}, false, outcome.Unknown},
		{"refused then cut, not repeatable", false, []error{refused, errCut}, false, outcome.Unknown},
		{"cut, repeatable", true, []error{errCut}, true, outcome.Unknown},
		{"cut then refused, repeatable", true, []error{errCut, refused}, true, outcome.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := NewCall("r", tc.idempotent)
			safe := true
			for _, err := range tc.failures {
				c.Begin()
				safe = c.RecordFailure(err)
			}
			is.Equal(safe, tc.retrySafe)
			is.Equal(c.Outcome(), tc.outcome)
		})
	}
}

func TestSecondDispatchAfterUncertainFailureBreaksInvariant(t *testing.T) {
	is := is.New(t)
	var breached string
	old := invariant.SetHandler(func(name, _ string) { breached = name })
	t.Cleanup(func() { invariant.SetHandler(old) })
	c := NewCall("r", false)
	c.Begin()
	c.RecordFailure(errCut)
	c.Begin()
	is.Equal(breached, "non_idempotent_dispatched_once")
}

package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/rollout"
)

// TestOverdueStepIsTakenByAnotherHost has a step stay due, as when the host that decides is cut off from the store.
func TestOverdueStepIsTakenByAnotherHost(t *testing.T) {
	is := is.New(t)
	var steps overdueSteps
	now := time.Unix(1_800_000_000, 0)
	last := now.Add(rolloutOverdue + rolloutOverdueSpread + time.Millisecond)
	is.True(!steps.overdue(now, "f", rollout.StepSwitch, true))
	is.True(!steps.overdue(now.Add(rolloutOverdue-time.Millisecond), "f", rollout.StepSwitch, true))
	is.True(steps.overdue(last, "f", rollout.StepSwitch, true))
	is.True(!steps.overdue(last, "f", rollout.StepRolledBack, true)) // another step has become due
	is.True(!steps.overdue(last, "f", rollout.StepNone, false))
	is.True(!steps.overdue(last.Add(time.Hour), "f", rollout.StepSwitch, true)) // due only now
}

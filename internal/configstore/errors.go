package configstore

import (
	"fmt"

	"rattanchute/internal/fleet"
)

// ConflictError means that another change was accepted since the base generation.
// Nothing was written.
type ConflictError struct {
	Base    fleet.Generation
	Current fleet.Generation
	// BaseKnown is false when the base generation is no longer kept; Differences then
	// compares theirs and yours only.
	BaseKnown   bool
	Differences []ThreeWayDifference
}

// Error names the two generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change: based on generation %d, but generation %d is in force", e.Base, e.Current)
}

// UnknownOutcomeError means that the platform gave no answer and could not be read back: the
// change may be in force or not. Accepting it again with the same id settles it.
type UnknownOutcomeError struct {
	ID  string
	Err error
}

// Error names the change.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change: effect of change %s unknown: %v", e.ID, e.Err)
}

// Unwrap returns the platform's error.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

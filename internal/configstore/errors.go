package configstore

import (
	"fmt"

	"rattanchute/internal/fleet"
)

// ConflictError means that another change was accepted since the base generation. Nothing was
// written.
type ConflictError struct {
	Base    fleet.Generation
	Current fleet.Generation
	// BaseKnown is false if the base generation is no longer kept. Differences then compares
	// only theirs and yours.
	BaseKnown   bool
	Differences []ThreeWayDifference
}

// Error returns a message that names the two generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change: based on generation %d, but generation %d is in force", e.Base, e.Current)
}

// UnknownOutcomeError means that the platform did not respond and that reading back failed: the
// change may or may not be active. Accepting it again with the same ID resolves this.
type UnknownOutcomeError struct {
	ID  string
	Err error
}

// Error returns a message that names the change.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change: effect of change %s unknown: %v", e.ID, e.Err)
}

// Unwrap returns the platform's error.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

package configstore

import (
	"fmt"

	"rattanchute/internal/fleet"
)

// ConflictError means that the base generation of a change is not the active one; normally another
// change has been accepted since. The configuration was not written.
type ConflictError struct {
	Base    fleet.Generation
	Current fleet.Generation
	// BaseKnown is false if the base generation is not kept or could not be read. Differences then
	// compares only theirs and yours, and gives the values of theirs as those of the base.
	BaseKnown   bool
	Differences []ThreeWayDifference
}

// Error returns a message that names the two generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change: based on generation %d, but generation %d is in force", e.Base, e.Current)
}

// UnknownOutcomeError means that a write of the change may have taken effect or may still do so,
// and that reading back did not clarify this. Accepting the change again with the same ID does, once
// the platform responds.
type UnknownOutcomeError struct {
	ID  string
	Err error
}

// Error returns a message that names the change.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change: effect of change %s unknown: %v", e.ID, e.Err)
}

// Unwrap returns the error of the last write or read of the configuration.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

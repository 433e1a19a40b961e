package ctl

import (
	"errors"

	"rattanchute/internal/ctl/api"
	"rattanchute/internal/findings"
)

// The exit codes.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the configuration has findings, that a daemon refused the request,
	// or that the command failed for a reason without an exit code of its own.
	ExitRefused = 1
	// ExitUsage means that the command line is wrong, or a file or variable that it needs is
	// missing.
	ExitUsage = 2
	// ExitConflict means that another change has been accepted since the base generation.
	ExitConflict = 3
	// ExitNotInForce means that the change is accepted but was not seen in force everywhere
	// before the deadline.
	ExitNotInForce = 4
	// ExitUnreachable means that no daemon gave a valid response, that the platform is
	// unavailable, or that the daemon does not know whether a change was accepted.
	ExitUnreachable = 5
)

// usageError is an error of the command line, or of a file or environment variable that the
// command needs.
type usageError struct {
	message string
}

func (e *usageError) Error() string {
	return e.message
}

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	var list findings.List
	var usage *usageError
	var lagging *NotInForceError
	var unreachable *UnreachableError
	var problem *ProblemError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &list):
		return ExitRefused
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &lagging):
		return ExitNotInForce
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &problem):
		return problemExitCode(problem.Problem.Code)
	}
	return ExitRefused
}

func problemExitCode(code api.Code) int {
	switch code {
	case api.CodeConflict:
		return ExitConflict
	case api.CodeUnavailable, api.CodeUnknownEffect:
		return ExitUnreachable
	}
	return ExitRefused
}

package ctl

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
)

const (
	baseCurrent = "current"
	// retryInterval is the wait before a change is sent again.
	retryInterval = 500 * time.Millisecond
)

// validateResult is the JSON output of the validate command.
type validateResult struct {
	Valid bool `json:"valid"`
	// The numbers of objects of these kinds in the configuration.
	Fleets    int `json:"fleets"`
	Endpoints int `json:"endpoints"`
	Selectors int `json:"selectors"`
}

func (v validateResult) text(w io.Writer) {
	fmt.Fprintf(w, "valid: %d fleets, %d endpoints, %d selectors\n", v.Fleets, v.Endpoints, v.Selectors)
}

// readFile returns the text of the configuration file and the parsed configuration. The error is
// a *usageError if the file cannot be read, and a findings.List if its text is not valid.
func (c *command) readFile() (string, *fleet.Configuration, error) {
	raw, err := c.env.ReadFile(c.opts.file)
	if err != nil {
		return "", nil, &usageError{err.Error()}
	}
	configuration, list := fleet.ParseConfiguration(c.opts.file, raw)
	return string(raw), configuration, list.Err()
}

func (c *command) validate() (result, error) {
	_, configuration, err := c.readFile()
	if err != nil {
		return nil, err
	}
	return validateResult{
		Valid:     true,
		Fleets:    len(configuration.Fleets),
		Endpoints: len(configuration.Endpoints),
		Selectors: len(configuration.Selectors),
	}, nil
}

// diffResult is the JSON output of the diff command.
type diffResult struct {
	Generation  fleet.Generation         `json:"generation"`
	Differences []configstore.Difference `json:"differences"`
}

func (d diffResult) text(w io.Writer) {
	for _, difference := range d.Differences {
		fmt.Fprintln(w, difference)
	}
	fmt.Fprintf(w, "%d differences from generation %d\n", len(d.Differences), d.Generation)
}

func (c *command) diff() (result, error) {
	_, configuration, err := c.readFile()
	if err != nil {
		return nil, err
	}
	inForce, err := c.client.Configuration()
	if err != nil {
		return nil, err
	}
	old := &fleet.Configuration{}
	if inForce.Generation > 0 {
		parsed, list := fleet.ParseConfiguration(fmt.Sprintf("generation %d", inForce.Generation), []byte(inForce.Text))
		if err := list.Err(); err != nil {
			return nil, err
		}
		old = parsed
	}
	return diffResult{Generation: inForce.Generation, Differences: configstore.Diff(old, configuration)}, nil
}

// getResult is the JSON output of the get command.
type getResult struct {
	api.Configuration
	stderr io.Writer
}

func (g getResult) text(w io.Writer) {
	fmt.Fprint(w, g.Text)
	fmt.Fprintf(g.stderr, "generation %d\n", g.Generation)
}

func (c *command) get() (result, error) {
	inForce, err := c.client.Configuration()
	if err != nil {
		return nil, err
	}
	return getResult{Configuration: inForce, stderr: c.env.Stderr}, nil
}

// applyResult is the JSON output of the apply command.
type applyResult struct {
	Entry configstore.Entry `json:"entry"`
	// InForce lists the daemons that have reported this or a later generation as in force. It is
	// empty without --wait.
	InForce []string `json:"in_force,omitempty"`
	waited  bool
}

func (a applyResult) text(w io.Writer) {
	for _, difference := range a.Entry.Differences {
		fmt.Fprintln(w, difference)
	}
	if a.Entry.Omitted > 0 {
		fmt.Fprintf(w, "and %d more differences\n", a.Entry.Omitted)
	}
	fmt.Fprintf(w, "generation %d accepted, change %s by %s\n", a.Entry.To, a.Entry.ID, a.Entry.Operator)
	if a.waited {
		fmt.Fprintf(w, "seen in force on %d daemons\n", len(a.InForce))
	}
}

func (c *command) apply() (result, error) {
	text, _, err := c.readFile()
	if err != nil {
		return nil, err
	}
	base, err := c.baseGeneration()
	if err != nil {
		return nil, err
	}
	deadline := c.env.Now().Add(c.opts.timeout)
	response, err := c.send(configstore.Change{ID: c.env.NewID(), Base: base, File: c.opts.file, Text: text}, deadline)
	if err != nil {
		return nil, err
	}
	if !c.opts.wait {
		return applyResult{Entry: response.Entry}, nil
	}
	inForce, err := c.waitInForce(response.Entry.To, deadline)
	return applyResult{Entry: response.Entry, InForce: inForce, waited: true}, err
}

func (c *command) baseGeneration() (fleet.Generation, error) {
	if c.opts.base == baseCurrent {
		inForce, err := c.client.Configuration()
		return inForce.Generation, err
	}
	base, err := strconv.ParseUint(c.opts.base, 10, 64)
	if err != nil {
		return 0, &usageError{fmt.Sprintf("base is %q; accepted is --base with a generation, or current", c.opts.base)}
	}
	return fleet.Generation(base), nil
}

// send sends a change until a daemon reports its outcome or no time is left before the
// deadline for another try. The id of the change makes it safe to send it again after a lost
// response.
func (c *command) send(ch configstore.Change, deadline time.Time) (api.Applied, error) {
	unknown := false
	for {
		response, err := c.client.Apply(ch)
		unknown = unknown || outcomeUnknown(err)
		if err == nil || !retryable(err) {
			return response, err
		}
		if c.env.Now().Add(retryInterval).After(deadline) {
			return response, deadlineError(ch, unknown, err)
		}
		c.env.Sleep(retryInterval)
	}
}

// deadlineError returns the error for a change that was not acknowledged before the
// deadline. If its outcome is unknown, the error describes how to find out.
func deadlineError(ch configstore.Change, unknown bool, err error) error {
	if !unknown {
		return fmt.Errorf("not accepted: %w", err)
	}
	return fmt.Errorf("whether change %s was accepted is not known, look for it with audit: %w", ch.ID, err)
}

// outcomeUnknown reports whether the change may have been accepted in spite of the error.
func outcomeUnknown(err error) bool {
	var unreachable *UnreachableError
	var problem *ProblemError
	return errors.As(err, &unreachable) ||
		errors.As(err, &problem) && problem.Problem.Code == api.CodeUnknownEffect
}

// retryable reports whether the change should be sent again after the error.
func retryable(err error) bool {
	var problem *ProblemError
	return outcomeUnknown(err) ||
		errors.As(err, &problem) && problem.Problem.Code == api.CodeUnavailable
}

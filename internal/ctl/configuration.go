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
	// retryPause is the wait before a change is sent again after a lost answer.
	retryPause = 500 * time.Millisecond
)

// valid is the result of validate.
type valid struct {
	Valid bool `json:"valid"`
	// The numbers of declared objects.
	Fleets    int `json:"fleets"`
	Endpoints int `json:"endpoints"`
	Selectors int `json:"selectors"`
}

func (v valid) text(w io.Writer) {
	fmt.Fprintf(w, "valid: %d fleets, %d endpoints, %d selectors\n", v.Fleets, v.Endpoints, v.Selectors)
}

// readFile returns the text of the file and its configuration, or its findings.
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
	return valid{
		Valid:     true,
		Fleets:    len(configuration.Fleets),
		Endpoints: len(configuration.Endpoints),
		Selectors: len(configuration.Selectors),
	}, nil
}

// differences is the result of diff.
type differences struct {
	Generation  fleet.Generation         `json:"generation"`
	Differences []configstore.Difference `json:"differences"`
}

func (d differences) text(w io.Writer) {
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
	return differences{Generation: inForce.Generation, Differences: configstore.Diff(old, configuration)}, nil
}

// configuration is the result of get.
type configuration struct {
	api.Configuration
	stderr io.Writer
}

func (g configuration) text(w io.Writer) {
	fmt.Fprint(w, g.Text)
	fmt.Fprintf(g.stderr, "generation %d\n", g.Generation)
}

func (c *command) get() (result, error) {
	inForce, err := c.client.Configuration()
	if err != nil {
		return nil, err
	}
	return configuration{Configuration: inForce, stderr: c.env.Stderr}, nil
}

// applied is the result of apply.
type applied struct {
	Entry configstore.Entry `json:"entry"`
	// InForce lists the daemons that were seen to have the change in force.
	InForce []string `json:"in_force,omitempty"`
	waited  bool
}

func (a applied) text(w io.Writer) {
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
	answer, err := c.send(configstore.Change{ID: c.env.NewID(), Base: base, File: c.opts.file, Text: text}, deadline)
	if err != nil {
		return nil, err
	}
	if !c.opts.wait {
		return applied{Entry: answer.Entry}, nil
	}
	inForce, err := c.waitInForce(answer.Entry.To, deadline)
	return applied{Entry: answer.Entry, InForce: inForce, waited: true}, err
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

// send sends a change until a daemon says what became of it. The id makes it safe to
// send it again after a lost answer.
func (c *command) send(ch configstore.Change, deadline time.Time) (api.Applied, error) {
	open := false
	for {
		answer, err := c.client.Apply(ch)
		open = open || leavesOpen(err)
		if err == nil || !mayRetry(err) {
			return answer, err
		}
		if c.env.Now().Add(retryPause).After(deadline) {
			return answer, unsettled(ch, open, err)
		}
		c.env.Sleep(retryPause)
	}
}

// unsettled says how an open effect can be settled.
func unsettled(ch configstore.Change, open bool, err error) error {
	if !open {
		return fmt.Errorf("not accepted: %w", err)
	}
	return fmt.Errorf("whether change %s was accepted is not known, look for it with audit: %w", ch.ID, err)
}

// leavesOpen tells whether the change may have been accepted nonetheless.
func leavesOpen(err error) bool {
	var unreachable *UnreachableError
	var problem *ProblemError
	return errors.As(err, &unreachable) ||
		errors.As(err, &problem) && problem.Problem.Code == api.CodeUnknownEffect
}

func mayRetry(err error) bool {
	var problem *ProblemError
	return leavesOpen(err) ||
		errors.As(err, &problem) && problem.Problem.Code == api.CodeUnavailable
}

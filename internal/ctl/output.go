package ctl

import (
	"encoding/json"
	"errors"
	"fmt"

	"rattanchute/internal/ctl/api"
	"rattanchute/internal/findings"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// failure is the output of a failed command with --output json.
type failure struct {
	Error    string        `json:"error"`
	ExitCode int           `json:"exit_code"`
	Findings findings.List `json:"findings,omitempty"`
	Conflict *api.Conflict `json:"conflict,omitempty"`
	Lagging  []Lagging     `json:"lagging,omitempty"`
	// Result is the result of the command up to its failure.
	Result result `json:"result,omitempty"`
}

// finish prints the result and the error of a command and returns the exit code. A failed
// command may have a result as well.
func (c *command) finish(r result, err error) int {
	code := exitCode(err)
	if c.opts.output == outputJSON {
		c.printJSON(r, err, code)
		return code
	}
	if r != nil {
		r.text(c.env.Stdout)
	}
	if err != nil {
		c.printError(err)
	}
	return code
}

func (c *command) printJSON(r result, err error, code int) {
	var body any = r
	if err != nil {
		f := newFailure(err, code)
		f.Result = r
		body = f
	}
	encoder := json.NewEncoder(c.env.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(body); err != nil {
		fmt.Fprintln(c.env.Stderr, err)
	}
}

func newFailure(err error, code int) failure {
	f := failure{Error: err.Error(), ExitCode: code}
	var list findings.List
	var problem *ProblemError
	var lagging *NotInForceError
	switch {
	case errors.As(err, &list):
		f.Error = "the configuration is not valid"
		f.Findings = list
	case errors.As(err, &problem):
		f.Findings = problem.Problem.Findings
		f.Conflict = problem.Problem.Conflict
	case errors.As(err, &lagging):
		f.Lagging = lagging.Daemons
	}
	return f
}

func (c *command) printError(err error) {
	var list findings.List
	if errors.As(err, &list) {
		fmt.Fprintln(c.env.Stderr, list.Error())
		return
	}
	fmt.Fprintln(c.env.Stderr, "rattanchutectl:", err)
	var problem *ProblemError
	if !errors.As(err, &problem) {
		return
	}
	for _, f := range problem.Problem.Findings {
		fmt.Fprintln(c.env.Stderr, f)
	}
	if conflict := problem.Problem.Conflict; conflict != nil {
		c.printConflict(conflict)
	}
}

func (c *command) printConflict(conflict *api.Conflict) {
	if !conflict.BaseKnown {
		fmt.Fprintf(c.env.Stderr, "generation %d is no longer kept; its values are shown as theirs\n", conflict.Base)
	}
	for _, d := range conflict.Differences {
		fmt.Fprintln(c.env.Stderr, d)
	}
	fmt.Fprintf(c.env.Stderr, "take generation %d, make the change again and apply with --base %d\n", conflict.Current, conflict.Current)
}

package ctl

import (
	"fmt"
	"io"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"rattanchute/internal/configstore"
	"rattanchute/internal/ctl/api"
)

const (
	defaultAuditLimit = 20
	columnPadding     = 2
)

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
}

// statusResult is the JSON output of the status command.
type statusResult struct {
	api.Members
}

func (s statusResult) text(w io.Writer) {
	table := newTable(w)
	fmt.Fprintln(table, "NODE\tDATA CENTRE\tSTATE\tGENERATION\tREADY\tREQUESTS\tSTREAMS\tPLATFORM")
	for _, m := range s.Members.Members {
		if m.Status == nil {
			fmt.Fprintf(table, "%s\t%s\t%s\t-\t-\t-\t-\t%s\n", m.Node, m.DataCentre, m.State, m.Problem)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\n", m.Node, m.DataCentre, m.State,
			m.Status.Generation, readyText(*m.Status), m.Status.OpenRequests, m.Status.OpenStreams, reachableText(*m.Status))
	}
	_ = table.Flush()
}

func readyText(s api.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "yes"
	}
	return "no: " + s.NotReady
}

func reachableText(s api.Status) string {
	if s.PlatformReachable {
		return "reachable"
	}
	return "unreachable"
}

func (c *command) status() (result, error) {
	members, err := c.client.Members()
	if err != nil {
		return nil, err
	}
	return statusResult{members}, nil
}

// explainResult is the JSON output of the explain command.
type explainResult struct {
	api.Explanation
}

func (e explainResult) text(w io.Writer) {
	if e.Refused != "" {
		fmt.Fprintf(w, "refused: %s\n", e.Refused)
	} else {
		fmt.Fprintf(w, "chosen: %s\n", e.Chosen)
	}
	fmt.Fprintf(w, "fleet %s, generation %d, repeatable: %t\n", e.Fleet, e.Generation, e.Idempotent)
	table := newTable(w)
	fmt.Fprintln(table, "ENDPOINT\tDATA CENTRE\tPRIORITY\tREASON\tFIRST TOKEN\tLOAD\tCACHED\tPRICE")
	for _, d := range e.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.1f ms\t%.2f\t%d\t%d\n", d.Endpoint, d.DataCentre, d.Priority, d.Reason,
			d.ExpectedFirstTokenMillis, d.Load, d.CachedTokens, d.PricePerHourMilli)
	}
	_ = table.Flush()
}

func (c *command) explain() (result, error) {
	model := c.opts.model != ""
	service := c.opts.method != "" && c.opts.path != ""
	if c.opts.organisation == "" || model == service {
		return nil, &usageError{"accepted is --organisation with either --model, or --method and --path"}
	}
	response, err := c.client.Explain(api.ExplainRequest{
		Organisation: c.opts.organisation,
		Model:        c.opts.model,
		Method:       c.opts.method,
		Path:         c.opts.path,
	})
	if err != nil {
		return nil, err
	}
	return explainResult{response}, nil
}

// drainResult is the JSON output of the drain command.
type drainResult struct {
	api.Status
}

func (d drainResult) text(w io.Writer) {
	fmt.Fprintf(w, "%s is draining, %d requests and %d streams open\n", d.Node, d.OpenRequests, d.OpenStreams)
}

func (c *command) drain() (result, error) {
	status, err := c.client.Drain(c.opts.node)
	if err != nil {
		return nil, err
	}
	return drainResult{status}, nil
}

// auditResult is the JSON output of the audit command.
type auditResult struct {
	Entries []configstore.Entry `json:"entries"`
}

func (t auditResult) text(w io.Writer) {
	for _, e := range t.Entries {
		fmt.Fprintf(w, "%s %s: generation %d -> %d, change %s\n", e.At.UTC().Format(time.RFC3339), e.Operator, e.From, e.To, e.ID)
		for _, d := range e.Differences {
			fmt.Fprintf(w, "  %s\n", d)
		}
		if e.Omitted > 0 {
			fmt.Fprintf(w, "  and %d more differences\n", e.Omitted)
		}
	}
}

func (c *command) audit() (result, error) {
	response, err := c.client.Audit(c.opts.limit)
	if err != nil {
		return nil, err
	}
	return auditResult{response.Entries}, nil
}

// versionResult is the JSON output of the version command.
type versionResult struct {
	Version string `json:"version"`
}

func (v versionResult) text(w io.Writer) {
	fmt.Fprintln(w, v.Version)
}

func (c *command) version() (result, error) {
	return versionResult{Version()}, nil
}

// Version returns the module version in the build information of the tool, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

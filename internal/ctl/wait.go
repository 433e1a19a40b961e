package ctl

import (
	"fmt"
	"strings"
	"time"

	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
)

const (
	defaultTimeout = 30 * time.Second
	// The interval between polls doubles after each poll, up to maxPollInterval.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = 2 * time.Second
)

// Lagging is a live or suspect daemon that has not reported the awaited generation, or a later
// one, as in force. If the daemons could not be listed, one entry with the node "every daemon"
// stands for all.
type Lagging struct {
	Node       string           `json:"node"`
	Generation fleet.Generation `json:"generation"`
	// Reason is why the daemon reported no generation, which is zero then; empty if it did.
	Reason string `json:"reason,omitempty"`
}

// NotInForceError means that a generation is accepted but was not seen in force on all daemons
// before the deadline.
type NotInForceError struct {
	Generation fleet.Generation
	Daemons    []Lagging
}

// Error lists the daemons that lag behind.
func (e *NotInForceError) Error() string {
	names := make([]string, len(e.Daemons))
	for i, l := range e.Daemons {
		names[i] = fmt.Sprintf("%s (generation %d)", l.Node, l.Generation)
		if l.Reason != "" {
			names[i] = fmt.Sprintf("%s (%s)", l.Node, l.Reason)
		}
	}
	return fmt.Sprintf("generation %d is accepted but not yet in force on %s", e.Generation, strings.Join(names, ", "))
}

// waitInForce polls the live and suspect daemons until the generation, or a later one, is in
// force on all of them, and returns their names. If no time is left before the deadline for
// another poll, it returns a *NotInForceError and the names of the daemons that had the generation
// in force at the last poll; none if that poll failed.
func (c *command) waitInForce(g fleet.Generation, deadline time.Time) ([]string, error) {
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		inForce, lagging, err := c.pollInForce(g)
		if err == nil && len(lagging) == 0 {
			return inForce, nil
		}
		if c.env.Now().Add(interval).After(deadline) {
			if err != nil {
				lagging = []Lagging{{Node: "every daemon", Reason: err.Error()}}
			}
			return inForce, &NotInForceError{Generation: g, Daemons: lagging}
		}
		c.env.Sleep(interval)
	}
}

// pollInForce fetches the members once and splits them into those that have the generation,
// or a later one, in force and those that lag behind. It ignores daemons that are leaving or dead.
func (c *command) pollInForce(g fleet.Generation) (inForce []string, lagging []Lagging, err error) {
	response, err := c.client.Members()
	if err != nil {
		return nil, nil, err
	}
	for _, m := range response.Members {
		switch {
		case m.State != api.MemberLive && m.State != api.MemberSuspect:
			continue
		case m.Status == nil:
			lagging = append(lagging, Lagging{Node: m.Node, Reason: m.Problem})
		case m.Status.Generation < g:
			lagging = append(lagging, Lagging{Node: m.Node, Generation: m.Status.Generation})
		default:
			inForce = append(inForce, m.Node)
		}
	}
	return inForce, lagging, nil
}

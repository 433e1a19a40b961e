package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/alitto/pond/v2"

	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
)

const (
	defaultWait = 30 * time.Second
	// The time between two polls doubles from the first to the greatest.
	firstPollInterval = 100 * time.Millisecond
	maxPollInterval   = 2 * time.Second
	// maxParallelPolls bounds how many daemons are asked at once.
	maxParallelPolls = 32
)

// Lagging is a live daemon on which a generation is not seen in force.
type Lagging struct {
	Node       string           `json:"node"`
	Generation fleet.Generation `json:"generation"`
	// Reason is why the daemon's own word is missing; empty if it gave it.
	Reason string `json:"reason,omitempty"`
}

// LaggingError means that a generation is accepted but not yet in force everywhere.
type LaggingError struct {
	Generation fleet.Generation
	Daemons    []Lagging
}

// Error names the daemons that lag.
func (e *LaggingError) Error() string {
	names := make([]string, len(e.Daemons))
	for i, l := range e.Daemons {
		names[i] = fmt.Sprintf("%s (generation %d)", l.Node, l.Generation)
		if l.Reason != "" {
			names[i] = fmt.Sprintf("%s (%s)", l.Node, l.Reason)
		}
	}
	return fmt.Sprintf("generation %d is accepted but not yet in force on %s", e.Generation, strings.Join(names, ", "))
}

// waitInForce polls every live daemon until the generation is in force on all.
func (c *command) waitInForce(g fleet.Generation, deadline time.Time) ([]string, error) {
	for interval := firstPollInterval; ; interval = min(2*interval, maxPollInterval) {
		inForce, lagging, err := c.pollInForce(g)
		if err == nil && len(lagging) == 0 {
			return inForce, nil
		}
		if c.env.Now().Add(interval).After(deadline) {
			if err != nil {
				lagging = []Lagging{{Node: "every daemon", Reason: err.Error()}}
			}
			return inForce, &LaggingError{Generation: g, Daemons: lagging}
		}
		c.env.Sleep(interval)
	}
}

func (c *command) pollInForce(g fleet.Generation) (inForce []string, lagging []Lagging, err error) {
	seen, err := c.pollMembers()
	if err != nil {
		return nil, nil, err
	}
	for _, s := range seen {
		switch {
		case s.Member.State != api.MemberLive && s.Member.State != api.MemberSuspect:
			continue
		case s.err != nil:
			lagging = append(lagging, Lagging{Node: s.Member.Node, Generation: s.Member.Generation, Reason: s.err.Error()})
		case s.Status.Generation < g:
			lagging = append(lagging, Lagging{Node: s.Member.Node, Generation: s.Status.Generation})
		default:
			inForce = append(inForce, s.Member.Node)
		}
	}
	return inForce, lagging, nil
}

// memberStatus is a member as another daemon knows it and as it speaks for itself.
type memberStatus struct {
	Member api.Member  `json:"member"`
	Status *api.Status `json:"status,omitempty"`
	Error  string      `json:"error,omitempty"`
	err    error
}

// pollMembers asks each member that is not dead for its status.
func (c *command) pollMembers() ([]memberStatus, error) {
	members, err := c.client.Members()
	if err != nil {
		return nil, err
	}
	seen := make([]memberStatus, len(members.Members))
	pool := pond.NewPool(maxParallelPolls)
	defer pool.StopAndWait()
	group := pool.NewGroup()
	for i, m := range members.Members {
		seen[i].Member = m
		if m.State == api.MemberDead {
			continue
		}
		group.Submit(func() { c.pollMember(&seen[i]) })
	}
	return seen, group.Wait()
}

func (c *command) pollMember(s *memberStatus) {
	status, err := c.client.StatusOf(s.Member.Operators)
	if err != nil {
		s.err = err
		s.Error = err.Error()
		return
	}
	s.Status = &status
}

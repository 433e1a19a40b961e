package dispatcher

import (
	"errors"

	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// errMoved ends an attempt whose stream continues at another endpoint.
var errMoved = errors.New("moved to another endpoint")

// Move directs a stream to continue at another endpoint.
type Move struct {
	// From is the endpoint that the stream is to leave.
	From string
	// Target is the endpoint at which to continue; if it has no name, the router chooses one.
	Target fleet.Endpoint
}

// applyMove prepares the next attempt; it returns false if the stream has already left the
// endpoint.
func (c *ChatStream) applyMove(m Move) bool {
	if c.current == nil || c.current.endpoint.Name != m.From {
		return false
	}
	c.next = nil
	if m.Target.Name == "" {
		return true
	}
	c.next = &route.Choice{Endpoint: m.Target, Priority: c.priority}
	return true
}

// offerMove passes a move to the stream, unless one is pending.
func (c *ChatStream) offerMove(m Move) {
	select {
	case c.moves <- m:
	default:
	}
}

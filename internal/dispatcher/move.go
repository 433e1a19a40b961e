package dispatcher

import (
	"errors"

	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// errMoved ends an attempt whose stream goes on at another endpoint.
var errMoved = errors.New("moved to another endpoint")

// Move tells a stream to go on at another endpoint.
type Move struct {
	// From is the endpoint that the move was planned away from.
	From string
	// Target is where to go on; the router chooses if it has no name.
	Target fleet.Endpoint
}

// applyMove prepares the next attempt; false if the move is out of date.
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

// offer hands a move to the stream unless one is waiting already.
func (c *ChatStream) offer(m Move) {
	select {
	case c.moves <- m:
	default:
	}
}

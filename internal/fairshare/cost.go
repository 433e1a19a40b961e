package fairshare

import (
	"math"
	"time"
)

// Kind is a kind of room.
type Kind int

// The kinds of room.
const (
	// Slots are requests that an endpoint works on at the same time.
	Slots Kind = iota
	// Prompt is the computing of prompts, in tokens a second.
	Prompt
	// Memory is KV memory, in tokens.
	Memory
	kindCount
)

var kindNames = [kindCount]string{"slots", "prompt", "memory"}

// String returns the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

// Cost is an amount of each kind of room. For one request it is slot-seconds, prompt tokens to compute, and
// token-seconds of KV memory. For a demand, as a mean rate, it is slots, prompt tokens a second, and KV tokens.
type Cost [kindCount]float64

func (c Cost) plus(other Cost) Cost {
	for k := range c {
		c[k] += other[k]
	}
	return c
}

func (c Cost) times(factor float64) Cost {
	for k := range c {
		c[k] *= factor
	}
	return c
}

// minus subtracts, but leaves nothing below zero.
func (c Cost) minus(other Cost) Cost {
	for k := range c {
		c[k] = max(c[k]-other[k], 0)
	}
	return c
}

// maxCost bounds the figures that peers may report.
const maxCost = 1e12

// valid reports whether all figures are ones that a host may report.
func (c Cost) valid() bool {
	for _, v := range c {
		if math.IsNaN(v) || v < 0 || v > maxCost {
			return false
		}
	}
	return true
}

// MaxPromptBacklog is the mean time for which endpoints have prompts to compute at which they are full.
const MaxPromptBacklog = 500 * time.Millisecond

// Room is the room of a fleet, as this host sees all endpoints that may be sent requests.
type Room struct {
	// Capacity is what the endpoints have: slots, prompt tokens a second, and KV tokens. A kind that is zero is
	// not limited.
	Capacity Cost
	// Fullness is the part of it that requests of all hosts take, over 1 if some wait. For Prompt it is the mean
	// time for which an endpoint has prompts to compute, relative to MaxPromptBacklog.
	Fullness Cost
	// ReachablePart is the part of the known hosts that this one hears, itself included.
	ReachablePart float64
}

func (r *Room) fullest() (fullest Kind, fullness float64) {
	for k, f := range r.Fullness {
		if f > fullness && r.Capacity[k] > 0 {
			fullest, fullness = Kind(k), f
		}
	}
	return fullest, fullness
}

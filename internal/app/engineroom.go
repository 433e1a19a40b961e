package app

import (
	"context"

	"rattanchute/internal/bodybudget"
	"rattanchute/internal/clock"
)

// engineRoom is the part of the budget for bodies that engines take with what they send besides the bodies of calls. Nothing
// waits for it: an engine that sends so much is faulty.
type engineRoom struct{ holding *bodybudget.Holding }

func newEngineRoom(b *bodybudget.Budget) engineRoom {
	holding := b.Open(clock.Now(), func() {})
	holding.Complete()
	return engineRoom{holding}
}

// Acquire implements httpclient.Room.
func (r engineRoom) Acquire(_ context.Context, bytes int64) error { return r.holding.Acquire(bytes) }

// Return implements httpclient.Room.
func (r engineRoom) Return(bytes int64) { r.holding.Return(bytes) }

package app

import (
	"context"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// pollInterval is the time between two rounds of load polls.
	pollInterval = 250 * time.Millisecond
	// pollsPerRound bounds the polls of a round: 28 a second.
	pollsPerRound = 7
	// pollTimeout bounds one poll.
	pollTimeout = 500 * time.Millisecond
)

// pollEndpoints asks those endpoints for their load whose load is wanted but old. The
// other reports arrive on the endpoints' answers.
func (a *App) pollEndpoints() {
	for _, e := range a.router.EndpointsToPoll(time.Now(), pollsPerRound) {
		a.pool.Submit(func() { a.poll(e) })
	}
}

func (a *App) poll(e fleet.Endpoint) {
	f, ok := a.router.Table().Fleet(e.Fleet)
	if !ok || f.Kind != fleet.FleetModel {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	a.counter.polls.Inc()
	load, err := a.engines.Load(ctx, e.Address)
	if err != nil {
		a.counter.pollFailures.Inc()
		return
	}
	a.router.ObserveLoad(time.Now(), e.Name, load)
}

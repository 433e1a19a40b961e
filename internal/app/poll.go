package app

import (
	"context"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// pollInterval is the time between two rounds of load polls.
	pollInterval = 250 * time.Millisecond
	// pollsPerRound bounds the polls of a round, which makes at most 28 polls per second.
	pollsPerRound = 7
	// pollTimeout bounds one poll.
	pollTimeout = 500 * time.Millisecond
)

// pollEndpoints polls the load of engines that Router.EndpointsToPoll selects: those whose load
// is needed but out of date, and those that have never reported. Engines that get requests
// report their load on their responses. Services are not polled.
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
	a.metrics.polls.Inc()
	load, err := a.engines.Load(ctx, e.Address)
	if err != nil {
		a.metrics.pollFailures.Inc()
		return
	}
	a.router.ObserveLoad(time.Now(), e.Name, load)
}

package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/balancer"
	"rattanchute/internal/clock"
	"rattanchute/internal/registry"
)

// TestPlanCountsOnlyEndpointsThatLeaveAsLost holds for older lists and for restores of the store, too.
func TestPlanCountsOnlyEndpointsThatLeaveAsLost(t *testing.T) {
	is := is.New(t)
	n := &Node{endpoints: registry.NewView(), signals: backpressure.NewTable("h")}
	now := clock.Now()
	leaving := registry.Endpoint{ID: "i-1", Address: "10.0.0.1:1", StartMillis: 1}
	closed := registry.Endpoint{ID: "i-2", Address: "10.0.0.2:1", StartMillis: 1}
	list := []registry.Entry{{Endpoint: leaving, Version: 1}, {Endpoint: closed, Version: 1}}
	n.endpoints.Replace(now, list, 1)
	n.signals.Observe(now, 0, balancer.InstanceOf(&leaving), backpressure.Signal{Leaving: true})
	n.signals.Observe(now, 0, balancer.InstanceOf(&closed), backpressure.Signal{RetryAfter: time.Minute})
	for range 2 {
		known := n.planSources().Endpoints()
		is.Equal(len(known), 2)
		is.True(known[0].Leaving)
		is.True(!known[1].Leaving) // its demand is unserved, it is not lost
		n.endpoints.Replace(now, nil, 2)
		n.endpoints.StoreRestored(now)
		n.endpoints.Replace(now, list, 3)
		n.endpoints.Replace(now.Add(time.Minute), list, 4)
	}
}

package proxy

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDemandRate checks the rate of steady requests, from two seconds after the first one on, and
// that it is zero after a pause of two windows.
func TestDemandRate(t *testing.T) {
	is := is.New(t)
	p := &Proxy{demand: newDemandMeter()}
	start := time.Unix(1000, 0)
	const perSecond = 50
	rate := func(at time.Duration) float64 { return p.Demand(start.Add(at))["f"].RequestsPerSecond }
	for i := range 20 * perSecond {
		at := time.Duration(i) * time.Second / perSecond
		p.demand.record(start.Add(at), "f", 100, 10)
		if at >= 2*time.Second {
			is.True(math.Abs(rate(at)-perSecond) < 0.05*perSecond)
		}
	}
	is.Equal(rate(20*time.Second+2*demandWindow), 0.0)
}

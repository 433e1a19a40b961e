package proxy

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDemandIsTheRateFromTheStart: also before a whole window has passed, and after a pause.
func TestDemandIsTheRateFromTheStart(t *testing.T) {
	is := is.New(t)
	g := &Proxy{demand: newDemandMeter()}
	start := time.Unix(1000, 0)
	const perSecond = 50
	rate := func(at time.Duration) float64 { return g.Demand(start.Add(at))["f"].RequestsPerSecond }
	for i := range 20 * perSecond {
		at := time.Duration(i) * time.Second / perSecond
		g.demand.asked(start.Add(at), "f", 100, 10)
		if at >= 2*time.Second {
			is.True(math.Abs(rate(at)-perSecond) < 0.05*perSecond)
		}
	}
	is.Equal(rate(20*time.Second+2*demandWindow), 0.0)
}

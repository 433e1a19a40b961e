package costbench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/reclaim"
)

const (
	warmUp = time.Hour
	// drainTime is the time after the day in which its last requests are answered.
	drainTime = 15 * time.Minute
)

// Separate random streams give all policies with the same seed the same day.
const (
	rngCloud = iota
	rngArrivals
	rngControl
	rngRouting
)

// Run simulates one day of a site with a policy.
func Run(s Site, v Variant, seed uint64) *Result {
	return run(s, v, seed, warmUp, 24*time.Hour)
}

func run(s Site, v Variant, seed uint64, warmUp, length time.Duration) *Result {
	c := &clock{now: epoch.Add(-warmUp)}
	result := &Result{strategies: make(map[reclaim.Strategy]int)}
	cloud := newCloud(c, rand.New(rand.NewPCG(seed, rngCloud)), &s)
	f := newFrontend(c, seed, &s, &v, cloud, result)
	cloud.onChange = f.hostChanged
	control := &controller{
		clock: c, cloud: cloud, site: &s, variant: &v, settings: v.settings(),
		meter: f.meter, rng: rand.New(rand.NewPCG(seed, rngControl)),
	}
	cloud.schedule()
	f.arrive()
	c.every(planInterval, control.plan)
	c.every(pollInterval, f.pollLoads)
	c.runUntil(epoch.Add(length))
	const thousandths = 1000
	result.Cost = cloud.total() / thousandths
	c.runUntil(c.now.Add(drainTime))
	result.refused, result.starts = cloud.refused, cloud.starts
	result.shortPlans, result.peakHosts = control.shortPlans, control.peakHosts
	return result
}

package costbench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/reclaim"
)

const (
	warmUp = time.Hour
	// tail lets the last requests of the day be answered.
	tail = 15 * time.Minute
)

// Streams of random numbers, so that each policy of a seed meets the same day.
const (
	streamCloud = iota
	streamArrivals
	streamControl
	streamRouting
)

// Run simulates one day of a site under a policy.
func Run(s Site, v Variant, seed uint64) *Result {
	return run(s, v, seed, warmUp, 24*time.Hour)
}

func run(s Site, v Variant, seed uint64, warmUp, length time.Duration) *Result {
	c := &clock{now: epoch.Add(-warmUp)}
	result := &Result{ways: make(map[reclaim.Strategy]int)}
	cloud := newCloud(c, rand.New(rand.NewPCG(seed, streamCloud)), &s)
	e := newEntry(c, seed, &s, &v, cloud, result)
	cloud.onChange = e.hostChanged
	k := &control{
		clock: c, cloud: cloud, site: &s, variant: &v, settings: v.settings(),
		meter: e.meter, rng: rand.New(rand.NewPCG(seed, streamControl)),
	}
	cloud.schedule()
	e.arrive()
	c.every(planInterval, k.plan)
	c.every(pollInterval, e.pollLoads)
	c.runUntil(epoch.Add(length))
	const thousandths = 1000
	result.Cost = cloud.total() / thousandths
	c.runUntil(c.now.Add(tail))
	result.refused, result.starts = cloud.refused, cloud.starts
	result.shortPlans, result.peakHosts = k.shortPlans, k.peakHosts
	return result
}

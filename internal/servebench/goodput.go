package servebench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// levelCounts counts the results of the requests that were scheduled in the measured part of a
// level.
type levelCounts struct {
	mu     sync.Mutex
	begin  time.Time
	end    time.Time
	total  int
	good   int
	inTime int
	shed   int
	// firstToken holds the times to the first token of the responses completed in time.
	firstToken *latencies
}

func newLevelCounts(begin, end time.Time) *levelCounts {
	return &levelCounts{begin: begin, end: end, firstToken: newLatencies(begin, end)}
}

func (c *levelCounts) result(r result) {
	if r.intended.Before(c.begin) || !r.intended.Before(c.end) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if r.status == fasthttp.StatusTooManyRequests {
		c.shed++
	}
	if r.inTime() {
		c.inTime++
		_ = c.firstToken.firstToken.RecordValue(r.firstToken.Sub(r.intended).Microseconds())
	}
	if r.good() {
		c.good++
	}
}

// levelRun is one level of offered load, through the daemon and directly.
type levelRun struct {
	level           float64
	proxied, direct *levelCounts
}

// goodputRun is one run over all levels.
type goodputRun struct {
	// capacity is in responses per second.
	capacity float64
	levels   []levelRun
}

// goodput offers each level of load to both variants at the same time.
func (s *site) goodput(p Plan, seed uint64) goodputRun {
	_, direct := s.variants(smallFleet)
	run := goodputRun{capacity: measureCapacity(p, direct)}
	for i, level := range levels {
		run.levels = append(run.levels, s.level(p, seed+uint64(i), level, run.capacity))
	}
	return run
}

func (s *site) level(p Plan, seed uint64, level, capacity float64) levelRun {
	proxied, direct := s.variants(smallFleet)
	start := time.Now()
	begin := start.Add(p.Settle)
	end := begin.Add(p.LevelWindow)
	run := levelRun{level: level, proxied: newLevelCounts(begin, end), direct: newLevelCounts(begin, end)}
	l := load{rate: level * capacity, seed: seed, duration: p.Settle + p.LevelWindow,
		requestSpec: requestSpec{tokens: smallTokens, deadline: smallDeadline}}
	var variants sync.WaitGroup
	variants.Go(func() { l.offer(context.Background(), proxied, start, run.proxied.result, ignoreToken) })
	variants.Go(func() { l.offer(context.Background(), direct, start, run.direct.result, ignoreToken) })
	variants.Wait()
	return run
}

// measureCapacity saturates the engines with a direct closed loop and returns their capacity in
// responses per second. It counts tokens instead of responses, because tokens arrive evenly while
// responses end in bursts.
func measureCapacity(p Plan, direct *variant) float64 {
	begin := time.Now().Add(p.CapacityWindow / 2)
	end := begin.Add(p.CapacityWindow)
	var tokens atomic.Int64
	count := func(now, _ time.Time) {
		if !now.Before(begin) && now.Before(end) {
			tokens.Add(1)
		}
	}
	var workers sync.WaitGroup
	for range 2 * smallEngines * smallSlots {
		workers.Go(func() {
			for time.Now().Before(end) {
				direct.run(context.Background(), requestSpec{intended: time.Now(), tokens: smallTokens}, count)
			}
		})
	}
	workers.Wait()
	return float64(tokens.Load()) / smallTokens / p.CapacityWindow.Seconds()
}

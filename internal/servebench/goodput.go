package servebench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// count is what became of the requests due in the measured part of a level.
type count struct {
	mu     sync.Mutex
	begin  time.Time
	end    time.Time
	asked  int
	good   int
	inTime int
	shed   int
	// first are the times to the first token of the answers completed in time.
	first *latencies
}

func newCount(begin, end time.Time) *count {
	return &count{begin: begin, end: end, first: newLatencies(begin, end)}
}

func (c *count) result(r result) {
	if r.intended.Before(c.begin) || !r.intended.Before(c.end) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	if r.status == fasthttp.StatusTooManyRequests {
		c.shed++
	}
	if r.inTime() {
		c.inTime++
		_ = c.first.first.RecordValue(r.first.Sub(r.intended).Microseconds())
	}
	if r.good() {
		c.good++
	}
}

// levelRun is one level of offered load, through the daemon and without it.
type levelRun struct {
	level           float64
	through, direct *count
}

// goodputRun is one run over all levels.
type goodputRun struct {
	// capacity is in answers a second.
	capacity float64
	levels   []levelRun
}

// goodput offers each level of load to both arms at once.
func (s *site) goodput(p Plan, seed uint64) goodputRun {
	_, direct := s.arms(smallFleet)
	run := goodputRun{capacity: measureCapacity(p, direct)}
	for i, level := range levels {
		run.levels = append(run.levels, s.level(p, seed+uint64(i), level, run.capacity))
	}
	return run
}

func (s *site) level(p Plan, seed uint64, level, capacity float64) levelRun {
	through, direct := s.arms(smallFleet)
	start := time.Now()
	begin := start.Add(p.Settle)
	end := begin.Add(p.Level)
	run := levelRun{level: level, through: newCount(begin, end), direct: newCount(begin, end)}
	l := load{rate: level * capacity, seed: seed, length: p.Settle + p.Level,
		wish: wish{tokens: smallTokens, deadline: smallDeadline}}
	var arms sync.WaitGroup
	arms.Go(func() { l.offer(context.Background(), through, start, run.through.result, noToken) })
	arms.Go(func() { l.offer(context.Background(), direct, start, run.direct.result, noToken) })
	arms.Wait()
	return run
}

// measureCapacity keeps the engines full by a closed loop straight to them. It counts
// tokens, which arrive evenly, and not answers, which end in waves.
func measureCapacity(p Plan, direct *arm) float64 {
	begin := time.Now().Add(p.Capacity / 2)
	end := begin.Add(p.Capacity)
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
				direct.run(context.Background(), wish{intended: time.Now(), tokens: smallTokens}, count)
			}
		})
	}
	workers.Wait()
	return float64(tokens.Load()) / smallTokens / p.Capacity.Seconds()
}

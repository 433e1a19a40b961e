package servebench

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxMicroseconds bounds the recorded latencies.
const maxMicroseconds = 60_000_000

// latencies are what the callers of one arm saw within the measured window.
type latencies struct {
	mu         sync.Mutex
	begin, end time.Time
	first      *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	requests   int
	tokens     int
	failed     int
}

func newLatencies(begin, end time.Time) *latencies {
	return &latencies{begin: begin, end: end,
		first: hdrhistogram.New(1, maxMicroseconds, 3), between: hdrhistogram.New(1, maxMicroseconds, 3)}
}

func (l *latencies) within(t time.Time) bool { return !t.Before(l.begin) && t.Before(l.end) }

func (l *latencies) token(now, last time.Time) {
	if !l.within(now) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens++
	if !last.IsZero() {
		_ = l.between.RecordValue(now.Sub(last).Microseconds())
	}
}

// result counts a request that was due within the window. One that the end of the load
// cut off has not failed.
func (l *latencies) result(r result) {
	if !l.within(r.intended) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if r.arrived == 0 {
		if r.ended.Before(l.end) {
			l.failed++
		}
		return
	}
	_ = l.first.RecordValue(r.first.Sub(r.intended).Microseconds())
	if !r.completed && r.ended.Before(l.end) {
		l.failed++
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// steadyRun is one run of the planned load.
type steadyRun struct {
	through, direct *latencies
	openStreams     int
	// cpu is for the whole window.
	cpu      time.Duration
	resident float64
}

// steady offers the planned load to both arms at once.
func (s *site) steady(p Plan, seed uint64) (steadyRun, error) {
	through, direct := s.arms(steadyFleet)
	start := time.Now()
	begin := start.Add(p.Fill)
	end := begin.Add(p.Window)
	run := steadyRun{through: newLatencies(begin, end), direct: newLatencies(begin, end)}
	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	var arms sync.WaitGroup
	offered := load{rate: plannedRate, seed: seed, length: p.Fill + p.Window, wish: wish{tokens: plannedTokens}}
	arms.Go(func() { offered.offer(ctx, through, start, run.through.result, run.through.token) })
	arms.Go(func() { offered.offer(ctx, direct, start, run.direct.result, run.direct.token) })
	err := run.watch(s, through)
	arms.Wait()
	return run, err
}

// watch reads the daemon's use of the machine at the ends of the window.
func (r *steadyRun) watch(s *site, through *arm) error {
	time.Sleep(time.Until(r.through.begin))
	begin := time.Now()
	before, err := s.usage()
	if err != nil {
		return err
	}
	time.Sleep(time.Until(r.through.end) - usageLead)
	r.openStreams = int(through.open.Load())
	elapsed := time.Since(begin)
	after, err := s.usage()
	if err != nil {
		return err
	}
	part := float64(r.through.end.Sub(r.through.begin)) / float64(elapsed)
	r.cpu = time.Duration(float64(after.cpu-before.cpu) * part)
	r.resident = after.resident
	return nil
}

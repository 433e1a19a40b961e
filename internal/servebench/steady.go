package servebench

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxMicroseconds bounds the recorded latencies; longer ones are left out of the histograms.
const maxMicroseconds = 60_000_000

// latencies holds what the callers of one variant measured within the window.
type latencies struct {
	mu            sync.Mutex
	begin, end    time.Time
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	requests      int
	tokens        int
	failed        int
}

func newLatencies(begin, end time.Time) *latencies {
	return &latencies{begin: begin, end: end,
		firstToken: hdrhistogram.New(1, maxMicroseconds, 3), betweenTokens: hdrhistogram.New(1, maxMicroseconds, 3)}
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
		_ = l.betweenTokens.RecordValue(now.Sub(last).Microseconds())
	}
}

// result records a request that was scheduled within the window. A request that is interrupted by
// the end of the load has not failed.
func (l *latencies) result(r result) {
	if !l.within(r.intended) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	if r.receivedTokens == 0 {
		if r.ended.Before(l.end) {
			l.failed++
		}
		return
	}
	_ = l.firstToken.RecordValue(r.firstToken.Sub(r.intended).Microseconds())
	if !r.completed && r.ended.Before(l.end) {
		l.failed++
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// steadyRun is one run of the planned load.
type steadyRun struct {
	proxied, direct *latencies
	openStreams     int
	// cpu is the daemon's processor time, scaled to the whole window.
	cpu      time.Duration
	resident float64
}

// steady offers the planned load to both variants at the same time.
func (s *site) steady(p Plan, seed uint64) (steadyRun, error) {
	proxied, direct := s.variants(steadyFleet)
	start := time.Now()
	begin := start.Add(p.WarmUp)
	end := begin.Add(p.SteadyWindow)
	run := steadyRun{proxied: newLatencies(begin, end), direct: newLatencies(begin, end)}
	ctx, stop := context.WithDeadline(context.Background(), end)
	defer stop()
	var variants sync.WaitGroup
	l := load{rate: plannedRequestsPerSecond, seed: seed, duration: p.WarmUp + p.SteadyWindow, requestSpec: requestSpec{tokens: plannedTokens}}
	variants.Go(func() { l.offer(ctx, proxied, start, run.proxied.result, run.proxied.token) })
	variants.Go(func() { l.offer(ctx, direct, start, run.direct.result, run.direct.token) })
	err := run.recordUsage(s, proxied)
	variants.Wait()
	return run, err
}

// recordUsage records the daemon's resource usage in the window. It reads the second value
// usageReadLead before the end, while the streams are still open, and scales the processor time up to
// the whole window.
func (r *steadyRun) recordUsage(s *site, proxied *variant) error {
	time.Sleep(time.Until(r.proxied.begin))
	begin := time.Now()
	before, err := s.usage()
	if err != nil {
		return err
	}
	time.Sleep(time.Until(r.proxied.end) - usageReadLead)
	r.openStreams = int(proxied.openRequests.Load())
	elapsed := time.Since(begin)
	after, err := s.usage()
	if err != nil {
		return err
	}
	scale := float64(r.proxied.end.Sub(r.proxied.begin)) / float64(elapsed)
	r.cpu = time.Duration(float64(after.cpu-before.cpu) * scale)
	r.resident = after.resident
	return nil
}

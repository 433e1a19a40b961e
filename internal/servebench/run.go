package servebench

import (
	"os"
	"runtime"
	"strings"
	"time"
)

// Run holds the measurements of one run.
type Run struct {
	steady  steadyRun
	cost    costRun
	goodput goodputRun
}

// Results holds the measurements of all runs.
type Results struct {
	plan Plan
	runs []Run
	// loadAverages holds the load average of the machine before each run and after the last one.
	loadAverages []string
	elapsed      time.Duration
}

// Measure starts a site and runs the measurements of the plan on it.
func Measure(p Plan) (*Results, error) {
	start := time.Now()
	dir, err := os.MkdirTemp("", "rattanchute-servebench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s, err := startSite(dir)
	if err != nil {
		return nil, err
	}
	defer s.close()
	results := &Results{plan: p}
	for i := range p.Runs {
		results.loadAverages = append(results.loadAverages, loadAverage())
		run, err := s.measure(p, p.Seed+uint64(i)*100)
		if err != nil {
			return nil, err
		}
		results.runs = append(results.runs, run)
	}
	results.loadAverages = append(results.loadAverages, loadAverage())
	results.elapsed = time.Since(start)
	return results, nil
}

func (s *site) measure(p Plan, seed uint64) (Run, error) {
	var run Run
	var err error
	if run.cost, err = s.cost(p, seed); err != nil {
		return run, err
	}
	if run.steady, err = s.steady(p, seed); err != nil {
		return run, err
	}
	// Garbage collection in this process must not disturb the next measurement.
	runtime.GC()
	run.goodput = s.goodput(p, seed)
	return run, nil
}

// loadAverage returns the load average of the machine over the last minute, or "not known".
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) == 0 {
		return "not known"
	}
	return fields[0]
}

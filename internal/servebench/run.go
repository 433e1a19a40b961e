package servebench

import (
	"os"
	"runtime"
	"strings"
	"time"
)

// Run is all that one run measured.
type Run struct {
	steady  steadyRun
	cost    costRun
	goodput goodputRun
}

// Results is all that was measured.
type Results struct {
	plan Plan
	runs []Run
	// loads is the machine's load average before each run and after the last.
	loads []string
	took  time.Duration
}

// Measure starts a site and measures it as often as the plan says.
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
		results.loads = append(results.loads, loadAverage())
		run, err := s.measure(p, p.Seed+uint64(i)*100)
		if err != nil {
			return nil, err
		}
		results.runs = append(results.runs, run)
	}
	results.loads = append(results.loads, loadAverage())
	results.took = time.Since(start)
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
	// The collector of this process is not to run over the next measurement.
	runtime.GC()
	run.goodput = s.goodput(p, seed)
	return run, nil
}

// loadAverage is the machine's load over the last minute.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(text))
	if err != nil || len(fields) == 0 {
		return "not known"
	}
	return fields[0]
}

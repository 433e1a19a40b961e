package capacitybench

import (
	"time"

	"rattanchute/internal/gossip"
)

// Windows are the durations of the measurements.
type Windows struct {
	// Loopback is the real time of each run over HTTP.
	Loopback time.Duration
	// Virtual is the virtual time of each run with many nodes.
	Virtual time.Duration
}

// DefaultWindows are suitable for a run of a few minutes.
var DefaultWindows = Windows{Loopback: 10 * time.Second, Virtual: 5 * time.Minute}

// Run runs all measurements.
func Run(windows Windows) (Results, error) {
	var r Results
	texts := [][]byte{configurationText(planHosts, 0), configurationText(planHosts, 1)}
	r.textBytes, r.compressedBytes = len(texts[0]), len(gossip.Compress(texts[0]))
	var err error
	if r.request, err = measureRequest(); err != nil {
		return r, err
	}
	if r.poll, err = measurePoll(); err != nil {
		return r, err
	}
	if r.loopback, err = measureLoopback(windows.Loopback); err != nil {
		return r, err
	}
	for _, nodes := range virtualNodeCounts {
		r.steadyState = append(r.steadyState, measureSteady(nodes, windows.Virtual, texts))
	}
	r.memoryByHosts = measureMemory()
	r.applyTimes = measureApplyTimes(planNodes)
	r.leavingTimes = measureLeavingTimes(planNodes)
	return r, nil
}

package capacitybench

import (
	"time"

	"rattanchute/internal/gossip"
)

// Windows are how long the runs measure.
type Windows struct {
	// Loopback is real time for each run over HTTP.
	Loopback time.Duration
	// Virtual is virtual time for each run of many nodes.
	Virtual time.Duration
}

// DefaultWindows suit a run of a few minutes.
var DefaultWindows = Windows{Loopback: 10 * time.Second, Virtual: 5 * time.Minute}

// Run measures everything.
func Run(windows Windows) (Results, error) {
	var r Results
	texts := [][]byte{configurationText(planHosts, 0), configurationText(planHosts, 1)}
	r.text, r.packed = len(texts[0]), len(gossip.Compress(texts[0]))
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
	for _, nodes := range virtualCounts {
		r.steady = append(r.steady, measureSteady(nodes, windows.Virtual, texts))
	}
	r.memoryByHosts = measureMemory()
	r.force = measureForce(planNodes)
	r.leaving = measureLeaving(planNodes)
	return r, nil
}

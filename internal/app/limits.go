package app

import (
	"fmt"
	"math"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"golang.org/x/sys/unix"

	"rattanchute/internal/settings"
)

const (
	// callerFraction of the file descriptors may be connections of callers, and peerFraction connections of peers. The
	// others are for engines, services, the platform and files.
	callerFraction = 0.4
	peerFraction   = 0.1
	// leastDescriptors is how many connections a listener takes at least.
	leastDescriptors = 16

	// memoryLimitFraction of the process's memory is the limit given to the Go runtime, which collects garbage earlier as
	// it comes near. The rest is for memory that the runtime does not count.
	memoryLimitFraction = 0.7
)

// limitMemory tells the Go runtime how much memory the process may take. An environment variable GOMEMLIMIT goes before it.
func (a *App) limitMemory() error {
	bytes, err := memlimit.Set(memlimit.WithRatio(memoryLimitFraction), memlimit.WithProvider(memoryOf(a.settings.Limits)))
	if err != nil {
		return fmt.Errorf("limiting memory: %w", err)
	}
	a.log.Info().Int64("runtime_bytes", bytes).Int64("body_bytes", a.settings.Limits.BodyMemory()).Msg("memory limits")
	return nil
}

// memoryOf returns where the memory of the process is known from.
func memoryOf(l settings.Limits) memlimit.Provider {
	if l.MemoryBytes > 0 {
		return memlimit.Limit(uint64(l.MemoryBytes))
	}
	return memlimit.ApplyFallback(memlimit.FromCgroup, memlimit.FromSystem)
}

// descriptorsFor returns a fraction of the file descriptors that the process may open.
func descriptorsFor(fraction float64) int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxInt32
	}
	return max(leastDescriptors, int(min(fraction*float64(limit.Cur), math.MaxInt32)))
}

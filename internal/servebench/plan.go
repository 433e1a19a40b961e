package servebench

import "time"

// Plan sets the number of runs, the duration of each measurement and the seed of the first run.
type Plan struct {
	Runs int
	// WarmUp is the time until as many streams are open as the planned load keeps open.
	WarmUp time.Duration
	// SteadyWindow is the measured time of the steady load.
	SteadyWindow time.Duration
	// OneTokenWindow is the measured time of the load with responses of one token.
	OneTokenWindow time.Duration
	// IdleWindow is the measured time without load.
	IdleWindow time.Duration
	// CapacityWindow is the time over which the capacity of the engines is measured.
	CapacityWindow time.Duration
	// Settle and LevelWindow are the unmeasured and the measured time of each level of offered
	// load.
	Settle      time.Duration
	LevelWindow time.Duration
	Seed        uint64
}

// DefaultPlan takes less than four minutes.
var DefaultPlan = Plan{
	Runs:           3,
	WarmUp:         12 * time.Second,
	SteadyWindow:   10 * time.Second,
	OneTokenWindow: 3 * time.Second,
	IdleWindow:     1500 * time.Millisecond,
	CapacityWindow: 2 * time.Second,
	Settle:         2 * time.Second,
	LevelWindow:    5 * time.Second,
	Seed:           1,
}

// The planned load of one entry host: 62 requests per second with responses of 253 tokens, 46 ms
// apart, which keep 722 streams open.
const (
	plannedRequestsPerSecond = 62.0
	plannedStreams           = 722
	plannedTokens            = 253
	plannedTokenInterval     = 46 * time.Millisecond
)

// oneTokenRequestsPerSecond is the rate of the requests with responses of one token.
const oneTokenRequestsPerSecond = 200.0

// The engines of the steady load have so many slots that they never queue.
const (
	steadyEngines = 4
	steadySlots   = 512
)

// The engines whose capacity is exceeded, and their requests.
const (
	smallEngines                = 4
	smallSlots                  = 8
	smallTokenInterval          = 10 * time.Millisecond
	smallTokens                 = 40
	smallPrefillTokensPerSecond = 1000.0
	smallDeadline               = 2 * time.Second
)

// promptWords is the length of a prompt in words.
const promptWords = 50

// streamRetention is how long an engine keeps a stream after its reader has disconnected.
const streamRetention = 100 * time.Millisecond

// levels are the offered loads, relative to the capacity of the engines.
var levels = []float64{0.5, 1, 2, 4}

// The targets that the results are compared with.
const (
	firstTokenTarget   = 470 * time.Millisecond
	addedLatencyTarget = time.Millisecond
	goodputTarget      = 0.95
	goodputTargetLevel = 2.0
)

package servebench

import "time"

// Plan is how long and how often is measured.
type Plan struct {
	Runs int
	// Fill is the time until as many streams are open as the planned load keeps open.
	Fill time.Duration
	// Window is the measured time of the steady load.
	Window time.Duration
	// Short is the measured time of answers of one token.
	Short time.Duration
	// Idle is the measured time without load.
	Idle time.Duration
	// Capacity is the measured time of the engines' capacity.
	Capacity time.Duration
	// Settle and Level are the time before and in the measured part of each level of
	// offered load.
	Settle time.Duration
	Level  time.Duration
	Seed   uint64
}

// DefaultPlan takes less than four minutes.
var DefaultPlan = Plan{
	Runs:     3,
	Fill:     12 * time.Second,
	Window:   10 * time.Second,
	Short:    3 * time.Second,
	Idle:     1500 * time.Millisecond,
	Capacity: 2 * time.Second,
	Settle:   2 * time.Second,
	Level:    5 * time.Second,
	Seed:     1,
}

// The planned load of one entry host: 62 requests a second whose answers of 253 tokens,
// 46 ms apart, keep 722 streams open.
const (
	plannedRate    = 62.0
	plannedStreams = 722
	plannedTokens  = 253
	plannedToken   = 46 * time.Millisecond
)

// shortRate is the rate of the answers of one token.
const shortRate = 200.0

// The engines of the steady load never queue.
const (
	steadyEngines = 4
	steadySlots   = 512
)

// The engines whose capacity is exceeded, and their requests.
const (
	smallEngines     = 4
	smallSlots       = 8
	smallToken       = 10 * time.Millisecond
	smallTokens      = 40
	smallPrefillRate = 1000.0
	smallDeadline    = 2 * time.Second
)

// promptWords is the length of a prompt.
const promptWords = 50

// keepTime is how long an engine keeps a stream that its reader has left.
const keepTime = 100 * time.Millisecond

// levels are the offered loads, in capacities of the engines.
var levels = []float64{0.5, 1, 2, 4}

// The stated targets.
const (
	firstTokenTarget = 470 * time.Millisecond
	addedTarget      = time.Millisecond
	goodputTarget    = 0.95
	goodputLevel     = 2.0
)

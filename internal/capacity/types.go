package capacity

import (
	"time"

	"rattanchute/internal/fleet"
)

// Phase is how far a host is in its life.
type Phase string

// The phases in order. A leaving host ends in PhaseStopped and can be started again.
const (
	PhaseStopped Phase = "stopped"
	PhaseBooting Phase = "booting"
	// PhaseWaiting: booted, with weights still to load and no load going on.
	PhaseWaiting Phase = "waiting"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	PhaseLeaving Phase = "leaving"
)

// Host is a declared host with what the platform, the cloud and its endpoint show.
type Host struct {
	Name       string
	DataCentre string
	Class      string
	Kind       fleet.HostKind
	// PricePerHour is in thousandths of the site's currency unit.
	PricePerHour int64
	Fleet        string
	Endpoint     string
	Phase        Phase
	// Since is when the host entered its phase.
	Since time.Time
	// Deadline is when the cloud takes the host away; zero if it did not announce that.
	Deadline time.Time
	// MissingModels are the models that its endpoint has still to load.
	MissingModels []string
	// Idle: the endpoint's report of ReportedAt shows no request running or queued.
	Idle       bool
	ReportedAt time.Time
}

// Placement is what a refused start is remembered by.
type Placement struct {
	DataCentre string         `json:"data_centre"`
	Class      string         `json:"class"`
	Kind       fleet.HostKind `json:"kind"`
}

// Placement returns where the host is placed.
func (h *Host) Placement() Placement {
	return Placement{h.DataCentre, h.Class, h.Kind}
}

// committed reports whether the host is running or on its way, and stays.
func (h *Host) committed() bool {
	return h.Phase != PhaseStopped && h.Phase != PhaseLeaving
}

// Demand is what callers lately asked of a fleet.
type Demand struct {
	Fleet             string
	RequestsPerSecond float64
	// Growth is the change of the request rate, in requests a second each second.
	Growth float64
	// PromptTokens is the mean of the prompt tokens computed for a request.
	PromptTokens float64
	// PromptVariation is the squared coefficient of variation of PromptTokens.
	PromptVariation float64
	OutputTokens    float64
}

// Class is the measured speed of a machine class.
type Class struct {
	Name                   string
	Slots                  int
	PrefillTokensPerSecond float64
	// TokenInterval is the time between two tokens of a stream that runs alone.
	TokenInterval time.Duration
	// TokenIntervalPerStream is added for each stream in the batch.
	TokenIntervalPerStream time.Duration
}

// Target is the latency that 95 of 100 requests must meet.
type Target struct {
	FirstToken    time.Duration
	TokenInterval time.Duration
}

// Tolerance is the loss after which the survivors must still carry the demand.
type Tolerance string

// The tolerances.
const (
	ToleranceNone Tolerance = "none"
	// ToleranceReclaim: all reclaimable hosts of any one data centre go at once.
	ToleranceReclaim Tolerance = "reclaim"
	// ToleranceDataCentre: any one data centre goes as a whole, on-demand hosts too.
	ToleranceDataCentre Tolerance = "data-centre"
)

// Settings are the knobs of the planner.
type Settings struct {
	Target    Target
	Tolerance Tolerance
	// ShedShare is the part of the demand that may be shed by priority after the loss.
	ShedShare float64
	// MinimumRate is served also when nothing is asked for, in requests a second.
	MinimumRate float64
	BootTime    time.Duration
	// LoadTime is the time in which one host loads its weights at the store's pace.
	LoadTime time.Duration
	// ParallelLoads is how many hosts may load weights at once.
	ParallelLoads int
	// ScaleInDelay is how long a host must be unneeded before it is drained.
	ScaleInDelay time.Duration
	// MinReplacementSaving is the share of the cost that other hosts must save to be preferred to
	// those that run.
	MinReplacementSaving float64
	// DrainPropagationTime is how long a leaving host may still be given work by a node that has
	// not yet heard.
	DrainPropagationTime time.Duration
	// BackoffBase and BackoffMax bound the wait after a refused start.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultSettings returns the settings for the hosts and engines of today.
func DefaultSettings() Settings {
	return Settings{
		Target:               Target{FirstToken: 470 * time.Millisecond, TokenInterval: 46 * time.Millisecond},
		Tolerance:            ToleranceDataCentre,
		MinimumRate:          0.01,
		BootTime:             60 * time.Second,
		LoadTime:             90 * time.Second,
		ParallelLoads:        3,
		ScaleInDelay:         10 * time.Minute,
		MinReplacementSaving: 0.1,
		DrainPropagationTime: 4 * time.Second,
		BackoffBase:          time.Minute,
		BackoffMax:           30 * time.Minute,
	}
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Now      time.Time
	Hosts    []Host
	Demands  []Demand
	Classes  []Class
	Settings Settings
	State    State
}

// ActionKind is what is to be done.
type ActionKind string

// The actions. Each states a desired state, so that a repeated one changes nothing.
const (
	ActionStart ActionKind = "start"
	ActionLoad  ActionKind = "load"
	// ActionDrain makes the host leaving: it gets no new work.
	ActionDrain ActionKind = "drain"
	ActionStop  ActionKind = "stop"
)

// Action is one step of a plan.
type Action struct {
	Kind     ActionKind
	Host     string
	Endpoint string
	Model    string
}

// Result is a plan.
type Result struct {
	Actions []Action
	// State replaces the snapshot's.
	State State
	// Shortfalls names the fleets that the catalogue cannot serve with the tolerance.
	Shortfalls []Shortfall
}

// Shortfall is what is lacking even when the planned hosts are ready.
type Shortfall struct {
	Fleet string
	// RequestsPerSecond lack in full, plus those that lack after the worst loss.
	RequestsPerSecond float64
}

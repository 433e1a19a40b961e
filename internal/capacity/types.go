package capacity

import (
	"time"

	"rattanchute/internal/fleet"
)

// Phase is the stage of a host's life cycle.
type Phase string

// The phases in order. A leaving host ends in PhaseStopped and can be started again.
const (
	PhaseStopped Phase = "stopped"
	PhaseBooting Phase = "booting"
	// PhaseWaiting is a booted host that still has weights to load and is not loading any.
	PhaseWaiting Phase = "waiting"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	PhaseLeaving Phase = "leaving"
)

// Host is a declared host with its state as seen from the platform, the cloud and its endpoint.
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
	// Deadline is when the cloud reclaims the host; zero if that was not announced.
	Deadline time.Time
	// MissingModels are the models that the endpoint still has to load.
	MissingModels []string
	// Idle means that the endpoint's report of ReportedAt shows no request running or queued.
	Idle       bool
	ReportedAt time.Time
}

// Placement is the combination of data centre, machine class and host kind for which refused
// starts are recorded.
type Placement struct {
	DataCentre string         `json:"data_centre"`
	Class      string         `json:"class"`
	Kind       fleet.HostKind `json:"kind"`
}

// Placement returns the placement of the host.
func (h *Host) Placement() Placement {
	return Placement{h.DataCentre, h.Class, h.Kind}
}

// committed reports whether the host is running or starting and is not leaving.
func (h *Host) committed() bool {
	return h.Phase != PhaseStopped && h.Phase != PhaseLeaving
}

// Demand is the recent demand on a fleet.
type Demand struct {
	Fleet             string
	RequestsPerSecond float64
	// Growth is the change of the request rate, in requests per second per second.
	Growth float64
	// PromptTokens is the mean number of prompt tokens computed for a request.
	PromptTokens float64
	// PromptVariation is the squared coefficient of variation of PromptTokens.
	PromptVariation float64
	OutputTokens    float64
}

// Class is the speed of a machine class.
type Class struct {
	Name                   string
	Slots                  int
	PrefillTokensPerSecond float64
	// TokenInterval is the part of the time between two tokens of a stream that does not depend
	// on the size of the batch.
	TokenInterval time.Duration
	// TokenIntervalPerStream is added for each stream in the batch.
	TokenIntervalPerStream time.Duration
}

// Target is the latency to meet: at least 95 % of the requests must get their first token within
// FirstToken, and batches must be small enough that TokenInterval holds for every stream.
type Target struct {
	FirstToken    time.Duration
	TokenInterval time.Duration
}

// Tolerance is the loss after which the remaining hosts must still carry the demand, less ShedShare.
type Tolerance string

// The tolerances.
const (
	ToleranceNone Tolerance = "none"
	// ToleranceReclaim is the simultaneous loss of all reclaimable hosts of any one data
	// centre.
	ToleranceReclaim Tolerance = "reclaim"
	// ToleranceDataCentre is the loss of any one data centre, including its on-demand hosts.
	ToleranceDataCentre Tolerance = "data-centre"
)

// Settings are the parameters of the planner.
type Settings struct {
	Target    Target
	Tolerance Tolerance
	// ShedShare is the share of the demand that may be shed by priority after the loss.
	ShedShare float64
	// MinimumRate is the capacity of each fleet kept even without demand, in requests per second.
	MinimumRate float64
	BootTime    time.Duration
	// LoadTime is the time in which one host loads its weights at the full rate of the weight
	// store.
	LoadTime time.Duration
	// ParallelLoads is the number of hosts that may load weights at once; zero means no limit.
	ParallelLoads int
	// ScaleInDelay is how long a host must have been unneeded before it is drained.
	ScaleInDelay time.Duration
	// MinReplacementSaving is the share of the cost that a different set of hosts must save to
	// replace the running one.
	MinReplacementSaving float64
	// DrainPropagationTime is how long a node that does not know yet that a host is leaving may
	// still send work to it.
	DrainPropagationTime time.Duration
	// BackoffBase is the backoff after the first refused start, and BackoffMax the longest one;
	// jitter shortens both by up to half.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

// DefaultSettings returns the settings for the current hosts and engines.
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

// Snapshot is everything that a plan depends on.
type Snapshot struct {
	Now      time.Time
	Hosts    []Host
	Demands  []Demand
	Classes  []Class
	Settings Settings
	State    State
}

// ActionKind is the kind of an action.
type ActionKind string

// The actions are idempotent: each names a desired state.
const (
	ActionStart ActionKind = "start"
	ActionLoad  ActionKind = "load"
	// ActionDrain makes the host leaving, so that it gets no new work.
	ActionDrain ActionKind = "drain"
	ActionStop  ActionKind = "stop"
)

// Action is one step of a plan. Endpoint and Model are set only for ActionLoad.
type Action struct {
	Kind     ActionKind
	Host     string
	Endpoint string
	Model    string
}

// Result is a plan.
type Result struct {
	Actions []Action
	// State replaces the state of the snapshot.
	State State
	// Shortfalls lists the fleets whose need cannot be met at the required tolerance with the
	// hosts that run, are starting or may be started now.
	Shortfalls []Shortfall
}

// Shortfall is the rate that a fleet lacks even when all planned hosts are ready.
type Shortfall struct {
	Fleet string
	// RequestsPerSecond is the rate missing in the steady state plus the rate missing after the
	// worst loss.
	RequestsPerSecond float64
}

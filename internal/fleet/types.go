package fleet

import "time"

// Labels are the key and value pairs that selectors match on.
type Labels map[string]string

// Generation numbers accepted configurations; each accepted one is one higher than
// the one it replaces. Zero means that none has been accepted yet.
type Generation uint64

// Configuration is everything an operator declares, in force as a whole.
type Configuration struct {
	// Generation is set when the configuration is accepted; it is not part of the text.
	Generation    Generation     `json:"-"`
	DataCentres   []DataCentre   `json:"data_centres"`
	Hosts         []Host         `json:"hosts"`
	Organisations []Organisation `json:"organisations"`
	Fleets        []Fleet        `json:"fleets"`
	Endpoints     []Endpoint     `json:"endpoints"`
	Selectors     []Selector     `json:"selectors"`
	// Routes map callers' hosts and paths to fleets; only a platform adapter sets them.
	Routes []Route `json:"-"`
	// CallerLimits bound what callers may send; only a platform adapter sets them.
	CallerLimits CallerLimits `json:"-"`
}

// DataCentre is a zone: hosts in it can be reclaimed or lost together.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// HostKind tells whether the cloud may take a host back.
type HostKind string

// The kinds of host.
const (
	HostReclaimable HostKind = "reclaimable"
	HostOnDemand    HostKind = "on-demand"
)

// Host is one machine that runs endpoints.
type Host struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"data_centre"`
	Class      string   `json:"class"`
	Kind       HostKind `json:"kind"`
	// PricePerHour is in thousandths of the site's currency unit.
	PricePerHour int64  `json:"price_per_hour_milli"`
	Labels       Labels `json:"labels"`
}

// Organisation is a customer: the unit of authentication, limits and priority.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are lower-case hex SHA-256 digests of the keys that callers present.
	KeyHashes []string `json:"key_sha256"`
	Labels    Labels   `json:"labels"`
	// RequestsPerSecond limits the organisation over all entry hosts; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the number of requests allowed at once over all entry hosts.
	Burst int `json:"burst"`
	// Weight is the organisation's share of a fleet under overload; zero counts as one.
	Weight float64 `json:"weight"`
	// Quota limits the organisation in tokens; only a platform adapter sets it.
	Quota TokenQuota `json:"-"`
	// Priority, if set, replaces that of the routes; 0 is served first.
	Priority *int `json:"-"`
}

// FleetKind tells what protocol the endpoints of a fleet speak.
type FleetKind string

// The kinds of fleet.
const (
	FleetModel   FleetKind = "model"
	FleetService FleetKind = "service"
)

// Fleet is a group of endpoints that serve the same models or the same service.
type Fleet struct {
	Name string    `json:"name"`
	Kind FleetKind `json:"kind"`
	// Models lists the model names that callers may ask a model fleet for.
	Models []string `json:"models"`
	// PathPrefix is the callers' path that a service fleet answers, such as "/renew/".
	PathPrefix string `json:"path_prefix"`
	// Calls declares which calls of a service may be repeated.
	Calls []Call `json:"calls"`
	// SlotsPerEndpoint is the number of requests an endpoint runs at once.
	SlotsPerEndpoint int `json:"slots_per_endpoint"`
	// MaxConnections is what one endpoint accepts from all callers; zero is unknown.
	MaxConnections int `json:"-"`
	// Engine describes the model engines of the fleet; nil for a plain service.
	Engine *Engine `json:"-"`
	// Scaling tells how many endpoints may be ordered; nil if none may.
	Scaling *Scaling `json:"-"`
}

// Call declares one method and path of a service. Path is relative to nothing: it is
// the full callers' path; a trailing "*" matches any suffix.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"repeatable"`
}

// Endpoint is one process on a host that answers requests of a fleet.
type Endpoint struct {
	Name  string `json:"name"`
	Host  string `json:"host"`
	Fleet string `json:"fleet"`
	// Address is "ip:port" of the endpoint's HTTP listener.
	Address string `json:"address"`
	Labels  Labels `json:"labels"`
	// ChecksFencing says that the endpoint refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
}

// Operator is how a requirement compares a label.
type Operator string

// The operators of a requirement.
const (
	OpIn     Operator = "in"
	OpNotIn  Operator = "not-in"
	OpExists Operator = "exists"
	OpAbsent Operator = "absent"
)

// Requirement is one condition on one label; a label selector is the conjunction of
// its requirements, and an empty one matches everything.
type Requirement struct {
	Label  string   `json:"label"`
	Op     Operator `json:"op"`
	Values []string `json:"values"`
}

// Selector allows requests of the matching organisations to reach the matching
// endpoints, in the listed data centres, with the given priority.
type Selector struct {
	Name          string        `json:"name"`
	Organisations []Requirement `json:"organisations"`
	// Endpoints are matched on the endpoint's labels and, where the endpoint has no
	// such label, on its host's.
	Endpoints []Requirement `json:"endpoints"`
	// Hosts are matched on the host's labels.
	Hosts []Requirement `json:"hosts"`
	// DataCentres lists the allowed ones; empty allows all.
	DataCentres []string `json:"data_centres"`
	// Priority is 0 (first to be shed) to 9.
	Priority int `json:"priority"`
}

// Phase is where a host is in its life. Phases only move forward.
type Phase int

// The phases in order.
const (
	PhaseLive Phase = iota
	PhaseLeaving
	PhaseGone
)

// HostState is what is known of one run of a host. States of the same host and
// instance merge by taking the later phase, so that a notice is final whatever a
// lagging list still says.
type HostState struct {
	Host string `json:"host"`
	// Instance tells apart two machines that carry the same name one after the other.
	Instance string `json:"instance"`
	Phase    Phase  `json:"phase"`
	// Deadline is when the host is taken away; zero when not announced.
	Deadline time.Time `json:"deadline"`
}

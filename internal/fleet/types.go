package fleet

import "time"

// Labels are key-value pairs that selectors match.
type Labels map[string]string

// Generation numbers the accepted configurations: a later one has a larger number. Zero means that
// none has been accepted yet.
type Generation uint64

// Configuration is everything that an operator declares. It is always activated as a whole.
type Configuration struct {
	// Generation is set when the configuration is accepted, or by a platform adapter; it is not part
	// of the text.
	Generation    Generation     `json:"-"`
	DataCentres   []DataCentre   `json:"data_centres"`
	Hosts         []Host         `json:"hosts"`
	Organisations []Organisation `json:"organisations"`
	Fleets        []Fleet        `json:"fleets"`
	Endpoints     []Endpoint     `json:"endpoints"`
	Selectors     []Selector     `json:"selectors"`
	// Routes map the HTTP host names and paths of requests to fleets; only a platform adapter sets
	// them.
	Routes []Route `json:"-"`
	// CallerLimits limit what callers may send; only a platform adapter sets them.
	CallerLimits CallerLimits `json:"-"`
}

// DataCentre is a failure domain: its hosts can be reclaimed or lost together.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// HostKind states whether the cloud provider may reclaim a host.
type HostKind string

// The kinds of host.
const (
	HostReclaimable HostKind = "reclaimable"
	HostOnDemand    HostKind = "on-demand"
)

// Host is a machine that runs endpoints.
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
	// KeyHashes are the SHA-256 digests, in lower-case hex, of the API keys that callers
	// present.
	KeyHashes []string `json:"key_sha256"`
	Labels    Labels   `json:"labels"`
	// RequestsPerSecond limits the organisation's request rate over all entry hosts; zero means
	// no limit.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the number of requests allowed at once over all entry hosts.
	Burst int `json:"burst"`
	// Weight is the organisation's share of a fleet under overload, relative to the other
	// organisations' weights; zero counts as one.
	Weight float64 `json:"weight"`
	// Quota limits the organisation's tokens; only a platform adapter sets it.
	Quota TokenQuota `json:"-"`
	// Priority, if set, overrides the priority of the routes; 0 is served first.
	Priority *int `json:"-"`
}

// FleetKind is the protocol that the endpoints of a fleet speak.
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
	// Models lists the model names that callers may request from a model fleet.
	Models []string `json:"models"`
	// PathPrefix is the prefix of the request paths that a service fleet answers, such as
	// "/renew/".
	PathPrefix string `json:"path_prefix"`
	// Calls declares which calls of a service are idempotent.
	Calls []Call `json:"calls"`
	// SlotsPerEndpoint is the number of requests that an endpoint runs concurrently.
	SlotsPerEndpoint int `json:"slots_per_endpoint"`
	// MaxConnections is the number of connections that one endpoint accepts from all callers
	// together; zero if unknown.
	MaxConnections int `json:"-"`
	// HealthPath is the path at which an endpoint answers health checks; empty if unknown.
	HealthPath string `json:"-"`
	// Engine describes the fleet's model engines; nil for a plain service.
	Engine *Engine `json:"-"`
	// Scaling limits how many endpoints may be ordered; nil if none may.
	Scaling *Scaling `json:"-"`
}

// Call declares a method and a path of a service. Path is the full request path; a trailing "*"
// matches any suffix.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"repeatable"`
}

// Endpoint is a process on a host that answers requests for a fleet.
type Endpoint struct {
	Name  string `json:"name"`
	Host  string `json:"host"`
	Fleet string `json:"fleet"`
	// Address is "ip:port" of the endpoint's HTTP listener.
	Address string `json:"address"`
	Labels  Labels `json:"labels"`
	// Version is that of the endpoint's software. A stream does not continue at another one; endpoints
	// without a declared version have the same.
	Version string `json:"version"`
	// ChecksFencing states that the endpoint rejects control orders, such as to load a model, with
	// an outdated fencing token.
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

// Requirement is a condition on one label. A list of requirements matches if all of them do; without
// any, everything matches.
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
	// Endpoints are matched against the endpoint's labels and, for labels that the endpoint
	// does not have, against its host's.
	Endpoints []Requirement `json:"endpoints"`
	// Hosts are matched against the host's labels.
	Hosts []Requirement `json:"hosts"`
	// DataCentres lists the allowed data centres; nil allows all. An empty list is not accepted.
	DataCentres []string `json:"data_centres"`
	// Priority ranges from 0 (shed first) to 9.
	Priority int `json:"priority"`
}

// Phase is the phase of a host's life cycle. Phases only move forward.
type Phase int

// The phases in order.
const (
	PhaseLive Phase = iota
	PhaseLeaving
	PhaseGone
)

// HostState is the state of one run of a host. States of the same host and instance are merged
// by taking the later phase, so that a reclaim notice is final even if a stale list says
// otherwise.
type HostState struct {
	Host string `json:"host"`
	// Instance distinguishes machines that use the same host name one after the other.
	Instance string `json:"instance"`
	Phase    Phase  `json:"phase"`
	// Deadline is when the host will be reclaimed; zero if not announced.
	Deadline time.Time `json:"deadline"`
}

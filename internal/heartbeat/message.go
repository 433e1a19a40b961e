package heartbeat

import (
	"rattanchute/internal/balancer"
	"rattanchute/internal/quota"
	"rattanchute/internal/registry"
	"rattanchute/internal/usage"
)

// Peer is one run of an entry host.
type Peer struct {
	Name string `json:"name"`
	// Incarnation rises with each start of the host, in Unix milliseconds.
	Incarnation int64 `json:"incarnation"`
	// Address is "ip:port" for reports.
	Address string `json:"address"`
	// DataCentre is where the host runs.
	DataCentre string `json:"data_centre,omitempty"`
	// MemoryBytes is the host's size: large hosts lead.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
}

// Source is the host's run as the one that counts usage.
func (p *Peer) Source() usage.Source { return usage.Source{Name: p.Name, Incarnation: p.Incarnation} }

// before orders the hosts of a data centre: large ones lead, and of equal ones the oldest,
// so that a host that joins changes nothing.
func (p *Peer) before(other *Peer) bool {
	if p.MemoryBytes != other.MemoryBytes {
		return p.MemoryBytes > other.MemoryBytes
	}
	if p.Incarnation != other.Incarnation {
		return p.Incarnation < other.Incarnation
	}
	return p.Name < other.Name
}

// Datagram is one message: a report or a digest.
type Datagram struct {
	Report *Report `json:"report,omitempty"`
	Digest *Digest `json:"digest,omitempty"`
}

// Report is what a host says of itself and of those that follow it.
type Report struct {
	Peer
	// Number rises with each report of a run.
	Number uint64 `json:"number"`
	// Leader is the host that the sender follows; its own name if none.
	Leader string `json:"lead,omitempty"`
	// IntervalMillis is the time until the sender's next report.
	IntervalMillis int64 `json:"interval_ms,omitempty"`
	// WallMillis is the sender's date in Unix milliseconds.
	WallMillis int64 `json:"wall_ms"`
	// Leaving hosts have ended their last request and send no more.
	Leaving bool `json:"leaving,omitempty"`
	// HoldsLease tells that one of the group holds the duties' lease.
	HoldsLease bool `json:"holds_lease,omitempty"`
	// LeaseVersion is the stored version of the lease that the sender holds; zero if none.
	LeaseVersion uint64 `json:"lease_version,omitempty"`
	// Members names the group: the sender and its followers.
	Members []string `json:"members,omitempty"`
	// Left names those that have lately left in order.
	Left []string `json:"gone,omitempty"`
	// ConfigurationVersion and EndpointsVersion are store versions: of the configuration in
	// force and of the newest change of endpoints.
	ConfigurationVersion uint64 `json:"configuration_version,omitempty"`
	EndpointsVersion     uint64 `json:"endpoints_version,omitempty"`

	Quota    quota.SpendingReport   `json:"quota"`
	Usage    []HostUsage            `json:"usage,omitempty"`
	Loads    []balancer.Load        `json:"loads,omitempty"`
	Prefills []balancer.Prefill     `json:"reads,omitempty"`
	Demand   map[string]FleetDemand `json:"demand,omitempty"`
}

// HostUsage is what one run of a host counted.
type HostUsage struct {
	usage.Source
	Windows map[int64]usage.Counts `json:"windows"`
}

// Digest is what a lead tells its followers of all hosts.
type Digest struct {
	Peer
	// Number rises with each digest of a run.
	Number         uint64 `json:"number"`
	IntervalMillis int64  `json:"interval_ms,omitempty"`
	// TrueMillis is the sender's estimate of true time, in Unix milliseconds.
	TrueMillis int64 `json:"true_ms"`
	// Acks say, by follower, which of its reports were taken in when.
	Acks map[string]Ack `json:"echoes"`
	// Heard and Known count hosts as Counts does.
	Heard int `json:"heard"`
	Known int `json:"known"`

	ConfigurationVersion uint64         `json:"configuration_version,omitempty"`
	Endpoints            registry.Delta `json:"endpoints"`
	// Levels are the tokens left, by organisation, after all reports that were taken in.
	Levels map[string]float64 `json:"levels,omitempty"`
	// Loads are those of all hosts, the follower's own included.
	Loads    []balancer.Load    `json:"loads,omitempty"`
	Prefills []balancer.Prefill `json:"reads,omitempty"`
}

// Ack names reports of a follower by their numbers; zero is none.
type Ack struct {
	// Included is the newest that the digest takes in.
	Included uint64 `json:"i"`
	// Configuration is the newest that had arrived at a time at which the configuration of
	// the digest's version was the newest; Endpoints likewise for the endpoints.
	Configuration uint64 `json:"c,omitempty"`
	Endpoints     uint64 `json:"e,omitempty"`
}

// FleetDemand is what callers have lately asked of a fleet through one host.
type FleetDemand struct {
	// RequestsPerSecond counts refused requests as well.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// PromptTokens and OutputTokens are means of a request.
	PromptTokens float64 `json:"prompt_tokens"`
	OutputTokens float64 `json:"output_tokens"`
}

// Add joins two demands; means are weighted by their rates.
func (d FleetDemand) Add(other FleetDemand) FleetDemand {
	rate := d.RequestsPerSecond + other.RequestsPerSecond
	if rate <= 0 {
		return d
	}
	mean := func(a, b float64) float64 {
		return (a*d.RequestsPerSecond + b*other.RequestsPerSecond) / rate
	}
	return FleetDemand{
		RequestsPerSecond: rate,
		PromptTokens:      mean(d.PromptTokens, other.PromptTokens),
		OutputTokens:      mean(d.OutputTokens, other.OutputTokens),
	}
}

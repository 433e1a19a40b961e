package heartbeat

import (
	"rattanchute/internal/backpressure"
	"rattanchute/internal/balancer"
	"rattanchute/internal/fairshare"
	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
	"rattanchute/internal/origin"
	"rattanchute/internal/quarantine"
	"rattanchute/internal/quota"
	"rattanchute/internal/registry"
	"rattanchute/internal/relay"
	"rattanchute/internal/rollout"
	"rattanchute/internal/speed"
	"rattanchute/internal/usage"
)

// Peer identifies one run of an entry host.
type Peer struct {
	Name string `json:"name"`
	// Incarnation is the start time of this run in Unix milliseconds, by the host's wall clock. A
	// later run has a higher value, unless that clock was set back.
	Incarnation int64 `json:"incarnation"`
	// Address is the "ip:port" that receives reports and digests.
	Address string `json:"address"`
	// DataCentre is where the host runs.
	DataCentre string `json:"data_centre,omitempty"`
	// MemoryBytes is the memory size of the host: hosts with more memory are preferred as
	// leaders.
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
}

// Source returns this run of the host as a source of usage counts.
func (p *Peer) Source() usage.Source { return usage.Source{Name: p.Name, Incarnation: p.Incarnation} }

// before defines the leadership order of a data centre: hosts with more memory come first, and
// among equal ones the oldest, so that a newly started host does not displace a leader.
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

// Report is what a host reports about itself and its followers.
type Report struct {
	Peer
	// Number increases with each report of a run. It need not increase by one.
	Number uint64 `json:"number"`
	// Leader is the name of the host that the sender follows, or its own name if it follows
	// none.
	Leader string `json:"lead,omitempty"`
	// IntervalMillis is the planned time until the sender's next report.
	IntervalMillis int64 `json:"interval_ms,omitempty"`
	// WallMillis is the sender's wall-clock time in Unix milliseconds.
	WallMillis int64 `json:"wall_ms"`
	// Leaving is set in the last report of a run: the sender's last request has ended, or its grace
	// period is over.
	Leaving bool `json:"leaving,omitempty"`
	// HoldsLease is set if a host of the sender's group holds the duties' lease.
	HoldsLease bool `json:"holds_lease,omitempty"`
	// LeaseVersion is the stored version of the lease that the sender holds; zero if it holds
	// none.
	LeaseVersion objectstore.Version `json:"lease_version,omitempty"`
	// Members lists the group: the sender and its followers.
	Members []string `json:"members,omitempty"`
	// Left lists the hosts of the group that recently left gracefully.
	Left []string `json:"gone,omitempty"`
	// Generation is that of the active configuration, and EndpointsVersion the store version of the
	// newest change to the endpoints.
	Generation       fleet.Generation    `json:"generation,omitempty"`
	EndpointsVersion objectstore.Version `json:"endpoints_version,omitempty"`
	// EndpointsAgeMillis is how long ago the store last confirmed the list of endpoints to the sender, at
	// least 1; zero if it never did.
	EndpointsAgeMillis int64 `json:"endpoints_age_ms,omitempty"`

	// LeavingEndpoints are endpoints that have lately said in a response that they leave.
	LeavingEndpoints []backpressure.LeavingReport `json:"leaving_endpoints,omitempty"`
	// LimitedEndpoints are endpoints that state a rate limit, or have lately ceased to.
	LimitedEndpoints []backpressure.LimitReport `json:"limited_endpoints,omitempty"`
	// Quarantine is what is known of requests that crash endpoints; nil if there are none.
	Quarantine *quarantine.Report `json:"quarantine,omitempty"`
	// Origins says where streams of the group began; nil if there are none.
	Origins *origin.Report `json:"origins,omitempty"`

	// Rollouts is what the group knows of orders to move fleets to other versions; nil if there are none.
	Rollouts *rollout.Report `json:"rollouts,omitempty"`

	// Shares is the demand of organisations through the group for fleets that are short of room; nil if none is.
	Shares *fairshare.Report `json:"shares,omitempty"`
	// RejectionLimits are the fleets whose endpoints have lately stated a rejection limit.
	RejectionLimits []balancer.RejectionLimitReport `json:"rejection_limits,omitempty"`
	// PoolsSlots is set by builds that pool slots of endpoints with a rejection limit.
	PoolsSlots bool `json:"pools_slots,omitempty"`
	// Speeds is what endpoints have lately stated of their slowness; nil if there is nothing.
	Speeds *speed.Report `json:"speeds,omitempty"`
	// LostFleets are the fleets of which the sender reaches no endpoint.
	LostFleets []string `json:"lost_fleets,omitempty"`
	// GroupLostLinks is set if a host of the sender's group has lost its links to a fleet.
	GroupLostLinks bool `json:"group_lost_links,omitempty"`
	// RelayPeers are some hosts of the sender's group that have not, while another host has.
	RelayPeers []relay.Peer `json:"relay_peers,omitempty"`

	Quota quota.SpendingReport `json:"quota"`
	Usage []HostUsage          `json:"usage,omitempty"`
	// FinalUsage holds the totals of the last windows that the sender may have reported to the platform.
	// Only the holder of the lease sends them.
	FinalUsage map[int64]usage.Counts `json:"final_usage,omitempty"`
	Loads      []balancer.Load        `json:"loads,omitempty"`
	Prefills   []balancer.Prefill     `json:"reads,omitempty"`
	Demand     map[string]FleetDemand `json:"demand,omitempty"`
}

// HostUsage is the usage counted by one run of a host.
type HostUsage struct {
	usage.Source
	Windows map[int64]usage.Counts `json:"windows"`
}

// Digest is the summary of all hosts that a leader sends to its followers.
type Digest struct {
	Peer
	// Number increases with each digest of a run. It need not increase by one.
	Number uint64 `json:"number"`
	// IntervalMillis is the planned time until the sender's next digest.
	IntervalMillis int64 `json:"interval_ms,omitempty"`
	// TrueMillis is the sender's estimate of the cluster time (clock.ClusterClock) in Unix milliseconds.
	TrueMillis int64 `json:"true_ms"`
	// Acks are the acknowledgements of the followers' reports, by the follower's name.
	Acks map[string]Ack `json:"echoes"`
	// Reachable and Known are the counts that HostCounts returns.
	Reachable int `json:"heard"`
	Known     int `json:"known"`

	// Generation is that of the active configuration.
	Generation fleet.Generation `json:"generation,omitempty"`
	Endpoints  registry.Delta   `json:"endpoints"`
	// RejectionLimits are the fleets whose endpoints have lately stated a rejection limit to a host.
	RejectionLimits []balancer.RejectionLimitReport `json:"rejection_limits,omitempty"`
	// PoolsSlots is set if the sender pools slots of endpoints with a rejection limit.
	PoolsSlots bool `json:"pools_slots,omitempty"`
	// Speeds is what endpoints have lately stated of their slowness to a host; nil if there is nothing.
	Speeds *speed.Report `json:"speeds,omitempty"`
	// RelayPeers are some hosts that have lost no links to endpoints, while another host has.
	RelayPeers []relay.Peer `json:"relay_peers,omitempty"`
	// LeavingEndpoints are endpoints that have lately said in a response that they leave.
	LeavingEndpoints []backpressure.LeavingReport `json:"leaving_endpoints,omitempty"`
	// LimitedEndpoints are endpoints that state a rate limit, or have lately ceased to, and Leaders the hosts
	// among whose groups the limits are shared.
	LimitedEndpoints []backpressure.LimitReport `json:"limited_endpoints,omitempty"`
	Leaders          []string                   `json:"leaders,omitempty"`
	// GroupSizes are the numbers of hosts of the groups, by their leaders; one for those that are missing.
	GroupSizes map[string]int `json:"group_sizes,omitempty"`
	// Quarantine is what is known of requests that crash endpoints; nil if there are none.
	Quarantine *quarantine.Report `json:"quarantine,omitempty"`
	// Origins says where streams began, those of all hosts; nil if there are none.
	Origins *origin.Report `json:"origins,omitempty"`
	// Rollouts are the orders to move fleets to other versions; nil if the platform has none.
	Rollouts *rollout.Digest `json:"rollouts,omitempty"`
	// Shares is the demand of organisations through all hosts for fleets that are short of room; nil if none is.
	Shares *fairshare.Report `json:"shares,omitempty"`
	// Levels are the remaining quota tokens by organisation, after all processed reports.
	Levels map[string]float64 `json:"levels,omitempty"`
	// Loads are the loads of all hosts, including the follower's own. If the digest would be too large,
	// only the endpoints with the most requests are included.
	Loads    []balancer.Load    `json:"loads,omitempty"`
	Prefills []balancer.Prefill `json:"reads,omitempty"`
}

// Ack acknowledges reports of a follower by number; zero means none.
type Ack struct {
	// Included is the newest report whose contents are included in the digest.
	Included uint64 `json:"i"`
	// Configuration is the newest report that arrived before the leader last confirmed that its
	// configuration was the newest. The digest's configuration was therefore the newest at some
	// time after that report was sent. Endpoints is the same for the endpoints.
	Configuration uint64 `json:"c,omitempty"`
	Endpoints     uint64 `json:"e,omitempty"`
	// Rollouts is the same for the orders to move fleets to other versions.
	Rollouts uint64 `json:"r,omitempty"`
	// PoolsSlots is set if the follower pools slots of endpoints with a rejection limit.
	PoolsSlots bool `json:"p,omitempty"`
}

// FleetDemand is the recent demand for a fleet, through one host or as the sum over several.
type FleetDemand struct {
	// RequestsPerSecond includes rejected requests.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// PromptTokens and OutputTokens are means per request.
	PromptTokens float64 `json:"prompt_tokens"`
	OutputTokens float64 `json:"output_tokens"`
}

// Add returns the sum of two demands. Means are weighted by the request rates; if both rates are
// zero, the means of d are kept.
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

// Package api defines the HTTP API of a daemon's operators' listener: paths, headers and
// bodies. All bodies are JSON except the text of a configuration in a PUT, which is sent as
// the operator wrote it, and the plain text of PathMetrics, PathHealth and PathReady.
package api

import (
	"time"

	"rattanchute/internal/configstore"
	"rattanchute/internal/findings"
	"rattanchute/internal/fleet"
)

// The paths. All except PathMetrics, PathHealth and PathReady require an operator's key as
// bearer token.
const (
	// PathConfiguration responds to GET with Configuration and to PUT of a text with Applied.
	PathConfiguration = "/v1/configuration"
	// PathStatus responds to GET with Status.
	PathStatus = "/v1/status"
	// PathMembers responds to GET with Members, which includes the status of each that could
	// be fetched.
	PathMembers = "/v1/members"
	// PathExplain responds to POST of ExplainRequest with Explanation.
	PathExplain = "/v1/explain"
	// PathDrain responds to POST of DrainRequest with the Status of the drained daemon.
	PathDrain = "/v1/drain"
	// PathQuarantines responds to GET with Quarantines.
	PathQuarantines = "/v1/quarantines"
	// PathRelease responds to POST of ReleaseRequest with the Quarantines that are left.
	PathRelease = "/v1/quarantines/release"
	// PathAudit responds to GET with Audit. QueryLimit bounds the number of entries.
	PathAudit = "/v1/audit"
	// PathMetrics responds to GET with metrics in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathHealth responds to GET with 200 whenever the process can respond.
	PathHealth = "/healthz"
	// PathReady responds to GET with 200 while the load balancer should send requests to the
	// daemon, else with 503 and the reason.
	PathReady = "/readyz"
)

// The headers of a PUT of PathConfiguration.
const (
	// HeaderIfMatch holds the generation that the text is based on, in quotes.
	HeaderIfMatch = "If-Match"
	// HeaderChangeID holds a unique id of the change, which makes the request idempotent.
	HeaderChangeID = "Idempotency-Key"
	// HeaderFile holds the file name that findings refer to. Without it, or if it is longer than
	// 128 bytes, they refer to "configuration".
	HeaderFile = "X-File"
)

// QueryLimit is the query parameter that bounds the number of entries of PathAudit.
const QueryLimit = "limit"

// Configuration is the configuration stored in the platform or, while the platform is
// unreachable, the one in force on the daemon that responds.
type Configuration struct {
	Generation fleet.Generation `json:"generation"`
	Text       string           `json:"text"`
}

// Applied reports that a change was accepted.
type Applied struct {
	Entry configstore.Entry `json:"entry"`
}

// Status is the state of a daemon as reported by itself.
type Status struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Version    string `json:"version"`
	// Generation is the configuration generation in force on this daemon.
	Generation fleet.Generation `json:"generation"`
	Ready      bool             `json:"ready"`
	Draining   bool             `json:"draining"`
	// NotReady is the reason why the daemon is not ready.
	NotReady     string `json:"not_ready,omitempty"`
	OpenRequests int    `json:"open_requests"`
	OpenStreams  int    `json:"open_streams"`
	// PlatformReachable is false if the daemon could not read the configuration from the
	// platform at the last GET of PathConfiguration. It is true before the first.
	PlatformReachable bool      `json:"platform_reachable"`
	StartedAt         time.Time `json:"started_at"`
}

// MemberState is the state of a daemon in the view of another.
type MemberState string

// The states of a member. A daemon reports only MemberLive and MemberSuspect, because it does not
// list the members that it knows to be leaving or dead.
const (
	MemberLive    MemberState = "live"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is a daemon as the responding daemon sees it, and the status that the member itself
// reports.
type Member struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	// Address is the "ip:port" of the daemon's listener for peers.
	Address string      `json:"address"`
	State   MemberState `json:"state"`
	// Status is the daemon's current status; nil if it could not be fetched.
	Status *Status `json:"status,omitempty"`
	// Problem is the reason why there is no status.
	Problem string `json:"problem,omitempty"`
}

// Members lists the responding daemon and all other daemons that it considers live or suspect.
type Members struct {
	Members []Member `json:"members"`
}

// DrainRequest names the daemon to drain.
type DrainRequest struct {
	Node string `json:"node"`
}

// Quarantine says that requests are refused because they crash endpoints: either those to a fleet with all of
// some parts in their prompts, or a request and its repetitions.
type Quarantine struct {
	// Fleet and Parts are empty if a request is quarantined, and Fingerprint is empty if not.
	Fleet       string   `json:"fleet,omitempty"`
	Parts       []string `json:"parts,omitempty"`
	Fingerprint string   `json:"fingerprint,omitempty"`
	// Crashes is the number of occasions of crashes, and LastCrash the time of the last one.
	Crashes   int       `json:"crashes"`
	LastCrash time.Time `json:"last_crash"`
	// ProbeAt is when a request may be sent to find out whether it still crashes endpoints.
	ProbeAt time.Time `json:"probe_at"`
}

// Quarantines lists the quarantines that the responding daemon knows, those with the latest crash first.
type Quarantines struct {
	Quarantines []Quarantine `json:"quarantines"`
}

// ReleaseRequest names the quarantine to end: a fleet and parts, or a fingerprint.
type ReleaseRequest struct {
	Fleet       string   `json:"fleet,omitempty"`
	Parts       []string `json:"parts,omitempty"`
	Fingerprint string   `json:"fingerprint,omitempty"`
}

// ExplainRequest describes a hypothetical request: either the model, or the method and
// path of a service call.
type ExplainRequest struct {
	Organisation string `json:"organisation"`
	Model        string `json:"model,omitempty"`
	Method       string `json:"method,omitempty"`
	Path         string `json:"path,omitempty"`
}

// Explanation states where a request would be routed and why.
type Explanation struct {
	Generation fleet.Generation `json:"generation"`
	Fleet      string           `json:"fleet"`
	// Idempotent reports whether the call may be run more than once.
	Idempotent bool `json:"repeatable"`
	// Chosen is the endpoint that would be chosen; empty if the request would be refused.
	Chosen string `json:"chosen,omitempty"`
	// Refused is the reason why the request would be refused; empty if an endpoint is chosen.
	Refused string `json:"refused,omitempty"`
	// Endpoints holds the decision about each endpoint of the fleet.
	Endpoints []EndpointDecision `json:"endpoints"`
}

// EndpointDecision is the decision of the routing policy about one endpoint.
type EndpointDecision struct {
	Endpoint   string `json:"endpoint"`
	DataCentre string `json:"data_centre"`
	Priority   int    `json:"priority"`
	// Reason is a stable identifier, such as "chosen" or "no-selector".
	Reason string `json:"reason"`
	// ExpectedFirstTokenMillis, Load and CachedTokens are zero for an endpoint that was
	// excluded before scoring.
	ExpectedFirstTokenMillis float64 `json:"expected_first_token_ms"`
	Load                     float64 `json:"load"`
	CachedTokens             int     `json:"cached_tokens"`
	PricePerHourMilli        int64   `json:"price_per_hour_milli"`
}

// Audit lists accepted changes, newest first.
type Audit struct {
	Entries []configstore.Entry `json:"entries"`
}

// Code identifies the kind of a Problem.
type Code string

// The error codes.
const (
	CodeUnauthorised     Code = "unauthorised"
	CodeNotFound         Code = "not_found"
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeBadRequest       Code = "bad_request"
	CodeFindings         Code = "findings"
	CodeConflict         Code = "conflict"
	CodeUnknownEffect    Code = "unknown_effect"
	CodeUnavailable      Code = "unavailable"
)

// Problem is the body of the error responses of all paths except PathReady and PathMetrics.
type Problem struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field names the invalid part of the request, if it is a single one.
	Field    string        `json:"field,omitempty"`
	Findings findings.List `json:"findings,omitempty"`
	Conflict *Conflict     `json:"conflict,omitempty"`
}

// Conflict describes how the configuration in force and a refused change differ from the
// generation that the change is based on.
type Conflict struct {
	Base    fleet.Generation `json:"base"`
	Current fleet.Generation `json:"current"`
	// BaseKnown is false if the base generation is no longer kept. Differences then compares
	// only the configuration in force and the change.
	BaseKnown bool `json:"base_known"`
	// Differences holds one entry per object and field.
	Differences []configstore.ThreeWayDifference `json:"differences"`
}

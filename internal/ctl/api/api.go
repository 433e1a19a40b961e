// Package api is the contract between the operators' tool and a daemon's operators'
// listener: paths, headers and bodies. All bodies are JSON but for the configuration
// text itself, which travels as its operator wrote it.
package api

import (
	"time"

	"rattanchute/internal/configstore"
	"rattanchute/internal/findings"
	"rattanchute/internal/fleet"
)

// The paths. All but the last three need an operator's key as bearer token.
const (
	// PathConfiguration answers GET with Configuration, and PUT of a text with Applied.
	PathConfiguration = "/v1/configuration"
	// PathStatus answers GET with Status.
	PathStatus = "/v1/status"
	// PathMembers answers GET with Members, each with its own word.
	PathMembers = "/v1/members"
	// PathExplain answers POST of ExplainRequest with Explanation.
	PathExplain = "/v1/explain"
	// PathDrain answers POST of DrainRequest with the Status of the drained daemon.
	PathDrain = "/v1/drain"
	// PathAudit answers GET with Audit; query "limit" bounds the entries.
	PathAudit = "/v1/audit"
	// PathMetrics answers GET in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathHealth answers GET with 200 while the process works.
	PathHealth = "/healthz"
	// PathReady answers GET with 200 while the daemon takes new requests, else 503.
	PathReady = "/readyz"
)

// The headers of a PUT of PathConfiguration.
const (
	// HeaderIfMatch is the generation that the text was derived from, in quotes.
	HeaderIfMatch = "If-Match"
	// HeaderChangeID is unique to the change, so that it can be sent again.
	HeaderChangeID = "Idempotency-Key"
	// HeaderFile names the text's file in findings.
	HeaderFile = "X-File"
)

// QueryLimit bounds the entries of PathAudit.
const QueryLimit = "limit"

// Configuration is the configuration in force, as stored in the platform.
type Configuration struct {
	Generation fleet.Generation `json:"generation"`
	Text       string           `json:"text"`
}

// Applied tells that a change was accepted.
type Applied struct {
	Entry configstore.Entry `json:"entry"`
}

// Status is what one daemon says of itself.
type Status struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Version    string `json:"version"`
	// Generation is the one in force on this daemon.
	Generation fleet.Generation `json:"generation"`
	Ready      bool             `json:"ready"`
	Draining   bool             `json:"draining"`
	// NotReady says why the daemon is not ready.
	NotReady          string    `json:"not_ready,omitempty"`
	OpenRequests      int       `json:"open_requests"`
	OpenStreams       int       `json:"open_streams"`
	PlatformReachable bool      `json:"platform_reachable"`
	StartedAt         time.Time `json:"started_at"`
}

// MemberState is what the daemons believe of one another.
type MemberState string

// The states of a member.
const (
	MemberLive    MemberState = "live"
	MemberSuspect MemberState = "suspect"
	MemberLeaving MemberState = "leaving"
	MemberDead    MemberState = "dead"
)

// Member is one daemon as the answering one knows it, with its own word.
type Member struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	// Address is "ip:port" of its peers' listener.
	Address string      `json:"address"`
	State   MemberState `json:"state"`
	// Status is what the daemon answered just now; nil if it did not.
	Status *Status `json:"status,omitempty"`
	// Problem is why there is no status.
	Problem string `json:"problem,omitempty"`
}

// Members lists the daemons that the answering one knows, itself among them.
type Members struct {
	Members []Member `json:"members"`
}

// DrainRequest names the daemon to drain.
type DrainRequest struct {
	Node string `json:"node"`
}

// ExplainRequest describes a request that is not sent: either a model, or a method and
// a path of a service.
type ExplainRequest struct {
	Organisation string `json:"organisation"`
	Model        string `json:"model,omitempty"`
	Method       string `json:"method,omitempty"`
	Path         string `json:"path,omitempty"`
}

// Explanation says where such a request would go and why.
type Explanation struct {
	Generation fleet.Generation `json:"generation"`
	Fleet      string           `json:"fleet"`
	// Idempotent tells whether the call may be run again.
	Idempotent bool `json:"repeatable"`
	// Chosen is the endpoint that would answer; empty if the request is refused.
	Chosen string `json:"chosen,omitempty"`
	// Refused says why no endpoint would answer; empty if one is chosen.
	Refused string `json:"refused,omitempty"`
	// Endpoints holds all of the fleet.
	Endpoints []EndpointDecision `json:"endpoints"`
}

// EndpointDecision is what the policy made of one endpoint.
type EndpointDecision struct {
	Endpoint   string `json:"endpoint"`
	DataCentre string `json:"data_centre"`
	Priority   int    `json:"priority"`
	// Reason is a stable word, such as "chosen" or "no-selector".
	Reason string `json:"reason"`
	// The scores are zero for an endpoint that was not weighed.
	ExpectedFirstTokenMillis float64 `json:"expected_first_token_ms"`
	Load                     float64 `json:"load"`
	CachedTokens             int     `json:"cached_tokens"`
	PricePerHourMilli        int64   `json:"price_per_hour_milli"`
}

// Audit lists accepted changes, newest first.
type Audit struct {
	Entries []configstore.Entry `json:"entries"`
}

// Code identifies what is wrong with a request.
type Code string

// The codes of a Problem.
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

// Problem is the body of every answer that is not a success.
type Problem struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Field names the part of the request that is at fault, where it is one.
	Field    string        `json:"field,omitempty"`
	Findings findings.List `json:"findings,omitempty"`
	Conflict *Conflict     `json:"conflict,omitempty"`
}

// Conflict tells what was accepted since the base of a refused change.
type Conflict struct {
	Base      fleet.Generation `json:"base"`
	Current   fleet.Generation `json:"current"`
	BaseKnown bool             `json:"base_known"`
	// Differences is by object and field.
	Differences []configstore.ThreeWayDifference `json:"differences"`
}

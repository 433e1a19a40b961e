package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/fleet"
)

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// ID is new for each attempt of a caller.
	ID string
	// KeyHash is the lower-case hex SHA-256 digest of the caller's key; empty without one.
	KeyHash string
	// CallerTimeout is how long the caller waits from sending; zero if it does not say.
	CallerTimeout time.Duration
	// PromptTokens and OutputTokens are the declared sizes; OutputTokens is the most.
	PromptTokens int
	OutputTokens int
	// HasSizes tells whether the sizes were declared.
	HasSizes bool
	// ExpectedOutput is the caller's guess of the tokens of the answer; zero if none.
	ExpectedOutput int
	// Parts are the prompt's parts in order. Requests share all but the last.
	Parts []Part
	// LastEventID is the last event that the caller has of this stream; empty if none.
	LastEventID string
}

// Part is one part of a prompt, which engines cache if all parts before it are cached.
type Part struct {
	ID     string
	Tokens int
}

// UpstreamRequest is what the gateway tells an endpoint beside the caller's own request.
type UpstreamRequest struct {
	// Endpoint is the instance that must answer.
	Endpoint string
	// Organisation is empty on public routes.
	Organisation string
	// TimeLeft is the time that the caller still waits.
	TimeLeft time.Duration
	// Priority is the request's rank at the engine, 0 first; negative for none.
	Priority int
	// FetchFrom is the address of an endpoint that has cached more of the prompt, which is
	// copied from there; empty for none.
	FetchFrom string
	// LastEventID is the event after which a stream goes on; empty for the whole.
	LastEventID string
}

// ResponseInfo is what an endpoint's answer says besides its content.
type ResponseInfo struct {
	// ID is the attempt that the answer belongs to; empty if it does not say.
	ID string
	// NotExecuted: the endpoint did not run the request and never will.
	NotExecuted bool
	// WrongEndpoint: another endpoint has the address now.
	WrongEndpoint bool
	// Signed tells whether the endpoint signed the answer.
	Signed bool
	// Load is the endpoint's own count; nil if it tells none.
	Load *Load
	// KeepAlive is how long the endpoint keeps the connection idle; zero if unknown.
	KeepAlive time.Duration
}

// Load is what an endpoint says of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// HeaderCodec translates the headers of requests and answers.
type HeaderCodec interface {
	// DecodeRequest reads a caller's request header.
	DecodeRequest(h *fasthttp.RequestHeader) (RequestInfo, error)
	// EncodeUpstream makes the header of a request to an endpoint out of the caller's.
	EncodeUpstream(to, from *fasthttp.RequestHeader, s UpstreamRequest)
	// DecodeResponse reads an endpoint's answer header.
	DecodeResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// EncodeRefusal marks an answer of the gateway's own as belonging to an attempt.
	EncodeRefusal(h *fasthttp.ResponseHeader, id string)
}

// quotaCost is what a request counts against the quota of its organisation.
func quotaCost(ask *RequestInfo, q fleet.TokenQuota) float64 {
	switch {
	case q.ByRequest:
		return 1
	case ask.HasSizes:
		return float64(ask.PromptTokens + ask.OutputTokens)
	default:
		return q.DefaultCost
	}
}

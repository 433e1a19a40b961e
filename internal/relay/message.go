package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Header is the header of a relayed request and of its response. It holds the JSON of a Request or a Response.
const Header = "Rattanchute-Relay"

// Request is what the first host tells the peer.
type Request struct {
	// From is the first host.
	From string `json:"from"`
	// Fleet is where the request goes, and Version the software version of the endpoints that it may go to, empty
	// for any.
	Fleet   string `json:"fleet,omitempty"`
	Version string `json:"version,omitempty"`
	// TimeoutMillis is the time left until the caller's deadline.
	TimeoutMillis int64 `json:"timeout_ms,omitempty"`
	// LastEventID is the id of the last event of the stream that the caller has; empty for none.
	LastEventID string `json:"last_event,omitempty"`
	// Connection is the caller's Connection header, which names headers that go no further.
	Connection string `json:"connection,omitempty"`
	// Sends is in how many attempts the request may have reached an endpoint, and Exclude the endpoints of these.
	Sends   int      `json:"sends,omitempty"`
	Exclude []string `json:"exclude,omitempty"`
	// Test names an endpoint, by its ID. Nothing is sent to it: the response says whether it accepts a
	// connection.
	Test string `json:"test,omitempty"`
	// AsksHeard asks when the peer last heard an endpoint of Fleet. Nothing is sent on.
	AsksHeard bool `json:"asks_heard,omitempty"`
}

// Result says what has become of a relayed request.
type Result string

// The results.
const (
	// Answered means that the response is that of an endpoint.
	Answered Result = "answered"
	// NotSent means that the peer could not send the request: another peer may.
	NotSent Result = "not_sent"
	// NotRun means that the request has not run and that another peer will not do better now.
	NotRun Result = "not_run"
	// Rejected means that an endpoint got the request and did not run it.
	Rejected Result = "rejected"
	// Failed means that the request may have run.
	Failed Result = "failed"
	// Reached and Unreached answer a test.
	Reached   Result = "reached"
	Unreached Result = "unreached"
	// Heard and Unheard answer AsksHeard.
	Heard   Result = "heard"
	Unheard Result = "unheard"
)

// Response is what the peer tells the first host.
type Response struct {
	Result Result `json:"result"`
	// Endpoint is the one that got the request, and Version its software version.
	Endpoint string `json:"endpoint,omitempty"`
	Version  string `json:"version,omitempty"`
	// Reason is why the request has not run.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMillis is when the caller of a request that has not run should come back; zero if unknown.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// HeardAgoMillis is the time since the peer has heard the fleet, rounded up; with Heard only.
	HeardAgoMillis int64 `json:"heard_ago_ms,omitempty"`
}

// ReasonNotTaken is the reason of a NotSent that comes instead of a connection's close: the peer has too many connections,
// and has begun no request on this one since its last response. Such a response names no request.
const ReasonNotTaken = "connection_not_taken"

// IsNotTaken reports whether the header of a response says ReasonNotTaken.
func IsNotTaken(text []byte) bool {
	r, err := DecodeResponse(text)
	return err == nil && r.Result == NotSent && r.Reason == ReasonNotTaken
}

// RetryAfter returns when the caller should come back.
func (r *Response) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// HeardAgo returns the time since the peer has heard the fleet.
func (r *Response) HeardAgo() time.Duration {
	return time.Duration(r.HeardAgoMillis) * time.Millisecond
}

// errNoSender means that a relayed request does not name its first host.
var errNoSender = errors.New("relayed request names no sender")

// DecodeRequest decodes the header of a relayed request.
func DecodeRequest(text []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("relayed request: %w", err)
	}
	if r.From == "" {
		return r, errNoSender
	}
	return r, nil
}

// DecodeResponse decodes the header of the response to a relayed request.
func DecodeResponse(text []byte) (Response, error) {
	var r Response
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("response to a relayed request: %w", err)
	}
	return r, nil
}

// Encode returns the value of the header. Both message types always encode.
func Encode[M Request | Response](m M) string {
	text, err := json.Marshal(m)
	if err != nil {
		panic("relay: " + err.Error())
	}
	return string(text)
}

// Package outcome holds the four answers a caller may be told about a request.
package outcome

import "time"

// Outcome is what is known of a request's run.
type Outcome string

// The outcomes. There is no fifth.
const (
	// Completed: the whole answer was delivered, or its record is returned.
	Completed Outcome = "completed"
	// NotRun: no byte of the request reached an endpoint, or the endpoint itself
	// says that it refused it.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run, wholly or in part.
	Unknown Outcome = "unknown"
	// InProgress: the same request is being run now.
	InProgress Outcome = "in-progress"
)

// Response headers that carry an outcome to a caller.
const (
	HeaderOutcome     = "X-Outcome"
	HeaderRequestID   = "X-Request-Id"
	HeaderResumeToken = "X-Resume-Token"
)

// Error is the JSON body of every answer that is not the endpoint's own.
type Error struct {
	Error Detail `json:"error"`
}

// Detail tells a caller what happened and when to come back.
type Detail struct {
	// Code is a stable lower-case identifier, such as "organisation_limit".
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Field   string  `json:"field,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is when to come back, in milliseconds; zero means never.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id"`
	ResumeToken      string `json:"resume_token,omitempty"`
}

// RetryAfterSeconds rounds a wait up to the whole seconds of the Retry-After header.
func RetryAfterSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

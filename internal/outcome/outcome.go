// Package outcome defines what may be reported to a caller about the execution of a request.
package outcome

import "time"

// Outcome is what is known about the execution of a request.
type Outcome string

// The outcomes. Every request has exactly one of them.
const (
	// Completed: the endpoint's response has arrived, or the record of an earlier attempt that was
	// executed is returned.
	Completed Outcome = "completed"
	// NotRun: no byte of the request reached an endpoint, or the endpoint itself reports that it
	// refused the request.
	NotRun Outcome = "not-run"
	// Unknown: the request may have been executed, wholly or in part.
	Unknown Outcome = "unknown"
	// InProgress: the same request is being executed now.
	InProgress Outcome = "in-progress"
)

// Response headers that report the outcome to a caller.
const (
	HeaderOutcome     = "X-Outcome"
	HeaderRequestID   = "X-Request-Id"
	HeaderResumeToken = "X-Resume-Token"
)

// Error is the JSON body of the errors that package callers sends in place of an endpoint's
// response. Package proxy has a format of its own.
type Error struct {
	Error Detail `json:"error"`
}

// Detail describes what happened and when the caller should retry.
type Detail struct {
	// Code is a stable lower-case identifier, such as "organisation_limit".
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Field   string  `json:"field,omitempty"`
	Outcome Outcome `json:"outcome"`
	// RetryAfterMillis is the delay after which the caller should retry, in milliseconds; zero
	// means never.
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	RequestID        string `json:"request_id"`
	ResumeToken      string `json:"resume_token,omitempty"`
}

// RetryAfterSeconds rounds a delay up to whole seconds, for the Retry-After header.
func RetryAfterSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

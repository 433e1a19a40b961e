package claim

import (
	"time"
)

// Retention times and retry delays.
const (
	// UnknownAfter is the age at which a pending claim is answered as Unknown.
	UnknownAfter = 5 * time.Minute
	// RecordTTL is how long a claim is answered from its record. A full shard may drop the record
	// earlier.
	RecordTTL = 10 * time.Minute
	// FingerprintTTL is how long it is remembered at least that a key was used.
	FingerprintTTL = 24 * time.Hour
	// MaxClockSkew is the difference between the clocks of hosts and callers that the retention
	// times allow for.
	MaxClockSkew = 5 * time.Minute
	// InProgressRetryAfter is the retry delay for a call that is in progress.
	InProgressRetryAfter = time.Second
	// ShardFullRetryAfter is the retry delay for a claim on a shard that is full or cannot be used,
	// and for an invalid one.
	ShardFullRetryAfter = 30 * time.Second
)

// MaxBodyBytes is the size of the largest response body that is kept with a record.
const MaxBodyBytes = 2 << 10

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StatePending: the attempt may be dispatched, may be running or may have been executed.
	StatePending State = "pending"
	// StateCompleted: the attempt was executed and its status is recorded.
	StateCompleted State = "completed"
	// StateWithdrawn: the attempt was not executed and never will be.
	StateWithdrawn State = "withdrawn"
)

// Record is the stored claim on one key.
type Record struct {
	ID      ID     `json:"id"`
	Attempt string `json:"attempt"`
	Writer  string `json:"writer"`
	State   State  `json:"state"`
	// CreatedMillis is when the claim was made, by the clock of the member that committed it, in
	// milliseconds since the Unix epoch.
	CreatedMillis int64  `json:"at_ms"`
	Status        int    `json:"status,omitempty"`
	HasBody       bool   `json:"has_body,omitempty"`
	Body          []byte `json:"body,omitempty"`
}

// maxRecordOverheadBytes bounds the size of the JSON form of a record without names and body.
const maxRecordOverheadBytes = 176

// size is an upper bound of the encoded length of a record, including the status of its completion.
func (r Record) size() int {
	return maxRecordOverheadBytes + len(r.Attempt) + len(r.Writer) + encodedLen(len(r.Body))
}

// encodedLen is the length of n bytes in padded base64.
func encodedLen(n int) int {
	return (n + 2) / 3 * 4
}

// age is the time since the claim was made.
func (r Record) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.CreatedMillis))
}

// answer returns the result for another attempt that tries to acquire this claim.
func (r Record) answer(env Env) Result {
	if r.State == StateCompleted {
		return Result{Kind: Completed, Status: r.Status, HasBody: r.HasBody, Body: r.Body}
	}
	if r.age(env.Now) >= UnknownAfter || env.hasEnded(r.Writer) {
		return Result{Kind: Unknown}
	}
	return Result{Kind: InProgress, RetryAfterMillis: InProgressRetryAfter.Milliseconds()}
}

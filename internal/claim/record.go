package claim

import (
	"time"
)

// How long what is kept.
const (
	// UnknownAfter is the age from which an unfinished claim is answered Unknown.
	UnknownAfter = 5 * time.Minute
	// RecordTTL is how long a claim is kept in full.
	RecordTTL = 10 * time.Minute
	// FingerprintTTL is how long a used key is remembered at all.
	FingerprintTTL = 24 * time.Hour
	// MaxClockSkew is the difference between the clocks of hosts and callers that the
	// windows allow for.
	MaxClockSkew = 5 * time.Minute
	// InProgressRetryAfter is when a caller should ask again for a running call.
	InProgressRetryAfter = time.Second
	// ShardFullRetryAfter is when a caller should come back to a shard without room.
	ShardFullRetryAfter = 30 * time.Second
)

// MaxBodyBytes is the largest answer body that is kept with a record.
const MaxBodyBytes = 2 << 10

// State is where a claim is in its life.
type State string

// The states of a claim.
const (
	// StatePending: the attempt may dispatch, may be running or may have run.
	StatePending State = "pending"
	// StateCompleted: the attempt has run and its status is kept.
	StateCompleted State = "completed"
	// StateWithdrawn: the attempt has not run and never will.
	StateWithdrawn State = "withdrawn"
)

// Record is the stored claim on one key.
type Record struct {
	ID      ID     `json:"id"`
	Attempt string `json:"attempt"`
	Writer  string `json:"writer"`
	State   State  `json:"state"`
	// CreatedMillis is when the claim was made, by the clock of whoever wrote it, in
	// milliseconds since the Unix epoch.
	CreatedMillis int64  `json:"at_ms"`
	Status        int    `json:"status,omitempty"`
	HasBody       bool   `json:"has_body,omitempty"`
	Body          []byte `json:"body,omitempty"`
}

// recordOverheadBytes bounds the JSON of a record without names and body.
const recordOverheadBytes = 176

// size bounds the encoded length of a record, with room for its completion.
func (r Record) size() int {
	return recordOverheadBytes + len(r.Attempt) + len(r.Writer) + encodedLen(len(r.Body))
}

// encodedLen is the length of n bytes in padded base64.
func encodedLen(n int) int {
	return (n + 2) / 3 * 4
}

// age is how long ago the claim was made.
func (r Record) age(now time.Time) time.Duration {
	return now.Sub(time.UnixMilli(r.CreatedMillis))
}

// answer tells another attempt what is known of this claim.
func (r Record) answer(env Env) Result {
	if r.State == StateCompleted {
		return Result{Kind: Completed, Status: r.Status, HasBody: r.HasBody, Body: r.Body}
	}
	if r.age(env.Now) >= UnknownAfter || env.gone(r.Writer) {
		return Result{Kind: Unknown}
	}
	return Result{Kind: InProgress, RetryAfterMillis: InProgressRetryAfter.Milliseconds()}
}

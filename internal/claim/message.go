package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/outcome"
)

// OpKind is the kind of an operation on a shard.
type OpKind string

// The kinds of operations.
const (
	// OpAcquire claims a key for an attempt.
	OpAcquire OpKind = "acquire"
	// OpComplete records the response of the attempt that holds the claim.
	OpComplete OpKind = "complete"
	// OpWithdraw withdraws the claim of an attempt that provably was not executed and never will
	// be.
	OpWithdraw OpKind = "withdraw"
)

// Op is one operation on one key. It is also the message with which a member forwards the operation
// to the owner of the key's shard.
type Op struct {
	Kind OpKind `json:"kind"`
	Key  Key    `json:"key"`
	// Attempt is unique to one attempt of one request at one daemon.
	Attempt string `json:"attempt"`
	// Writer is the run of the daemon that made the attempt.
	Writer string `json:"writer"`
	// Status and Body are the response to record, for OpComplete. BodyOmitted is set if the response had a
	// body that is too large to be kept; Body is then empty.
	Status      int    `json:"status,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyOmitted bool   `json:"body_omitted,omitempty"`
}

// ResultKind is the kind of result of an operation.
type ResultKind string

// The results of OpAcquire.
const (
	// Granted: the attempt may be dispatched now, once.
	Granted ResultKind = "granted"
	// Completed: an earlier attempt was executed; its status is included, and its body if it was
	// kept.
	Completed ResultKind = "completed"
	// InProgress: an earlier attempt holds the claim and may be running.
	InProgress ResultKind = "in-progress"
	// Unknown: an earlier attempt holds the claim, may have been executed, and is not expected to
	// report any more. Within FingerprintTTL, no other attempt is granted the key unless this one is
	// withdrawn.
	Unknown ResultKind = "unknown"
	// Refused: this attempt was not executed and must never be dispatched.
	Refused ResultKind = "refused"
	// Expired: the key was used, or is too old to know whether it was; the response is not
	// available.
	Expired ResultKind = "expired"
)

// The results of OpComplete and OpWithdraw, in addition to Refused, which means that the report is
// not known to be recorded; with MayBeStored, it may be.
const (
	// Recorded: the stored shard agrees with the report.
	Recorded ResultKind = "recorded"
	// Ignored: for OpComplete, the attempt does not hold the claim; for OpWithdraw, its completion
	// is recorded, or the key counts as used and its record is gone or too old.
	Ignored ResultKind = "ignored"
)

// Result is the result of an Op.
type Result struct {
	Kind ResultKind `json:"kind"`
	// Status is the recorded status, for Completed.
	Status int `json:"status,omitempty"`
	// HasBody indicates that Body is the complete recorded body, which may be empty.
	HasBody bool   `json:"has_body,omitempty"`
	Body    []byte `json:"body,omitempty"`
	// RetryAfterMillis is the delay after which the caller should retry, in milliseconds; zero
	// means never.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// MayBeStored indicates that the operation may be in the store, or arrive there later, although
	// it was refused.
	MayBeStored bool `json:"may_stand,omitempty"`
}

// RetryAfter is the delay after which the caller should retry; zero means never.
func (r Result) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// Outcome returns what may be reported to the caller of this request, for all kinds but Granted.
// For Refused it implies nothing about earlier requests with the same key.
func (r Result) Outcome() outcome.Outcome {
	switch r.Kind {
	case Completed:
		return outcome.Completed
	case InProgress:
		return outcome.InProgress
	case Refused:
		return outcome.NotRun
	}
	return outcome.Unknown
}

// refused returns a refusal with a retry delay of at least one millisecond.
func refused(retryAfter time.Duration, mayBeStored bool) Result {
	return Result{
		Kind:             Refused,
		RetryAfterMillis: max(1, retryAfter.Milliseconds()),
		MayBeStored:      mayBeStored,
	}
}

// Forwarder sends an operation to the owner of its shard. If it returns an error, the owner may or
// may not have applied the operation.
type Forwarder interface {
	Forward(ctx context.Context, owner string, op Op) (Result, error)
}

// MaxNameBytes bounds the length of the names of attempts and writers.
const MaxNameBytes = 64

// ErrInvalid is wrapped by the errors about a malformed operation.
var ErrInvalid = errors.New("claim: invalid operation")

// Validate checks an operation that was received from another process or built from a request.
func (op Op) Validate() error {
	switch op.Kind {
	case OpAcquire, OpComplete, OpWithdraw:
	default:
		return fmt.Errorf("%w: kind %q", ErrInvalid, op.Kind)
	}
	if !validName(op.Attempt) {
		return fmt.Errorf("%w: attempt %q", ErrInvalid, op.Attempt)
	}
	if !validName(op.Writer) {
		return fmt.Errorf("%w: writer %q", ErrInvalid, op.Writer)
	}
	if op.Key.IdempotencyKey == "" {
		return fmt.Errorf("%w: empty idempotency key", ErrInvalid)
	}
	if op.Kind == OpComplete && (op.Status < 100 || op.Status > 999) {
		return fmt.Errorf("%w: status %d", ErrInvalid, op.Status)
	}
	return nil
}

// validName accepts names that JSON encodes without escapes, so that a record's size bounds its
// encoded length.
func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if !validNameByte(c) {
			return false
		}
	}
	return true
}

func validNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '_' || c == '.' || c == ':' || c == '/'
}

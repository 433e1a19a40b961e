package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/outcome"
)

// OpKind is what is asked of a shard.
type OpKind string

// The operations.
const (
	// OpAcquire claims a key for an attempt.
	OpAcquire OpKind = "acquire"
	// OpComplete records the answer of the attempt that holds the claim.
	OpComplete OpKind = "complete"
	// OpWithdraw takes back the claim of an attempt that is proved not to have run
	// and never will.
	OpWithdraw OpKind = "withdraw"
)

// Op is one operation on one key, also the message by which a member forwards it to
// the owner of the key's shard.
type Op struct {
	Kind OpKind `json:"kind"`
	Key  Key    `json:"key"`
	// Attempt is unique to one try of one request at one daemon.
	Attempt string `json:"attempt"`
	// Writer is the run of the daemon that made the attempt.
	Writer string `json:"writer"`
	// Status and Body are the answer to record, for OpComplete.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// ResultKind is the answer to an operation.
type ResultKind string

// The results of OpAcquire.
const (
	// Granted: dispatch now, once.
	Granted ResultKind = "granted"
	// Completed: an earlier attempt has run; its recorded answer is given.
	Completed ResultKind = "completed"
	// InProgress: an earlier attempt holds the claim and may be running.
	InProgress ResultKind = "in-progress"
	// Unknown: an earlier attempt holds the claim, may have run, and is not expected
	// to report any more. The key is never run again.
	Unknown ResultKind = "unknown"
	// Refused: this attempt has not run and must never be dispatched.
	Refused ResultKind = "refused"
	// Expired: the key was used, or is too old to tell; its answer is not kept.
	Expired ResultKind = "expired"
)

// The results of OpComplete and OpWithdraw, beside Refused for "not recorded".
const (
	// Recorded: the stored value now says so.
	Recorded ResultKind = "recorded"
	// Ignored: the attempt does not hold the claim any more.
	Ignored ResultKind = "ignored"
)

// Result answers an Op.
type Result struct {
	Kind ResultKind `json:"kind"`
	// Status is the recorded status, for Completed.
	Status int `json:"status,omitempty"`
	// HasBody says that Body is the whole recorded body, which may be empty.
	HasBody bool   `json:"has_body,omitempty"`
	Body    []byte `json:"body,omitempty"`
	// RetryAfterMillis is when to come back, in milliseconds; zero means never.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// MayBeStored says that a refused claim may be in the store all the same.
	MayBeStored bool `json:"may_stand,omitempty"`
}

// RetryAfter is when to come back; zero means never.
func (r Result) RetryAfter() time.Duration {
	return time.Duration(r.RetryAfterMillis) * time.Millisecond
}

// Outcome is what a caller may be told about this request, but for a granted claim. For
// Refused it says nothing of earlier requests with the same key.
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

// refused builds the answer of an operation that took no effect.
func refused(retryAfter time.Duration, mayStand bool) Result {
	return Result{
		Kind:             Refused,
		RetryAfterMillis: max(1, retryAfter.Milliseconds()),
		MayBeStored:      mayStand,
	}
}

// Forwarder carries an operation to the owner of its shard. An error leaves it open
// whether the owner has applied the operation.
type Forwarder interface {
	Forward(ctx context.Context, owner string, op Op) (Result, error)
}

// MaxNameBytes limits the attempt and writer names.
const MaxNameBytes = 64

// ErrInvalid is wrapped by the errors of a malformed operation.
var ErrInvalid = errors.New("claim: invalid operation")

// Validate checks an operation that came from outside.
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

// validName accepts names that JSON encodes without escapes, so that the size of a
// record is known in advance.
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

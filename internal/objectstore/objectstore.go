// Package objectstore is the port to the platform's object service: named objects with
// versions, conditional updates and watches. What must outlast a process is kept
// there and nowhere else. The service can be slow or down, and an answer can be lost
// after the write has taken effect; callers tell that case by ErrUnavailable and read
// back.
package objectstore

import (
	"context"
	"encoding/json"
	"errors"
)

// Kind names a collection of objects.
type Kind string

// The kinds the system keeps.
const (
	KindConfiguration Kind = "configurations"
	KindAudit         Kind = "audits"
	KindClaims        Kind = "claims"
	KindLease         Kind = "leases"
	KindMember        Kind = "members"
	KindHost          Kind = "hosts"
	// KindEndpoint objects are written by the endpoints themselves.
	KindEndpoint Kind = "endpoints"
	// KindUsage objects are the usage counts of closed windows.
	KindUsage Kind = "usage"
	// KindDesired objects are the numbers of endpoints that were ordered.
	KindDesired Kind = "desired"
)

// MaxValueBytes is the size of the largest value the platform accepts.
const MaxValueBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version changes with each write; it is zero for an object not yet stored. It
	// rises over the whole store, so that it also orders a watch.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Event is one change seen by a watch.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// The errors of a Store. Only ErrUnavailable leaves it open whether a write took effect.
var (
	ErrNotFound    = errors.New("object store: object not found")
	ErrConflict    = errors.New("object store: version conflict")
	ErrTooLarge    = errors.New("object store: value too large")
	ErrThrottled   = errors.New("object store: call rate exceeded, nothing written")
	ErrUnavailable = errors.New("object store: no answer, effect unknown")
	// ErrCompacted means that a watch's start version is too old: list again.
	ErrCompacted = errors.New("object store: watch version no longer kept")
)

// Store is the object service.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the store version they were read at.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)
	// Create stores a new object; ErrConflict if one of that name exists.
	Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error)
	// Update replaces the value if the stored version equals o.Version, else ErrConflict.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if the stored version equals o.Version, else ErrConflict.
	Delete(ctx context.Context, o Object) error
	// Watch waits for changes of a kind after a store version, for as long as the
	// service lets one call wait, and returns them with the version to go on from.
	Watch(ctx context.Context, kind Kind, after uint64) ([]Event, uint64, error)
}

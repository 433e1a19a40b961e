// Package objectstore defines the interface to the platform's object service: named objects with
// versions, conditional updates and watches. State that must outlast a process is stored there and
// nowhere else. The service can be slow or down, and a response can be lost after the write has
// taken effect; a caller recognises that case by ErrUnavailable and reads the object again.
package objectstore

import (
	"context"
	"encoding/json"
	"errors"
)

// Kind names a collection of objects.
type Kind string

// The kinds of objects that the system uses.
const (
	KindConfiguration Kind = "configurations"
	KindAudit         Kind = "audits"
	KindClaims        Kind = "claims"
	KindLease         Kind = "leases"
	KindMember        Kind = "members"
	KindHost          Kind = "hosts"
	// KindEndpoint objects are written by the endpoints themselves.
	KindEndpoint Kind = "endpoints"
	// KindUsage objects hold the usage counts of closed windows.
	KindUsage Kind = "usage"
	// KindDesired objects hold the numbers of endpoints that were ordered.
	KindDesired Kind = "desired"
	// KindQuarantine objects hold the requests and the prompts that crash endpoints.
	KindQuarantine Kind = "quarantine"
	// KindRollout objects are orders to move a fleet to another software version. Operators write their value,
	// and the system their status.
	KindRollout Kind = "rollouts"
	// KindOrigins objects say where streams began.
	KindOrigins Kind = "origins"
)

// MaxValueBytes is the size of the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version changes with each write; it is zero for an object that is not yet stored. Versions
	// increase across the whole store, so that they also order the events of a watch.
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value"`
	// Status is what the system says about an object whose value is its owner's; empty for most objects.
	Status json.RawMessage `json:"status,omitempty"`
}

// Event is one change reported by a watch.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// The errors of a Store. Only after ErrUnavailable is it unknown whether a write took effect.
var (
	ErrNotFound    = errors.New("object store: object not found")
	ErrConflict    = errors.New("object store: version conflict")
	ErrTooLarge    = errors.New("object store: value too large")
	ErrThrottled   = errors.New("object store: call rate exceeded, nothing written")
	ErrUnavailable = errors.New("object store: no answer, effect unknown")
	// ErrCompacted means that the start version of a watch is too old: the caller must list again.
	ErrCompacted = errors.New("object store: watch version no longer kept")
)

// Store is the object service.
type Store interface {
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and a store version. A watch from this version misses no
	// later change; some of the objects may already be newer.
	List(ctx context.Context, kind Kind) ([]Object, Version, error)
	// Create stores a new object; ErrConflict if one of that name exists.
	Create(ctx context.Context, kind Kind, name string, value json.RawMessage) (Object, error)
	// Update replaces the value if the stored version equals o.Version, else ErrConflict.
	Update(ctx context.Context, o Object) (Object, error)
	// UpdateStatus replaces the status, and not the value, if the stored version equals o.Version, else
	// ErrConflict.
	UpdateStatus(ctx context.Context, o Object) (Object, error)
	// Delete removes the object if the stored version equals o.Version, else ErrConflict.
	Delete(ctx context.Context, o Object) error
	// Watch waits for changes of a kind after a store version, for as long as the service allows
	// for one call. It returns the changes, possibly none, and the version from which to continue.
	Watch(ctx context.Context, kind Kind, after Version) ([]Event, Version, error)
}

package configstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/objectstore"
)

// CurrentName is the name of the platform object that holds the active configuration.
const CurrentName = "current"

// Stored is the active configuration together with its latest audit entries.
type Stored struct {
	Generation fleet.Generation `json:"generation"`
	// Text is the configuration as written by its operator.
	Text string `json:"text"`
	// Audit holds the latest entries, oldest first; the last one is that of this generation.
	Audit []Entry `json:"audit"`
	// AuditPages is the number of pages to which older entries were moved, including pages that
	// have been deleted since.
	AuditPages int `json:"audit_pages"`
	// Version is the platform's version of the object; zero if the object does not exist yet.
	Version objectstore.Version `json:"-"`
}

// Entry records one accepted change.
type Entry struct {
	// ID is unique to the change.
	ID       string           `json:"id"`
	Operator string           `json:"operator"`
	At       time.Time        `json:"at"`
	From     fleet.Generation `json:"from"`
	To       fleet.Generation `json:"to"`
	// Differences is what changed, with long values cut off; Omitted is the number of
	// differences left out to limit the size.
	Differences []Difference `json:"differences"`
	Omitted     int          `json:"omitted,omitempty"`
}

// ErrCorrupt means that a stored value cannot be decoded or is inconsistent, or that a stored text
// is not a valid configuration.
var ErrCorrupt = errors.New("change: stored configuration is corrupt")

// Read returns the active configuration, or the zero Stored if none has been accepted yet.
func Read(ctx context.Context, store objectstore.Store) (Stored, error) {
	object, err := store.Get(ctx, objectstore.KindConfiguration, CurrentName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Stored{}, nil
	}
	if err != nil {
		return Stored{}, fmt.Errorf("read the configuration: %w", err)
	}
	return Decode(object)
}

// Decode decodes the object that holds the configuration, as read from the platform or returned by
// a watch of objectstore.KindConfiguration.
func Decode(object objectstore.Object) (Stored, error) {
	var s Stored
	if err := json.Unmarshal(object.Value, &s); err != nil {
		return Stored{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	s.Version = object.Version
	if len(s.Audit) == 0 || s.Audit[len(s.Audit)-1].To != s.Generation {
		return Stored{}, fmt.Errorf("%w: generation %d has no audit entry", ErrCorrupt, s.Generation)
	}
	return s, nil
}

// Configuration parses the stored text and sets its generation. It returns the empty configuration
// if none has been accepted yet, and an error that wraps ErrCorrupt if the text is invalid.
func (s Stored) Configuration() (*fleet.Configuration, error) {
	if s.Generation == 0 {
		return &fleet.Configuration{}, nil
	}
	return parseGeneration(s.Text, s.Generation)
}

func parseGeneration(text string, g fleet.Generation) (*fleet.Configuration, error) {
	c, list := fleet.ParseConfiguration(fmt.Sprintf("generation %d", g), []byte(text))
	if err := list.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	c.Generation = g
	return c, nil
}

// entry returns the audit entry of a change, unless it was moved to a page.
func (s Stored) entry(id string) (Entry, bool) {
	for _, e := range s.Audit {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// encode encodes a value as JSON without HTML escaping, which would make texts longer.
func encode(v any) (json.RawMessage, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return bytes.TrimSpace(b.Bytes()), nil
}

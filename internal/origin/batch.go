package origin

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// keyLength is the length of a key's text.
	keyLength = 11
	// MaxBatchStreams bounds the streams of a batch.
	MaxBatchStreams = 1000
	// maxBatchBytes bounds the size of a batch that is read: a full one whose streams all have long origins
	// of their own is smaller.
	maxBatchBytes = 512 << 10
)

// Errors of DecodeBatch.
var (
	ErrBatchTooLarge  = errors.New("origin: batch too large")
	ErrBatchMalformed = errors.New("origin: batch malformed")
)

// Batch is a part of the streams that a host has stored.
type Batch struct {
	// Newest is the cluster's time at which the last stream was added.
	Newest  time.Time
	Streams []StoredStream
}

// batchText is the stored form of a batch.
type batchText struct {
	// NewestMillis is in Unix milliseconds.
	NewestMillis int64         `json:"newest_ms"`
	Origins      []originsText `json:"origins"`
}

// originsText holds streams with the same origin. Keys is the texts of their keys, one after the other.
type originsText struct {
	Fleet   string `json:"fleet"`
	Version string `json:"version"`
	Keys    string `json:"keys"`
}

// Expired reports whether no stream of the batch can be resumed any more, even if the cluster's time was wrong
// by some seconds when it was written.
func (b *Batch) Expired(clusterNow time.Time) bool {
	const margin = 15 * time.Second
	return clusterNow.Sub(b.Newest) > retention+margin
}

// Encode returns the stored form.
func (b *Batch) Encode() (json.RawMessage, error) {
	text := batchText{NewestMillis: b.Newest.UnixMilli(), Origins: []originsText{}}
	for _, g := range group(b.Streams) {
		var keys strings.Builder
		for _, k := range g.Keys {
			keys.WriteString(string(k))
		}
		text.Origins = append(text.Origins, originsText{g.Fleet, g.Version, keys.String()})
	}
	return json.Marshal(text)
}

// DecodeBatch reads the stored form. It returns ErrBatchTooLarge or ErrBatchMalformed for what no host has
// written.
func DecodeBatch(value []byte) (Batch, error) {
	if len(value) > maxBatchBytes {
		return Batch{}, fmt.Errorf("%w: %d bytes", ErrBatchTooLarge, len(value))
	}
	var text batchText
	if err := json.Unmarshal(value, &text); err != nil {
		return Batch{}, fmt.Errorf("%w: %w", ErrBatchMalformed, err)
	}
	b := Batch{Newest: time.UnixMilli(text.NewestMillis)}
	for _, o := range text.Origins {
		if len(o.Keys)%keyLength != 0 {
			return Batch{}, fmt.Errorf("%w: %d bytes of keys", ErrBatchMalformed, len(o.Keys))
		}
		if len(b.Streams)+len(o.Keys)/keyLength > MaxBatchStreams {
			return Batch{}, fmt.Errorf("%w: over %d streams", ErrBatchTooLarge, MaxBatchStreams)
		}
		for at := 0; at < len(o.Keys); at += keyLength {
			key := Key(o.Keys[at : at+keyLength])
			if !key.valid() {
				return Batch{}, fmt.Errorf("%w: key %q", ErrBatchMalformed, key)
			}
			b.Streams = append(b.Streams, StoredStream{key, Origin{o.Fleet, o.Version}})
		}
	}
	return b, nil
}

package claim

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// bucketSpan is the time over which fingerprints are dropped together.
const bucketSpan = time.Hour

// Bounds of the encoded size of fingerprints.
const (
	fingerprintBytes    = 8
	bucketOverheadBytes = 64
)

// bucket holds the fingerprints of the claims made in one span of time.
type bucket struct {
	// span is the number of the span since the Unix epoch.
	span int64
	// prints is sorted and never changed in place, so that copies may share it.
	prints []uint64
}

// spanOf returns the span that a time in milliseconds falls into.
func spanOf(atMillis int64) int64 {
	return atMillis / bucketSpan.Milliseconds()
}

// expired reports whether every claim of the bucket is past its window.
func (b bucket) expired(now time.Time) bool {
	end := time.UnixMilli((b.span + 1) * bucketSpan.Milliseconds())
	return now.Sub(end) >= FingerprintTTL
}

// has reports whether the bucket holds the fingerprint.
func (b bucket) has(print uint64) bool {
	_, found := slices.BinarySearch(b.prints, print)
	return found
}

// with returns the bucket with more fingerprints.
func (b bucket) with(prints []uint64) bucket {
	all := make([]uint64, 0, len(b.prints)+len(prints))
	all = append(all, b.prints...)
	all = append(all, prints...)
	slices.Sort(all)
	return bucket{span: b.span, prints: slices.Compact(all)}
}

// size bounds the encoded length of the bucket.
func (b bucket) size() int {
	return bucketOverheadBytes + encodedLen(len(b.prints)*fingerprintBytes)
}

// storedBucket is the JSON form of a bucket.
type storedBucket struct {
	Span   int64  `json:"span"`
	Prints string `json:"prints"`
}

// stored packs the bucket for JSON.
func (b bucket) stored() storedBucket {
	raw := make([]byte, 0, len(b.prints)*fingerprintBytes)
	for _, print := range b.prints {
		raw = binary.BigEndian.AppendUint64(raw, print)
	}
	return storedBucket{Span: b.span, Prints: base64.StdEncoding.EncodeToString(raw)}
}

// bucket unpacks the JSON form.
func (s storedBucket) bucket() (bucket, error) {
	raw, err := base64.StdEncoding.DecodeString(s.Prints)
	if err != nil {
		return bucket{}, fmt.Errorf("fingerprints of span %d: %w", s.Span, err)
	}
	if len(raw)%fingerprintBytes != 0 {
		return bucket{}, fmt.Errorf("fingerprints of span %d: %d bytes", s.Span, len(raw))
	}
	prints := make([]uint64, 0, len(raw)/fingerprintBytes)
	for ; len(raw) > 0; raw = raw[fingerprintBytes:] {
		prints = append(prints, binary.BigEndian.Uint64(raw))
	}
	if !slices.IsSorted(prints) {
		return bucket{}, fmt.Errorf("fingerprints of span %d: not sorted", s.Span)
	}
	return bucket{span: s.Span, prints: prints}, nil
}

// Package digest maintains a bucketed hash of a set of records. Two nodes compare a few bytes
// to find out whether their sets differ, and then exchange only the buckets that do.
package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets that a set is divided into.
const Buckets = 64

const sumBytes = 8

// Set is the digest of a set of records. The zero value is the digest of the empty set.
type Set struct {
	sums [Buckets]uint64
}

// BucketOf returns the bucket that holds the records with a given key.
func BucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Toggle adds the record to the digest, or removes it if it was added before.
func (s *Set) Toggle(key string, record []byte) {
	s.sums[BucketOf(key)] ^= xxhash.Sum64(record)
}

// Sum returns a single hash over all buckets.
func (s *Set) Sum() uint64 {
	return xxhash.Sum64(s.Bytes())
}

// Bytes returns the bucket hashes in the form that Differing expects.
func (s *Set) Bytes() []byte {
	out := make([]byte, 0, Buckets*sumBytes)
	for _, sum := range s.sums {
		out = binary.BigEndian.AppendUint64(out, sum)
	}
	return out
}

// Differing returns the buckets whose hashes differ from those received from another node. If
// other has the wrong length, no bucket is reported as differing.
func (s *Set) Differing(other []byte) []int {
	if len(other) != Buckets*sumBytes {
		return nil
	}
	var out []int
	for i, sum := range s.sums {
		if sum != binary.BigEndian.Uint64(other[i*sumBytes:]) {
			out = append(out, i)
		}
	}
	return out
}

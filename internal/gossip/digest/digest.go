// Package digest keeps a hash of a set of records in buckets, so that two nodes find
// out with a few bytes whether their sets differ and then exchange only the buckets
// that do.
package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts a set is divided into.
const Buckets = 64

const sumBytes = 8

// Set is the hash of a set. The zero value is the hash of the empty set.
type Set struct {
	sums [Buckets]uint64
}

// BucketOf returns the bucket that holds the records of a key.
func BucketOf(key string) int {
	return int(xxhash.Sum64String(key) % Buckets)
}

// Toggle adds the record to the set, or removes it if it was added before.
func (s *Set) Toggle(key string, record []byte) {
	s.sums[BucketOf(key)] ^= xxhash.Sum64(record)
}

// Sum returns one hash over all buckets.
func (s *Set) Sum() uint64 {
	return xxhash.Sum64(s.Bytes())
}

// Bytes returns the hashes of all buckets, for Differing on another node.
func (s *Set) Bytes() []byte {
	out := make([]byte, 0, Buckets*sumBytes)
	for _, sum := range s.sums {
		out = binary.BigEndian.AppendUint64(out, sum)
	}
	return out
}

// Differing lists the buckets whose hashes are not those that another node sent.
// Hashes of the wrong length differ in no bucket.
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

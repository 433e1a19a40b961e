package route

import "github.com/cespare/xxhash/v2"

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mix is the finalizer of SplitMix64; it distributes the bits of a word evenly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// randomIndex maps a random word to an index below n.
func randomIndex(word uint64, n int) int {
	return int((word >> 32) * uint64(n) >> 32)
}

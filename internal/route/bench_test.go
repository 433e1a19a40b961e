package route

import (
	"testing"
	"time"
)

const benchRunners, benchSelectors = 1600, 64

// benchInterval is the time between requests at a node that receives 62 per second.
const benchInterval = 16 * time.Millisecond

// BenchmarkChoose measures a choice; the target is at most 5 microseconds without allocations.
func BenchmarkChoose(b *testing.B) {
	b.Run("two-choices", func(b *testing.B) { benchmarkChoose(b, 0, 0) })
	b.Run("affinity", func(b *testing.B) { benchmarkChoose(b, 16, 0) })
	b.Run("popular-prefix", func(b *testing.B) { benchmarkChoose(b, 16, 8) })
}

// benchmarkChoose uses prompts with the given number of prefixes. The first ones are common to
// all prompts, the next ones to a group of prompts, and the last ones are unique.
func benchmarkChoose(b *testing.B, prefixes, common int) {
	const groups, own = 5000, 4
	r := NewRouter(dataCentreName(0))
	r.SetTable(Compile(testConfiguration(benchRunners, 8, benchSelectors)))
	for _, t := range r.view.Load().targets {
		r.ObserveLoad(testStart, t.info.endpoint.Name, testLoad(testStart, 4))
	}
	q := testQuery(make([]uint64, prefixes)...)
	now := testStart
	b.ReportAllocs()
	word := uint64(1)
	for b.Loop() {
		word = mix(word + 1)
		for i := common; i < prefixes; i++ {
			q.PrefixHashes[i] = mix(word%groups + uint64(i)<<32)
			if i >= prefixes-own {
				q.PrefixHashes[i] = mix(word + uint64(i))
			}
		}
		now = now.Add(benchInterval)
		if _, err := r.Choose(now, word, q); err != nil {
			b.Fatal(err)
		}
	}
}

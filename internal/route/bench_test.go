package route

import (
	"testing"
	"time"
)

const benchRunners, benchSelectors = 1600, 64

// BenchmarkChoose has the target of at most 5 microseconds and no allocation.
func BenchmarkChoose(b *testing.B) {
	b.Run("two-choices", func(b *testing.B) { benchmarkChoose(b, 0, 0) })
	b.Run("affinity", func(b *testing.B) { benchmarkChoose(b, 4, 0) })
	b.Run("popular-prefix", func(b *testing.B) { benchmarkChoose(b, 4, 1) })
}

// benchmarkChoose makes prompts of some prefixes, of which the first are common to all.
func benchmarkChoose(b *testing.B, prefixes, common int) {
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
			q.PrefixHashes[i] = word >> (3 * i)
		}
		now = now.Add(50 * time.Microsecond)
		if _, err := r.Choose(now, word, q); err != nil {
			b.Fatal(err)
		}
	}
}

package route

import (
	"testing"
	"time"
)

const benchRunners, benchSelectors = 1600, 64

// BenchmarkChoose has the target of at most 5 microseconds and no allocation.
func BenchmarkChoose(b *testing.B) {
	for name, prefixes := range map[string][]uint64{"affinity": {11, 12, 13, 14}, "two-choices": nil} {
		b.Run(name, func(b *testing.B) { benchmarkChoose(b, prefixes) })
	}
}

func benchmarkChoose(b *testing.B, prefixes []uint64) {
	r := NewRouter(dataCentreName(0))
	r.SetTable(Compile(testConfiguration(benchRunners, 8, benchSelectors)))
	for _, t := range r.view.Load().targets {
		r.ObserveLoad(testStart, t.info.endpoint.Name, testLoad(testStart, 4))
	}
	q := testQuery(prefixes...)
	now := testStart
	b.ReportAllocs()
	word := uint64(1)
	for b.Loop() {
		word = mix(word + 1)
		for i := range q.PrefixHashes {
			q.PrefixHashes[i] = word >> (3 * i)
		}
		now = now.Add(50 * time.Microsecond)
		if _, err := r.Choose(now, word, q); err != nil {
			b.Fatal(err)
		}
	}
}

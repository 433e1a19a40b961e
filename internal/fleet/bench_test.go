package fleet

import (
	"fmt"
	"strings"
	"testing"
)

// Sizes of the configuration in the benchmark.
const (
	benchDataCentres = 11
	benchEndpoints   = 1600
	benchSelectors   = 64
)

// BenchmarkParseConfiguration parses a configuration with one endpoint on each host.
func BenchmarkParseConfiguration(b *testing.B) {
	text := []byte(largeText())
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, list := ParseConfiguration("f", text); len(list) > 0 {
			b.Fatal(list)
		}
	}
}

func largeText() string {
	objects := func(count int, object func(i int) string) string {
		lines := make([]string, count)
		for i := range lines {
			lines[i] = "    " + object(i)
		}
		return "[\n" + strings.Join(lines, ",\n") + ",\n  ]"
	}
	dataCentres := objects(benchDataCentres, func(i int) string {
		return fmt.Sprintf(`{"name": "dc-%d", "region": "r"}`, i)
	})
	hosts := objects(benchEndpoints, func(i int) string {
		return fmt.Sprintf(`{"name": "runner-%04d", "data_centre": "dc-%d", "class": "gpu-large", "kind": "reclaimable", "price_per_hour_milli": 1153, "labels": {"use": "drafting"}}`, i, i%benchDataCentres)
	})
	endpoints := objects(benchEndpoints, func(i int) string {
		return fmt.Sprintf(`{"name": "llm-%04d", "host": "runner-%04d", "fleet": "llm", "address": "10.0.%d.%d:8000", "labels": {"pool": "a"}, "checks_fencing": true}`, i, i, i/250, i%250+1)
	})
	selectors := objects(benchSelectors, func(i int) string {
		return fmt.Sprintf(`{"name": "s-%d", "endpoints": [{"label": "pool", "op": "in", "values": ["a"]}], "priority": 5}`, i)
	})
	return fmt.Sprintf(`{"data_centres": %s, "hosts": %s, "endpoints": %s, "selectors": %s,
  "organisations": [{"name": "o", "key_sha256": [%q]}],
  "fleets": [{"name": "llm", "kind": "model", "models": ["m"], "slots_per_endpoint": 16}]}`,
		dataCentres, hosts, endpoints, selectors, strings.Repeat("0", 64))
}

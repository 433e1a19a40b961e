package e2e

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/testsite"
)

const operationsPage = "../../docs/OPERATIONS.md"

var (
	metricName  = regexp.MustCompile(`rattanchute_[a-z_]+`)
	metricType  = regexp.MustCompile(`(?m)^# TYPE (rattanchute_[a-z_]+) (\w+)$`)
	metricEntry = regexp.MustCompile("(?m)^\\| `(rattanchute_[a-z_]+)` \\|")
)

// platformSection is the heading of the page's part about the users' platform.
const platformSection = "# On the users' platform"

// TestOperationsPageNamesTheDaemonsMetrics compares the page, up to platformSection, with a running
// daemon: every exported rattanchute_ metric must be in the page's table, and every such metric
// named on the page must be exported.
func TestOperationsPageNamesTheDaemonsMetrics(t *testing.T) {
	is := is.New(t)
	s := startTLSSite(t, testsite.Options{Daemons: 2, Engines: 1})
	exported := map[string]bool{}
	waitUntil(t, "messages between daemons are counted", func() bool {
		text := metrics(t, s.Daemons[0])
		for _, m := range metricType.FindAllStringSubmatch(text, -1) {
			exported[m[1]] = true
			if m[2] == "histogram" {
				exported[m[1]+"_bucket"], exported[m[1]+"_count"] = true, true
			}
		}
		return exported["rattanchute_spread_messages_sent_total"] &&
			exported["rattanchute_spread_messages_received_total"]
	})
	text, err := os.ReadFile(operationsPage)
	is.NoErr(err)
	// The rest of the page is about the role on the users' platform, which has its own test.
	page, _, found := strings.Cut(string(text), platformSection)
	is.True(found)
	for _, name := range metricName.FindAllString(page, -1) {
		if !exported[name] {
			t.Errorf("the page names %s, which no daemon exports", name)
		}
	}
	listed := map[string]bool{}
	for _, m := range metricEntry.FindAllStringSubmatch(page, -1) {
		listed[m[1]] = true
	}
	for _, name := range slices.Sorted(maps.Keys(exported)) {
		part := strings.HasSuffix(name, "_bucket") || strings.HasSuffix(name, "_count")
		if !part && !listed[name] {
			t.Errorf("the page's table lacks %s", name)
		}
	}
}

package origin

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fixedseed"
	"rattanchute/internal/registry"
)

// TestMain gives property tests a fixed seed unless -rapid.seed names one.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

var epoch = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// longAgo is before all streams of a test.
var longAgo = epoch.Add(-time.Hour)

// listed returns endpoints of the fleet "f" with the given versions.
func listed(versions ...string) []registry.Known {
	var known []registry.Known
	for i, v := range versions {
		known = append(known, registry.Known{Endpoint: registry.Endpoint{ID: fmt.Sprint(i), Fleet: "f", Version: v}})
	}
	return known
}

func TestHostsTellEachOtherWhereStreamsBegan(t *testing.T) {
	is := is.New(t)
	one, other := NewTable(at(0), true), NewTable(at(0), true)
	one.Began(at(1), "a", Origin{"f", "v1"})
	one.Began(at(1), "b", Origin{"f", "v2"})
	other.Apply(at(1.1), one.Report(at(1.1), at(0.5), true), false)
	o, known := other.Find("b")
	is.True(known)
	is.Equal(o, Origin{"f", "v2"})
	_, known = other.Find("c")
	is.True(!known)
	is.True(other.Report(at(1.2), longAgo, true) == nil) // another group's
	is.Equal(len(other.Report(at(1.2), longAgo, false).Streams), 2)
}

func TestStreamsAreReportedAgainWhenAHostJoins(t *testing.T) {
	is := is.New(t)
	table, joined := NewTable(at(0), true), NewTable(at(20), false)
	table.Began(at(1), "a", Origin{"f", "v1"})
	is.True(table.Report(at(20), at(19), true) == nil)
	table.Repeat(at(20))
	joined.Apply(at(20.1), table.Report(at(20.1), at(19), true), false)
	_, known := joined.Find("a")
	is.True(known)
	is.True(table.Report(at(22), at(19), true) == nil)
}

func TestTwoOriginsOfAStreamAreNone(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), true)
	table.Began(at(1), "a", Origin{"f", "v1"})
	table.Began(at(1), "a", Origin{"f", "v1"})
	_, known := table.Find("a")
	is.True(known)
	table.Began(at(2), "a", Origin{"f", "v2"})
	_, known = table.Find("a")
	is.True(!known)
}

func TestStreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), true)
	for i := range 2 * maxStreams {
		table.Began(at(1), Key(fmt.Sprint(i)), Origin{"f", "v1"})
	}
	is.Equal(len(table.known), maxStreams)
	is.Equal(len(table.Report(at(1), longAgo, true).Streams[0].Keys), maxReported)
	table.Began(at(1).Add(2*retention), "last", Origin{"f", "v1"})
	is.Equal(len(table.known), 1)
	is.Equal(len(table.streams), 1)
}

func TestOnlyVersionIsCertainOnceNoOtherStreamCanBeTakenUp(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), false)
	only := func(seconds float64) string {
		version, certain := table.OnlyVersion(at(seconds), "f")
		if !certain {
			return ""
		}
		return version
	}
	table.SetEndpoints(at(0), listed("v1", "v1"))
	is.Equal(only(10), "") // the host does not know what there was before it started
	is.Equal(only(31), "v1")
	table.SetEndpoints(at(40), listed("v1", "v2"))
	is.Equal(only(41), "")
	table.SetEndpoints(at(50), listed("v2"))
	is.Equal(only(51), "")
	is.Equal(only(79), "")
	is.Equal(only(81), "v2")
	table.SetEndpoints(at(82), nil)
	is.Equal(only(83), "")
}

func TestOnlyVersionOfAYoungHostIsThatOfAnOlderOne(t *testing.T) {
	is := is.New(t)
	old, young := NewTable(at(0), true), NewTable(at(50), false)
	old.SetEndpoints(at(0), listed("v1"))
	keepConfirmed(old, 50)
	young.SetEndpoints(at(50), listed("v1"))
	young.Confirm(at(50))
	_, certain := young.OnlyVersion(at(51), "f")
	is.True(!certain)
	young.Apply(at(51), old.Report(at(51), longAgo, true), false)
	version, certain := young.OnlyVersion(at(51), "f")
	is.True(certain)
	is.Equal(version, "v1")
	young.SetEndpoints(at(52), listed("v2"))
	_, certain = young.OnlyVersion(at(60), "f")
	is.True(!certain)
}

// keepConfirmed confirms the endpoints each second until a time.
func keepConfirmed(table *Table, seconds int) {
	for s := range seconds + 1 {
		table.Confirm(at(float64(s)))
	}
}

// TestHostOutOfTouchVouchesForNoVersion: neither does it tell others of its old list, nor does it trust its own memory
// after a gap in which a version may have come and gone.
func TestHostOutOfTouchVouchesForNoVersion(t *testing.T) {
	is := is.New(t)
	cut := NewTable(at(0), true)
	cut.SetEndpoints(at(0), listed("v1"))
	keepConfirmed(cut, 10)
	is.True(cut.Report(at(12), longAgo, true) != nil)
	is.True(cut.Report(at(13), longAgo, true) == nil)
	_, certain := cut.OnlyVersion(at(10), "f")
	is.True(certain)
	cut.Confirm(at(15))
	_, certain = cut.OnlyVersion(at(15), "f")
	is.True(!certain)
	peer := NewTable(at(0), true)
	peer.SetEndpoints(at(0), listed("v1"))
	keepConfirmed(peer, 15)
	cut.Apply(at(15), peer.Report(at(15), longAgo, true), false)
	_, certain = cut.OnlyVersion(at(15), "f")
	is.True(certain)
	cut.SawVersion(at(16), "f", "v2") // it has come and gone between two lists
	_, certain = cut.OnlyVersion(at(17), "f")
	is.True(!certain)
}

func TestMalformedReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable(at(0), false)
	table.SetEndpoints(at(0), listed("v1"))
	table.Apply(at(1), nil, false)
	table.Apply(at(1), &Report{Only: []OnlyReport{{"f", "v1", -5}, {"f", "v1", 1 << 60}}}, false)
	_, certain := table.OnlyVersion(at(1), "f")
	is.True(!certain)
}

// outOfStep is a host that may know an older list of endpoints than the others.
type outOfStep struct {
	*Table
	cut      bool
	versions []string
}

// read gives the host the list of endpoints, unless it is cut off.
func (h *outOfStep) read(now time.Time, versions []string) {
	if h.cut {
		return
	}
	h.versions = versions
	h.SetEndpoints(now, listed(versions...))
	h.Confirm(now)
}

// TestHostsOutOfStepNameNoOtherVersion guards against hosts that are cut off, or stand still, while a version joins, and
// take up streams that began there at others. Hosts read the list when a caller comes, and name a version only if
// they could.
func TestHostsOutOfStepNameNoOtherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		loss := rapid.Float64Range(0, 1).Draw(t, "loss")
		versions := []string{"v1"}
		var hosts []*outOfStep
		for range 3 {
			hosts = append(hosts, &outOfStep{Table: NewTable(epoch, true)})
		}
		began := map[Key]string{}
		// A version is there for longer than maxConfirmationGap.
		const least = 11
		changed := 0
		for i := range 400 {
			now := at(float64(i) * .25)
			if random.IntN(40) == 0 && i-changed >= least {
				versions = [][]string{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}}[random.IntN(4)]
				changed = i
			}
			for _, h := range hosts {
				if random.IntN(20) == 0 {
					h.cut = !h.cut
				}
				if random.IntN(60) == 0 {
					*h = outOfStep{Table: NewTable(now, false), cut: h.cut}
				}
				h.read(now, versions)
			}
			key := Key(fmt.Sprint(i))
			if server := hosts[random.IntN(3)]; !server.cut {
				began[key] = versions[random.IntN(len(versions))]
				server.Began(now, key, Origin{"f", began[key]})
			}
			exchange(random, now, loss, []*Table{hosts[0].Table, hosts[1].Table, hosts[2].Table})
			taken := Key(fmt.Sprint(max(i-random.IntN(100), 0)))
			for _, h := range hosts {
				version, ok := named(h.Table, now, taken)
				if _, known := h.Find(taken); !known && h.ConfirmedAt().Before(now) {
					continue
				}
				if ok && began[taken] != "" && version != began[taken] {
					t.Fatalf("stream %s began at %s, a host says %s", taken, began[taken], version)
				}
			}
		}
	})
}

// TestNoHostNamesAnotherVersionThanThatOfTheStream plays hosts that start and stop hearing each other
// while versions come and go.
func TestNoHostNamesAnotherVersionThanThatOfTheStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		loss := rapid.Float64Range(0, 1).Draw(t, "loss")
		versions := []string{"v1"}
		hosts := []*Table{NewTable(epoch, true), NewTable(epoch, true), NewTable(epoch, true)}
		began := map[Key]string{}
		for i := range 400 {
			now := at(float64(i) * .25)
			if random.IntN(40) == 0 {
				versions = [][]string{{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}}[random.IntN(4)]
			}
			if random.IntN(60) == 0 {
				hosts[random.IntN(3)] = NewTable(now, false)
			}
			for _, h := range hosts {
				h.SetEndpoints(now, listed(versions...))
			}
			key := Key(fmt.Sprint(i))
			began[key] = versions[random.IntN(len(versions))]
			hosts[random.IntN(3)].Began(now, key, Origin{"f", began[key]})
			exchange(random, now, loss, hosts)
			taken := Key(fmt.Sprint(max(i-random.IntN(100), 0)))
			for _, h := range hosts {
				if version, ok := named(h, now, taken); ok && version != began[taken] {
					t.Fatalf("stream %s began at %s, a host says %s", taken, began[taken], version)
				}
			}
		}
	})
}

// exchange has each host tell the others what began lately, unless the message is lost.
func exchange(random *rand.Rand, now time.Time, loss float64, hosts []*Table) {
	for i, from := range hosts {
		for j, to := range hosts {
			if i != j && random.Float64() >= loss {
				to.Apply(now, from.Report(now, now.Add(-time.Second), true), false)
			}
		}
	}
}

// named returns the version at which a host lets a stream continue; false if it does not.
func named(h *Table, now time.Time, key Key) (string, bool) {
	if o, known := h.Find(key); known {
		return o.Version, true
	}
	return h.OnlyVersion(now, "f")
}

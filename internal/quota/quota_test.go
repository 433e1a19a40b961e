package quota

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
)

// TestMain gives property tests a fixed seed unless -rapid.seed names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1000, 0)

func organisations(rate, burst float64) []fleet.Organisation {
	return []fleet.Organisation{{Name: "o", Quota: fleet.TokenQuota{PerSecond: rate, Burst: burst}}}
}

func TestBucketRefusesWithATimeToComeBack(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Configure(epoch, organisations(100, 200))
	_, ok := l.Take(epoch, "o", 150)
	is.True(ok)
	wait, ok := l.Take(epoch, "o", 150)
	is.True(!ok)
	is.Equal(wait, time.Second)
	_, ok = l.Take(epoch.Add(wait), "o", 150)
	is.True(ok)
}

// TestHostsThatHearEachOtherKeepTheQuotaTogether plays hosts under any load, with reports
// between them: in no window is more spent than the quota and what a report's lag lets by.
func TestHostsThatHearEachOtherKeepTheQuotaTogether(t *testing.T) {
	const rate, burst, step, window = 1000.0, 1000.0, 50 * time.Millisecond, 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 9).Draw(t, "hosts")
		cost := rapid.Float64Range(10, 200).Draw(t, "cost")
		ledgers := make([]*Ledger, hosts)
		for i := range ledgers {
			ledgers[i] = NewLedger()
			ledgers[i].Configure(epoch, organisations(rate, burst))
		}
		var spent []float64
		for tick := range 400 {
			now := epoch.Add(time.Duration(tick) * step)
			total := 0.0
			for i, l := range ledgers {
				if _, ok := l.Take(now, "o", cost); ok {
					total += cost
				}
				if tick%5 == i%5 {
					share(now, ledgers, i)
				}
			}
			spent = append(spent, total)
		}
		lag := 5.0 * float64(hosts) * cost
		allowed := rate*window.Seconds() + burst + lag
		for at := 0; at+int(window/step) < len(spent); at++ {
			sum := 0.0
			for _, n := range spent[at : at+int(window/step)] {
				sum += n
			}
			if sum > allowed {
				t.Fatalf("%v spent from tick %d, %v allowed", sum, at, allowed)
			}
		}
	})
}

func share(now time.Time, ledgers []*Ledger, from int) {
	for i, l := range ledgers {
		if i != from {
			l.Heard(now, Spender{Name: string(rune('a' + from))}, ledgers[from].Statement(now))
		}
	}
}

// TestRestartedHostTakesOverWhatIsLeft: a host does not begin with a full bucket if a peer
// knows that it is empty.
func TestRestartedHostTakesOverWhatIsLeft(t *testing.T) {
	is := is.New(t)
	old, fresh := NewLedger(), NewLedger()
	old.Configure(epoch, organisations(10, 1000))
	fresh.Configure(epoch, organisations(10, 1000))
	_, ok := old.Take(epoch, "o", 1000)
	is.True(ok)
	fresh.Heard(epoch, Spender{Name: "old"}, old.Statement(epoch))
	_, ok = fresh.Take(epoch, "o", 100)
	is.True(!ok)
}

// TestHostThatHearsNobodyUsesItsPart: halves that do not hear each other spend no more
// than the whole.
func TestHostThatHearsNobodyUsesItsPart(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Configure(epoch, organisations(100, 100))
	_, ok := l.Take(epoch, "o", 100)
	is.True(ok)
	l.SetPart(epoch, 0.25)
	_, ok = l.Take(epoch.Add(time.Second), "o", 50)
	is.True(!ok)
	_, ok = l.Take(epoch.Add(2*time.Second), "o", 50)
	is.True(ok)
}

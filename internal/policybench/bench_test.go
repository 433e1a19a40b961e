package policybench

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRunIsRepeatable(t *testing.T) {
	is := is.New(t)
	first := Run(Vazduh(), Reclaimed, Production, 5, 3)
	second := Run(Vazduh(), Reclaimed, Production, 5, 3)
	is.True(reflect.DeepEqual(first, second))
	is.True(first.Goodput > 0)
}

func TestEngineQueuesPrefillsAndCaches(t *testing.T) {
	is := is.New(t)
	site := Vazduh()
	site.Slots = 1
	c := newClock()
	hits := []int{}
	e := &fakeEngine{clock: c, site: site, cache: newPrefixCache(site.CacheTokens)}
	e.onPrefill = func(_ *request, hit int) { hits = append(hits, hit) }
	var firsts, ends []time.Duration
	random := rand.New(rand.NewPCG(1, 1))
	r := site.draw(random, c.now)
	r.outputTokens = 11
	for range 2 {
		copied := *r
		e.submit(&attempt{
			request: &copied,
			onFirst: func() { firsts = append(firsts, c.now.Sub(epoch)) },
			onDone:  func() { ends = append(ends, c.now.Sub(epoch)) },
		})
	}
	e.publish()
	is.Equal(e.report.Running, 1)
	is.Equal(e.report.Queued, 1)
	c.runUntil(epoch.Add(time.Minute))
	is.Equal(hits, []int{0, 6000})
	cold := 6200 * time.Second / 8000
	warm := 200 * time.Second / 8000
	decode := 10 * site.TokenTime
	is.Equal(firsts, []time.Duration{cold, cold + decode + warm})
	is.Equal(ends, []time.Duration{cold + decode, cold + decode + warm + decode})
}

func TestPrefixCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	cache := newPrefixCache(300)
	first := &request{prefixes: []uint64{1, 2}, prefixTokens: []int{100, 200}}
	second := &request{prefixes: []uint64{1, 3}, prefixTokens: []int{100, 250}}
	is.Equal(cache.lookup(first), 0)
	is.Equal(cache.lookup(second), 100)
	is.Equal(cache.match(first), 100)
	is.Equal(cache.match(second), 250)
	is.True(cache.used <= cache.capacity)
	is.Equal(len(cache.events), 4)
	is.True(cache.events[3].Dropped && cache.events[3].Prefix == 2)
}

func TestBurstsKeepTheMeanRate(t *testing.T) {
	is := is.New(t)
	for _, site := range []*Site{Agroprecios(), Vazduh()} {
		sum, steps := 0.0, int(site.BurstInterval/time.Second)
		for i := range steps {
			sum += site.rate(time.Duration(i) * time.Second)
		}
		mean := sum / float64(steps)
		is.True(mean > 0.999 && mean < 1.001)
	}
}

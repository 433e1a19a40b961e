package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	simTick     = 10 * time.Millisecond
	simWork     = 200 * time.Millisecond
	simAim      = 600 * time.Millisecond
	simReports  = 250 * time.Millisecond
	simRefresh  = 100 * time.Millisecond
	steadyCount = 7
)

// simCall is a request that endpoints work on or that waits for them.
type simCall struct {
	organisation string
	host         int
	sent, ends   time.Time
	inFlight     int
	// counted is set if the call was sent while calls are counted.
	counted bool
}

// tallied counts calls.
type tallied struct{ sent, refused, inTime int }

// simulated is a site of hosts in groups that share a pool of slots.
type simulated struct {
	hosts     []*Table
	alive     []bool
	groupSize int
	// mute has no message arrive.
	mute           bool
	slots          int
	running, queue []simCall
	now            time.Time
	random         *rand.Rand
	counts         map[string]*tallied
	sentReports    []*Report
	counting       bool
}

func newSimulated(hosts, groupSize, slots int, seed uint64) *simulated {
	s := &simulated{groupSize: groupSize, slots: slots, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		counts: map[string]*tallied{}, sentReports: make([]*Report, hosts)}
	for range hosts {
		t := NewTable()
		t.Configure(simOrganisations(), []string{"f"})
		s.hosts, s.alive = append(s.hosts, t), append(s.alive, true)
	}
	return s
}

func simOrganisations() []Organisation {
	out := []Organisation{{Name: "flood"}}
	for i := range steadyCount {
		out = append(out, Organisation{Name: fmt.Sprint("steady", i)})
	}
	return out
}

// simLoad is calls of organisations by chance, through some hosts.
type simLoad struct {
	perSecond     float64
	organisations []string
	hosts         []int
}

func (s *simulated) run(d time.Duration, loads ...simLoad) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simTick) {
		for _, l := range loads {
			for n := s.poisson(l.perSecond * simTick.Seconds()); n > 0; n-- {
				s.arrive(l.hosts[s.random.IntN(len(l.hosts))], l.organisations[s.random.IntN(len(l.organisations))])
			}
		}
		s.work()
		if s.every(simReports) {
			s.exchange()
		}
		if s.every(simRefresh) {
			s.refresh()
		}
	}
}

func (s *simulated) every(d time.Duration) bool { return s.now.UnixNano()%int64(d) == 0 }

func (s *simulated) poisson(mean float64) int {
	n, p, limit := 0, s.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.random.Float64()
	}
	return n
}

// arrive sends a call to a host, or to the next one that is alive.
func (s *simulated) arrive(host int, organisation string) {
	for !s.alive[host] {
		host = (host + 1) % len(s.hosts)
	}
	c := s.counts[organisation]
	if c == nil {
		c = &tallied{}
		s.counts[organisation] = c
	}
	if s.counting {
		c.sent++
	}
	d := s.hosts[host].Decide(s.now, s.random.Float64(), Request{Fleet: "f", Route: "r", Organisation: organisation})
	inFlight := len(s.running) + len(s.queue)
	wait := time.Duration(float64(max(inFlight-s.slots+1, 0)) / float64(s.slots) * float64(simWork))
	if !d.Admit || d.Limited && !MayWait(wait, simAim) {
		if s.counting {
			c.refused++
		}
		return
	}
	s.queue = append(s.queue, simCall{organisation: organisation, host: host, sent: s.now, counted: s.counting, inFlight: inFlight})
}

// work has the endpoints end and begin calls.
func (s *simulated) work() {
	left := s.running[:0]
	for _, c := range s.running {
		if c.ends.After(s.now) {
			left = append(left, c)
			continue
		}
		s.served(&c)
	}
	s.running = left
	for len(s.running) < s.slots && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		c.ends = s.now.Add(simWork)
		s.running = append(s.running, c)
	}
}

func (s *simulated) served(c *simCall) {
	took := s.now.Sub(c.sent)
	if c.counted && took <= simAim {
		s.counts[c.organisation].inTime++
	}
	s.hosts[c.host].RecordServed(s.now, Served{
		Fleet: "f", Route: "r", Seconds: took.Seconds(), InFlight: c.inFlight, Slots: s.slots,
	})
}

func (s *simulated) refresh() {
	alive := 0
	for _, a := range s.alive {
		if a {
			alive++
		}
	}
	part := float64(alive) / float64(len(s.hosts))
	if s.mute {
		part = 1 / float64(len(s.hosts))
	}
	for i, h := range s.hosts {
		if s.alive[i] {
			h.SetRoom(s.now, "f", Room{
				Capacity: Cost{Slots: float64(s.slots)}, ReachablePart: part,
				Fullness: Cost{Slots: float64(len(s.running)+len(s.queue)) / float64(s.slots)},
			})
		}
	}
}

func hostName(i int) string { return fmt.Sprint("h", i) }

// leader returns the first host of a host's group that is alive.
func (s *simulated) leader(host int) int {
	for i := host / s.groupSize * s.groupSize; ; i++ {
		if s.alive[i] {
			return i
		}
	}
}

// exchange has followers report to leaders, leaders to each other, and leaders send digests to followers.
func (s *simulated) exchange() {
	if s.mute {
		return
	}
	for i, h := range s.hosts {
		if !s.alive[i] {
			continue
		}
		s.sentReports[i] = h.Report(s.now, ScopeGroup)
		if lead := s.leader(i); lead != i {
			s.hosts[lead].Apply(s.now, hostName(i), true, s.sentReports[i])
		}
	}
	s.eachPair(func(from, to int) {
		if s.leader(from) == from && s.leader(to) == to {
			s.hosts[to].Apply(s.now, hostName(from), false, s.hosts[from].Report(s.now, ScopeGroup))
		}
	})
	s.eachPair(func(from, to int) {
		if s.leader(to) == from {
			s.hosts[to].Apply(s.now, hostName(from), false, Subtract(s.hosts[from].Report(s.now, ScopeAll), s.sentReports[to]))
		}
	})
}

func (s *simulated) eachPair(f func(from, to int)) {
	for from := range s.hosts {
		for to := range s.hosts {
			if from != to && s.alive[from] && s.alive[to] {
				f(from, to)
			}
		}
	}
}

// steady returns the sum of all organisations but the flood.
func (s *simulated) steady() tallied {
	var sum tallied
	for name, c := range s.counts {
		if name != "flood" {
			sum.sent, sum.refused, sum.inTime = sum.sent+c.sent, sum.refused+c.refused, sum.inTime+c.inTime
		}
	}
	return sum
}

// judge compares what the organisations got in a number of seconds with what was theirs.
func (s *simulated) judge(t *testing.T, seconds, minSteady, minLeft float64) {
	t.Helper()
	is := is.New(t)
	steady, flood := s.steady(), *s.counts["flood"]
	left := min(float64(s.slots)/simWork.Seconds()*seconds-float64(steady.sent), float64(flood.sent))
	t.Logf("steady %+v, flood %+v, %.0f left", steady, flood, left)
	is.True(float64(steady.inTime) >= minSteady*float64(steady.sent))
	is.True(float64(flood.inTime) >= minLeft*left)
}

func hostsFrom(from, to int) []int {
	var out []int
	for i := from; i < to; i++ {
		out = append(out, i)
	}
	return out
}

func steadyNames() []string {
	var out []string
	for _, o := range simOrganisations()[1:] {
		out = append(out, o.Name)
	}
	return out
}

// simCase is a load of organisations beside one that floods.
type simCase struct {
	name                        string
	hosts, groupSize, floodFrom int
	slots                       int
	killed                      int
	mute                        bool
	minSteady, minLeft          float64
}

// TestOthersKeepTheirShareBesideAFlood offers 0.6 of what the endpoints can run, and 0.72 more of one organisation.
func TestOthersKeepTheirShareBesideAFlood(t *testing.T) {
	for _, c := range []simCase{
		{name: "4 hosts, all", hosts: 4, groupSize: 1, floodFrom: 0, slots: 32, minSteady: .97, minLeft: .6},
		{name: "4 hosts, one", hosts: 4, groupSize: 1, floodFrom: 3, slots: 32, minSteady: .97, minLeft: .6},
		{name: "66 hosts, all", hosts: 66, groupSize: 11, floodFrom: 0, slots: 320, minSteady: .97, minLeft: .6},
		{name: "66 hosts, one", hosts: 66, groupSize: 11, floodFrom: 65, slots: 320, minSteady: .97, minLeft: .6},
		{name: "half of 66 hosts killed, all", hosts: 66, groupSize: 11, floodFrom: 0, slots: 320, killed: 33, minSteady: .97, minLeft: .6},
		{name: "half of 66 hosts killed, one", hosts: 66, groupSize: 11, floodFrom: 65, slots: 320, killed: 33, minSteady: .97, minLeft: .6},
		{name: "4 hosts, no messages, all", hosts: 4, groupSize: 1, floodFrom: 0, slots: 32, mute: true, minSteady: .9, minLeft: .6},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newSimulated(c.hosts, c.groupSize, c.slots, seed)
				s.mute = c.mute
				c.run(t, s)
			}
		})
	}
}

func (c simCase) run(t *testing.T, s *simulated) {
	t.Helper()
	capacity := float64(c.slots) / simWork.Seconds()
	steady := simLoad{0.6 * capacity, steadyNames(), hostsFrom(0, c.hosts)}
	flood := simLoad{0.72 * capacity, []string{"flood"}, hostsFrom(c.floodFrom, c.hosts)}
	s.run(3*time.Second, steady)
	s.run(2*time.Second, steady, flood)
	for i := range c.killed {
		s.alive[i] = false
	}
	s.counting = true
	s.run(8*time.Second, steady, flood)
	s.counting = false
	s.run(time.Second)
	s.judge(t, 8, c.minSteady, c.minLeft)
}

// TestNothingIsRefusedWithRoomForAll offers 0.8 of what the endpoints can run, half of it of one organisation.
func TestNothingIsRefusedWithRoomForAll(t *testing.T) {
	is := is.New(t)
	s := newSimulated(4, 1, 64, 1)
	s.counting = true
	s.run(20*time.Second, simLoad{128, steadyNames(), hostsFrom(0, 4)}, simLoad{128, []string{"flood"}, hostsFrom(0, 4)})
	steady, flood := s.steady(), *s.counts["flood"]
	is.Equal(steady.refused+flood.refused, 0)
}

// TestRoomIsGivenBackWithinASecond has the others return while one organisation uses all there is.
func TestRoomIsGivenBackWithinASecond(t *testing.T) {
	is := is.New(t)
	s := newSimulated(4, 1, 32, 1)
	flood := simLoad{230, []string{"flood"}, hostsFrom(0, 4)}
	s.run(6*time.Second, flood)
	s.counting = true
	s.run(4*time.Second, flood)
	s.counting = false
	s.run(time.Second, flood)
	used := s.counts["flood"]
	t.Logf("alone: %+v", *used)
	is.True(float64(used.inTime) > 0.75*160*4)
	s.counting = false
	steady := simLoad{96, steadyNames(), hostsFrom(0, 4)}
	s.run(time.Second, flood, steady)
	s.counting = true
	s.run(4*time.Second, flood, steady)
	s.counting = false
	s.run(time.Second)
	got := s.steady()
	t.Logf("others: %+v", got)
	is.True(float64(got.inTime) >= 0.97*float64(got.sent))
}

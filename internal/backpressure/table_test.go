package backpressure

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLeavingIsOfARunAndNotOfAnAddress(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	old := Instance{ID: "i-1", Address: "10.0.0.1:1", StartMillis: 1}
	table.Observe(epoch, 0, old, Signal{Leaving: true})
	is.True(table.IsLeaving(old))
	for _, other := range []Instance{
		{ID: "i-2", Address: old.Address, StartMillis: 2},
		{ID: "i-1", Address: old.Address, StartMillis: 2},
		{ID: "i-1", Address: "10.0.0.2:1", StartMillis: 1},
	} {
		is.True(!table.IsLeaving(other))
		is.True(table.Endpoint(other).Verdict(epoch).Allowed)
	}
}

func TestUnlistedEndpointStaysLeaving(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	leaving, open := Instance{ID: "i-1"}, Instance{ID: "i-2"}
	shut := Instance{ID: "i-3"}
	table.Observe(epoch, 0, leaving, Signal{Leaving: true})
	table.Observe(epoch, 0, shut, closed(time.Minute))
	table.Endpoint(open)
	table.Retain(nil)
	is.Equal(len(table.endpoints), 2)
	is.True(table.IsLeaving(leaving))
	is.True(!table.Endpoint(shut).Verdict(epoch).Allowed)
	later := epoch.Add(2 * time.Minute)
	is.Equal(len(acquireAll(table.Endpoint(shut), later)), 1)
	table.Retain(nil)
	is.Equal(len(acquireAll(table.Endpoint(shut), later)), 0) // the return goes on where it was
}

func TestMemoryOfUnlistedEndpointsIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	for i := range maxUnlisted + 10 {
		at := epoch.Add(time.Duration(i) * time.Second)
		table.Observe(at, 0, Instance{ID: fmt.Sprint(i)}, Signal{Leaving: true})
	}
	table.Retain(nil)
	is.Equal(len(table.endpoints), maxUnlisted)
	is.True(!table.IsLeaving(Instance{ID: "9"}))
	is.True(table.IsLeaving(Instance{ID: "10"}))
}

func TestReportCarriesItsSourceAndAge(t *testing.T) {
	is := is.New(t)
	one, two, three := NewTable("one"), NewTable("two"), NewTable("three")
	i := Instance{ID: "i-1"}
	one.Observe(epoch, 0, i, Signal{Leaving: true, RetryAfter: time.Minute})
	later := epoch.Add(time.Second)
	is.Equal(len(two.ApplyReports(later, one.LeavingReports(later))), 1)
	is.Equal(len(two.ApplyReports(later, one.LeavingReports(later))), 0)
	evenLater := later.Add(time.Second)
	reports := two.LeavingReports(evenLater)
	is.Equal(reports, []LeavingReport{{Instance: i, Source: "one", AgeMillis: 2000}})
	three.ApplyReports(evenLater, reports)
	is.True(three.IsLeaving(i))
	is.Equal(len(three.LeavingReports(epoch.Add(reportRetention))), 0) // no longer reported, but known
	is.True(three.IsLeaving(i))
}

func TestMalformedReportIsIgnored(t *testing.T) {
	is := is.New(t)
	table := NewTable("h")
	is.Equal(len(table.ApplyReports(epoch, []LeavingReport{{Source: "x"}, {Instance: Instance{ID: "i"}, AgeMillis: -1}})), 0)
	is.Equal(len(table.endpoints), 0)
}

// simulation plays hosts that send requests to endpoints, which leave or close themselves in their responses
// alone. Messages between hosts are lost, and lists of endpoints are old.
type simulation struct {
	now       time.Time
	hosts     []*Table
	instances []Instance
	leaving   map[Instance]bool
	// told is when a host has read that an endpoint leaves, and until when it is to send nothing.
	told  map[contact]time.Time
	until map[contact]time.Time
	// limit bounds the requests in progress that were sent since until; absent without a bound.
	limit map[contact]int
	// open are the requests in progress.
	open []openRequest
}

type contact struct {
	host     int
	instance Instance
}

type openRequest struct {
	contact
	permit *Permit
	sentAt time.Time
}

func newSimulation(hosts, endpoints int) *simulation {
	s := &simulation{
		now: epoch, leaving: map[Instance]bool{},
		told: map[contact]time.Time{}, until: map[contact]time.Time{}, limit: map[contact]int{},
	}
	for i := range hosts {
		s.hosts = append(s.hosts, NewTable(fmt.Sprint("host", i)))
	}
	for i := range endpoints {
		s.instances = append(s.instances, Instance{ID: fmt.Sprint("i-", i), Address: "a", StartMillis: 1})
	}
	return s
}

// send sends a request if the host's table allows it, which the rules must allow too.
func (s *simulation) send(t *rapid.T, c contact) {
	permit, v := s.hosts[c.host].Endpoint(c.instance).Acquire(s.now)
	if (permit != nil) != v.Allowed {
		t.Fatal("verdict and permit differ")
	}
	if permit == nil {
		return
	}
	if at, told := s.told[c]; told {
		t.Fatalf("sent to %s, which said %v ago that it leaves", c.instance.ID, s.now.Sub(at))
	}
	if s.now.Before(s.until[c]) {
		t.Fatalf("sent to %s, which is closed for another %v", c.instance.ID, s.until[c].Sub(s.now))
	}
	s.open = append(s.open, openRequest{c, permit, s.now})
	if limit, limited := s.limit[c]; limited && s.inProgress(c) > limit {
		t.Fatalf("more than %d requests in progress at the return", limit)
	}
}

// inProgress counts the requests that were sent since the endpoint was last closed.
func (s *simulation) inProgress(c contact) int {
	count := 0
	for _, r := range s.open {
		if r.contact == c && !r.sentAt.Before(s.until[c]) {
			count++
		}
	}
	return count
}

// answer ends a request with a response, or without one.
func (s *simulation) answer(t *rapid.T) {
	if len(s.open) == 0 {
		return
	}
	at := rapid.IntRange(0, len(s.open)-1).Draw(t, "request")
	r := s.open[at]
	s.open = append(s.open[:at], s.open[at+1:]...)
	defer r.permit.Release()
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	signal := Signal{Leaving: s.leaving[r.instance]}
	if rapid.IntRange(0, 3).Draw(t, "closes") == 0 {
		signal.RetryAfter = time.Duration(rapid.IntRange(1, 3000).Draw(t, "for")) * time.Millisecond
	}
	s.hosts[r.host].Observe(s.now, rapid.Float64Range(0, 1).Draw(t, "delay"), r.instance, signal)
	if signal.Leaving {
		s.told[r.contact] = s.now
	}
	if end := s.now.Add(signal.RetryAfter); signal.RetryAfter > 0 && end.After(s.until[r.contact]) {
		s.until[r.contact], s.limit[r.contact] = end, 1
	}
	if signal.RetryAfter == 0 {
		r.permit.Answered()
		s.raiseLimit(r)
	}
}

// raiseLimit lets twice as many requests go on after an answer to one that was sent since the return.
func (s *simulation) raiseLimit(r openRequest) {
	limit, limited := s.limit[r.contact]
	if !limited || r.sentAt.Before(s.until[r.contact]) {
		return
	}
	s.limit[r.contact] = 2 * limit
	if 2*limit >= fullWindow {
		delete(s.limit, r.contact)
	}
}

// exchange passes the reports of one host to another, which is bound by it too.
func (s *simulation) exchange(from, to int) {
	reports := s.hosts[from].LeavingReports(s.now)
	s.hosts[to].ApplyReports(s.now, reports)
	for _, n := range reports {
		c := contact{to, n.Instance}
		if _, told := s.told[c]; !told {
			s.told[c] = s.now
		}
	}
}

func TestNoRequestIsSentToALeavingOrClosedEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 3).Draw(t, "hosts"), rapid.IntRange(1, 2).Draw(t, "endpoints"))
		host := rapid.IntRange(0, len(s.hosts)-1)
		instance := rapid.SampledFrom(s.instances)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"send":     func(t *rapid.T) { s.send(t, contact{host.Draw(t, "host"), instance.Draw(t, "endpoint")}) },
			"send 2":   func(t *rapid.T) { s.send(t, contact{host.Draw(t, "host"), instance.Draw(t, "endpoint")}) },
			"answer":   s.answer,
			"answer 2": s.answer,
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					s.leaving[instance.Draw(t, "endpoint")] = true
				}
			},
			"exchange": func(t *rapid.T) { s.exchange(host.Draw(t, "from"), host.Draw(t, "to")) },
			"list": func(t *rapid.T) {
				s.hosts[host.Draw(t, "host")].Retain(rapid.SliceOf(instance).Draw(t, "listed"))
			},
		})
	})
}

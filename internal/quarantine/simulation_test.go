package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	simulationStep = 25 * time.Millisecond
	// reportEvery and messageDelay are those of hosts that form a full mesh.
	reportEvery  = 250 * time.Millisecond
	messageDelay = 25 * time.Millisecond
	// contactTime is how long after toleratedCrashes of a part, or toleratedRequestCrashes of a request, hosts
	// may still send it, and maxLate how many may arrive later, those of probes included.
	contactTime             = 3 * time.Second
	toleratedCrashes        = 5
	toleratedRequestCrashes = 3
	maxLate                 = 3
)

// simulation plays hosts that send good and bad requests to endpoints, which the bad ones crash.
type simulation struct {
	random    *rand.Rand
	hosts     []*Table
	endpoints []*simulatedEndpoint
	messages  []simulatedMessage
	now       time.Time
	// loss is the share of messages lost, and crashRate that of ordinary crashes in a second.
	loss, crashRate float64
	// tolerated is the number of crashes after which bad requests are judged, and lastTolerated the time of
	// the last of them.
	tolerated, crashes int
	lastTolerated      time.Time
	// resends has hosts send a bad request to a second endpoint when the first has crashed.
	resends bool
	// late counts the bad requests that arrive contactTime after lastTolerated.
	late int
	// good and refused count the good requests from that time on.
	good, refused int
}

type simulatedEndpoint struct {
	name    string
	run     int
	downTo  time.Time
	running []simulatedRequest
}

func (e *simulatedEndpoint) instance() string { return fmt.Sprint(e.name, ".", e.run) }

type simulatedRequest struct {
	host    *Table
	request Request
	bad     bool
	resent  bool
	sentAt  time.Time
	endsAt  time.Time
}

type simulatedMessage struct {
	to     *Table
	report *Report
	at     time.Time
}

func (s *simulation) judged() bool {
	return !s.lastTolerated.IsZero() && s.now.Sub(s.lastTolerated) >= contactTime
}

// send sends a request through a random host.
func (s *simulation) send(bad bool, r Request) {
	probing := s.random.IntN(len(s.hosts))
	host := s.hosts[probing]
	allowed := host.Check(s.now, r, func() bool { return probing == 0 }).Allowed
	if !bad && s.judged() {
		s.good++
		if !allowed {
			s.refused++
		}
	}
	if allowed {
		s.dispatch(simulatedRequest{host: host, request: r, bad: bad, sentAt: s.now})
	}
}

// dispatch sends a request to a random endpoint that is up, if there is one.
func (s *simulation) dispatch(r simulatedRequest) {
	var up []*simulatedEndpoint
	for _, e := range s.endpoints {
		if !s.now.Before(e.downTo) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[s.random.IntN(len(up))]
	if r.bad && s.judged() {
		s.late++
	}
	duration := time.Duration(200+s.random.IntN(1500)) * time.Millisecond
	if r.bad {
		duration = time.Duration(50+s.random.IntN(100)) * time.Millisecond
	}
	r.endsAt = s.now.Add(duration)
	e.running = append(e.running, r)
}

func (s *simulation) crash(e *simulatedEndpoint) {
	running := e.running
	e.running = nil
	for _, r := range running {
		r.host.Terminated(s.now, e.instance(), r.sentAt, r.request)
	}
	e.downTo = s.now.Add(2 * time.Second)
	e.run++
	for _, r := range running {
		if r.bad && s.resends && !r.resent && r.host.Check(s.now, r.request, nil).Allowed {
			s.dispatch(simulatedRequest{host: r.host, request: r.request, bad: true, resent: true, sentAt: s.now})
		}
	}
}

func (s *simulation) runEndpoint(e *simulatedEndpoint) {
	if s.random.Float64() < s.crashRate*simulationStep.Seconds()/float64(len(s.endpoints)) {
		s.crash(e)
	}
	var left []simulatedRequest
	for _, r := range e.running {
		switch {
		case s.now.Before(r.endsAt):
			left = append(left, r)
		case r.bad:
			s.crashes++
			if s.crashes == s.tolerated {
				s.lastTolerated = s.now
			}
			s.crash(e)
			return
		default:
			r.host.Completed(s.now, e.instance(), r.sentAt, r.request, false)
		}
	}
	e.running = left
}

func (s *simulation) exchange(i int) {
	if s.now.Sub(epoch)%reportEvery == 0 {
		for _, to := range s.hosts {
			if to != s.hosts[i] && s.random.Float64() >= s.loss {
				s.messages = append(s.messages, simulatedMessage{to, s.hosts[i].Report(s.now), s.now.Add(messageDelay)})
			}
		}
	}
}

func (s *simulation) deliver() {
	var left []simulatedMessage
	for _, m := range s.messages {
		if s.now.Before(m.at) {
			left = append(left, m)
			continue
		}
		m.to.Apply(s.now, "", m.report)
	}
	s.messages = left
}

// newSimulation draws hosts, endpoints, losses and ordinary crashes.
func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		random:    rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		now:       epoch,
		loss:      rapid.Float64Range(0, .3).Draw(t, "loss"),
		crashRate: rapid.Float64Range(0, .2).Draw(t, "ordinary crashes a second"),
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
		s.hosts = append(s.hosts, NewTable(fmt.Sprint("h", i), 1))
	}
	for i := range rapid.IntRange(6, 40).Draw(t, "endpoints") {
		s.endpoints = append(s.endpoints, &simulatedEndpoint{name: fmt.Sprint("e", i)})
	}
	return s
}

// run plays a minute of requests, which the functions return, and judges them.
func (s *simulation) run(t *rapid.T, bad, good func(i int) Request) {
	badRate := rapid.Float64Range(.2, 4).Draw(t, "bad requests a second")
	goodRate := rapid.Float64Range(20, 80).Draw(t, "good requests a second")
	for i := 0; s.now.Before(epoch.Add(time.Minute)); i++ {
		s.now = s.now.Add(simulationStep)
		if s.random.Float64() < badRate*simulationStep.Seconds() {
			s.send(true, bad(i))
		}
		if s.random.Float64() < goodRate*simulationStep.Seconds() {
			s.send(false, good(i))
		}
		for _, e := range s.endpoints {
			s.runEndpoint(e)
		}
		for h := range s.hosts {
			s.exchange(h)
		}
		s.deliver()
	}
	if s.late > maxLate {
		t.Fatalf("%d bad requests arrived after %d crashes", s.late, s.crashes)
	}
	if s.refused*20 > s.good {
		t.Fatalf("%d of %d good requests were refused", s.refused, s.good)
	}
}

// TestBadPartIsToldFromItsCompanions has bad requests share the first part and the organisation's part with
// good ones.
func TestBadPartIsToldFromItsCompanions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.tolerated = toleratedCrashes
		request := func(i int, part string) Request {
			return named(fmt.Sprint("request ", i), "first", fmt.Sprint("o", s.random.IntN(4)), part)
		}
		s.run(t,
			func(i int) Request { return request(i, "bad") },
			func(i int) Request { return request(i, fmt.Sprint("good", s.random.IntN(30))) })
	})
}

// TestBadRequestIsToldFromItsCompanions has one request come again and again. Good requests, of which some
// come again too, have the same prompt or none.
func TestBadRequestIsToldFromItsCompanions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.tolerated, s.resends = toleratedRequestCrashes, true
		var parts []string
		if rapid.Bool().Draw(t, "with a prompt") {
			parts = []string{"first", "second"}
		}
		s.run(t,
			func(int) Request { return named("bad", parts...) },
			func(i int) Request {
				if s.random.IntN(2) == 0 {
					return named(fmt.Sprint("popular ", s.random.IntN(5)), parts...)
				}
				return named(fmt.Sprint("request ", i), parts...)
			})
	})
}

// TestMessagesInAnyOrderLeadToTheSameEntries plays random observations at two hosts that exchange them.
func TestMessagesInAnyOrderLeadToTheSameEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Table{NewTable("h0", 1), NewTable("h1", 1), NewTable("h2", 1)}
		now, exchangedAt := epoch, epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if now.Sub(exchangedAt) > reportRetention/2 {
				exchangeAll(now, hosts)
				exchangedAt = now
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			host := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			p := prompt(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"))
			p.Fingerprint = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "request")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				host.Completed(now, "e", longBefore, p, false)
			case 1:
				host.Apply(now, "h", hosts[0].Report(now))
			default:
				host.Terminated(now, fmt.Sprint("e", rapid.IntRange(0, 9).Draw(t, "endpoint")), longBefore, p)
			}
		}
		exchangeAll(now, hosts)
		for _, host := range hosts[1:] {
			compareVerdicts(t, now, hosts[0], host)
		}
	})
}

// exchangeAll has hosts tell each other all that they know.
func exchangeAll(now time.Time, hosts []*Table) {
	for range 2 {
		for _, from := range hosts {
			for _, to := range hosts {
				to.Apply(now, "h", from.Report(now))
			}
		}
	}
}

// compareVerdicts checks that two hosts refuse the same requests.
func compareVerdicts(t *rapid.T, now time.Time, one, other *Table) {
	for _, r := range []Request{prompt("a"), prompt("b"), prompt("c"), named("x"), named("y")} {
		if one.Check(now, r, nil).Allowed != other.Check(now, r, nil).Allowed {
			t.Fatalf("hosts differ about %v", r)
		}
	}
}

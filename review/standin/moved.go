package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	host     = "ficu95.example"
	apiKey   = "i9n73hh2b9wu3fexd9dn"
	tenant   = "hule930"
	path     = "/lohu930/2f"
	prefix   = "/lohu930/"
	deadline = 15 * time.Second
)

// holder is a tenant with its keys.
type holder struct {
	Name string
	Keys []string
}

// operatorsConfiguration is the operator's configuration with one stream route, which leads to a service.
type operatorsConfiguration struct {
	Version      int
	Host, Prefix string
	Service      string
	Resumable    bool
	Services     []string
	Tenants      []holder
}

// configuration returns a configuration with one tenant, whose streams may be resumed.
func configuration(version int, service string, services ...string) operatorsConfiguration {
	return operatorsConfiguration{
		Version: version, Host: host, Prefix: prefix, Service: service, Resumable: true,
		Services: services, Tenants: []holder{{tenant, []string{apiKey}}},
	}
}

// configure has the operator write a configuration.
func (p *Platform) configure(c operatorsConfiguration) {
	p.Store.Write("config", "main", render("configuration.json", c))
}

const (
	// maxRetries is how often a client retries, and retryPause how long it waits where no answer says so.
	maxRetries = 4
	retryPause = time.Second
)

// finish has a client begin or resume its stream, and retry a few times within its deadline: the first time at once, then
// when the answer says, at most a third of the time that is left. Each attempt goes to another machine.
func finish(s *Stream, machines []*Machine, until time.Time) {
	for i := 0; i <= maxRetries && !s.Complete(); i++ {
		a := s.Try(machines[i%len(machines)].Front, time.Until(until))
		if a.Complete && a.Status == 200 {
			return
		}
		wait := a.RetryAfter
		if wait == 0 && a.Status != 200 {
			wait = retryPause
		}
		left := time.Until(until)
		if left < 3*wait || left <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// judge reports whether a stream that a client got as complete was joined from several services or versions.
func judge(record *Record, streams []*Stream) (broken bool) {
	for i, s := range streams {
		origins := s.Origins()
		record.Printf("stream %d: %d attempts, complete %t, written by %v", i, len(s.attempts), s.Complete(), origins)
		if len(origins) > 1 {
			broken = true
		}
	}
	return broken
}

// movedRoute moves a route to another service, and kills all machines right after that.
func movedRoute(p *Platform, trouble bool) bool {
	var machines []*Machine
	for i := range 3 {
		machines = append(machines, p.Add(fmt.Sprintf("edge-z1-%d", i+1)))
	}
	const events, gap = 60, 100 * time.Millisecond
	for i := range 2 {
		StartRunner(p.Store, p.Record, fmt.Sprintf("i-a%d", i), "redaccion-a", "v1", events, gap)
		StartRunner(p.Store, p.Record, fmt.Sprintf("i-b%d", i), "redaccion-b", "v2", events, gap)
	}
	p.configure(configuration(2, "redaccion-a", "redaccion-a", "redaccion-b"))
	for _, m := range machines {
		m.Start(true)
	}
	for _, m := range machines {
		require(m.AwaitReady(20*time.Second), m.Name+" is not ready")
	}
	// Some usual traffic for some seconds.
	for i := range 3 {
		finish(NewStream(p.Record, host, path, apiKey), machines[i:i+1], time.Now().Add(deadline))
	}
	var streams []*Stream
	var clients sync.WaitGroup
	until := time.Now().Add(deadline)
	for i := range 6 {
		s := NewStream(p.Record, host, path, apiKey)
		streams = append(streams, s)
		clients.Go(func() {
			rotated := append(append([]*Machine{}, machines[i%3:]...), machines[:i%3]...)
			finish(s, rotated, until)
		})
	}
	time.Sleep(time.Second)
	p.configure(configuration(5, "redaccion-b", "redaccion-a", "redaccion-b"))
	p.Record.Printf("operator: version 5 moves the route to redaccion-b, acknowledged")
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, m := range machines {
			m.Kill()
		}
		time.Sleep(time.Second)
		for _, m := range machines {
			m.Start(false)
		}
	}
	clients.Wait()
	return judge(p.Record, streams)
}

func init() { cases["moved-route"] = movedRoute }

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	revokedKey = "k8wq0revokedkey0qw8k"
	revoke     = 5 * time.Second
)

// withRevocable returns a configuration in which a second tenant has a key, or has it no more.
func withRevocable(version int, held bool) operatorsConfiguration {
	c := configuration(version, "redaccion-llm", "redaccion-llm")
	keys := []string{"k1mm2otherkey2mm1k"}
	if held {
		keys = append(keys, revokedKey)
	}
	c.Tenants = append(c.Tenants, holder{"fida11", keys})
	return c
}

// drill takes a key away, has the store come back from a copy that is some seconds old, and restarts one machine
// meanwhile, as planned.
func drill(p *Platform, trouble bool) bool {
	p.Store.era = 3
	var machines []*Machine
	for i := range 3 {
		machines = append(machines, p.Add(fmt.Sprintf("edge-z1-%d", i+1)))
	}
	restarted := machines[1]
	for i := range 2 {
		StartRunner(p.Store, p.Record, fmt.Sprintf("i-a%d", i), "redaccion-llm", "v1", 4, 20*time.Millisecond)
	}
	p.configure(withRevocable(2, true))
	for _, m := range machines {
		m.Start(true)
	}
	for _, m := range machines {
		require(m.AwaitReady(20*time.Second), m.Name+" is not ready")
	}
	time.Sleep(3 * time.Second)
	a := NewStream(p.Record, host, path, revokedKey).Try(restarted.Front, deadline)
	require(a.Status == 200, "the key does not work before it is taken away")

	copied := p.Store.Copy()
	time.Sleep(500 * time.Millisecond)
	p.configure(withRevocable(5, false))
	acknowledged := time.Now()
	p.Record.Printf("operator: version 5 takes the key away, acknowledged")
	sleepUntil(acknowledged.Add(1800 * time.Millisecond))
	restarted.Signal(sigterm)
	stopped := make(chan struct{})
	go func() {
		_ = restarted.process.Wait()
		close(stopped)
	}()
	sleepUntil(acknowledged.Add(3 * time.Second))
	if trouble {
		p.Store.Leave()
		p.Record.Printf("store: is away")
	}
	sleepUntil(acknowledged.Add(4500 * time.Millisecond))
	if trouble {
		p.Store.Return(copied)
		p.Record.Printf("store: is back, era %d, from a copy that is %.1f s old", p.Store.era, time.Since(acknowledged).Seconds()+0.5)
		time.AfterFunc(1900*time.Millisecond, func() {
			p.configure(withRevocable(5, false))
			p.Record.Printf("operator: version 5 is written again")
		})
	}
	<-stopped
	p.Record.Printf("machine %s: has stopped", restarted.Name)
	time.Sleep(300 * time.Millisecond)
	restarted.Start(false)
	require(restarted.AwaitReady(5*time.Second), restarted.Name+" is not ready again")
	p.Record.Printf("machine %s: is ready", restarted.Name)
	sleepUntil(acknowledged.Add(revoke + 50*time.Millisecond))
	return useRevoked(p, machines, acknowledged)
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// useRevoked has a client use the key at all machines for some seconds, and reports whether a request ran.
func useRevoked(p *Platform, machines []*Machine, acknowledged time.Time) (ran bool) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	for _, m := range machines {
		clients.Go(func() {
			for time.Since(acknowledged) < revoke+4*time.Second {
				sent := time.Since(acknowledged)
				a := NewStream(p.Record, host, path, revokedKey).Try(m.Front, time.Second)
				if a.Status == 200 {
					p.Record.Printf("%s: a request sent %.3f s after the acknowledgement, with the key that it took away, ran", m.Name, sent.Seconds())
					mu.Lock()
					ran = true
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return ran
}

func init() { cases["drill"] = drill }

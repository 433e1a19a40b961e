package main

import (
	"fmt"
	"sync"
	"time"
)

// oldList has a newer version of a service appear while the store turns one machine away, and kills another machine a
// second later.
func oldList(p *Platform, trouble bool) bool {
	var machines []*Machine
	for i := range 3 {
		machines = append(machines, p.Add(fmt.Sprintf("edge-z1-%d", i+1)))
	}
	turnedAway, killed := machines[0], machines[1]
	const events, gap = 40, 100 * time.Millisecond
	const service = "redaccion-llm"
	var old []*Runner
	for i := range 2 {
		old = append(old, StartRunner(p.Store, p.Record, fmt.Sprintf("i-a%d", i), service, "v1", events, gap))
	}
	p.configure(configuration(2, service, service))
	for _, m := range machines {
		m.Start(true)
	}
	for _, m := range machines {
		require(m.AwaitReady(20*time.Second), m.Name+" is not ready")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		turnedAway.Gate.Set(ModeBusy)
		p.Record.Printf("store: turns %s away with 503", turnedAway.Name)
	}
	time.Sleep(100 * time.Millisecond)
	StartRunner(p.Store, p.Record, "i-b0", service, "v1.1", events, gap)
	p.Record.Printf("platform: a newer runner is there, an older one drains")
	old[0].Drain()
	// Streams begin at the machine that will be killed, one every 12.5 ms.
	var streams []*Stream
	var clients sync.WaitGroup
	for i := range 92 {
		s := NewStream(p.Record, host, path, apiKey)
		s.Anonymous = i%2 == 1
		streams = append(streams, s)
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 12500 * time.Microsecond)
			until := time.Now().Add(deadline)
			s.Try(killed.Front, deadline)
			finish(s, []*Machine{turnedAway, machines[2]}, until)
		})
	}
	time.Sleep(1150 * time.Millisecond)
	p.Record.Printf("%s is ready: %t", turnedAway.Name, turnedAway.AwaitReady(10*time.Millisecond))
	if trouble {
		killed.Kill()
		time.Sleep(time.Second)
		killed.Start(false)
		time.Sleep(2 * time.Second)
		turnedAway.Gate.Set(ModeServe)
		p.Record.Printf("store: serves %s again", turnedAway.Name)
	}
	clients.Wait()
	return judge(p.Record, streams)
}

func init() { cases["old-list"] = oldList }

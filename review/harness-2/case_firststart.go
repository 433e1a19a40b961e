package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["first-start"] = firstStart }

// startPlays is how often the first start is played: which machine asks the store first after its return differs from play to play.
const startPlays = 6

// firstStart: the system starts for the first time; the store turns three of nine machines away meanwhile; then it is away for a moment
// and comes back from a copy. No window's usage may be reported with two different counts.
func firstStart(s *site) {
	for i := range startPlays {
		folder := filepath.Join(s.folder, fmt.Sprint("play", i))
		check(os.Mkdir(folder, 0o700))
		s.record.add("play %d", i+1)
		one := newSite(folder)
		one.record, one.cloud, one.trouble = s.record, &cloud{record: s.record}, s.trouble
		func() {
			defer one.close()
			playFirstStart(one)
		}()
		if one.broken {
			s.broken = true
			return
		}
	}
}

func playFirstStart(s *site) {
	keys := map[string][]string{"tenant-a": {"key-a"}}
	first := configuration(3, []route{{name: "r1", prefix: "/plain/", kind: "idempotent", service: "app", attempts: 2}}, keys)
	s.store.put("config", "main", first)
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.newRunner("app", id, "v1")
	}
	const hosts, turnedAway = 9, 3
	for i := range hosts {
		h := s.newHost(i)
		h.door.setRefuses(s.trouble && i >= hosts-turnedAway)
	}
	// The first window that is reported is the one in which the machines start.
	window := time.Duration(windowS) * time.Second
	time.Sleep(time.Until(time.Now().Truncate(window).Add(window + 300*time.Millisecond)))
	for _, h := range s.hosts {
		h.start(true)
	}
	started := time.Now()
	if s.trouble {
		s.record.add("the store turns away edge-7, edge-8 and edge-9: it resets their calls")
	}
	for _, h := range s.hosts[:hosts-turnedAway] {
		h.awaitReady(10 * time.Second)
	}
	var stop atomic.Bool
	var clients sync.WaitGroup
	var served atomic.Int64
	for i := range hosts - turnedAway {
		clients.Go(func() {
			for !stop.Load() {
				if a := ask(s.hosts[i].front, "GET", "/plain/x", newID(), "key-a", time.Second); a.status == 200 {
					served.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	older := s.store.copy()
	copied := time.Now()
	for len(s.cloud.usage()) == 0 {
		if time.Since(started) > 12*time.Second {
			panic("no usage was reported")
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		s.record.add("the store is away")
		s.store.setAway(true)
		time.Sleep(time.Second)
		for _, h := range s.hosts {
			h.door.setRefuses(false)
		}
		s.store.restore(older)
		s.record.add("the store is back from a copy that is %.1f s old, and turns nobody away, %.1f s after the start of the machines",
			time.Since(copied).Seconds(), time.Since(started).Seconds())
		// The operator and the runners write again.
		time.Sleep(300 * time.Millisecond)
		s.store.put("config", "main", first)
		for _, r := range s.runners {
			r.register("ready")
		}
	}
	time.Sleep(4 * time.Second)
	stop.Store(true)
	clients.Wait()
	s.record.add("%d requests were served", served.Load())
	if served.Load() < 100 {
		panic("too few requests were served")
	}
	s.checkUsage()
}

// checkUsage checks that no window was reported with two different counts.
func (s *site) checkUsage() {
	first := map[int64]dutyCall{}
	for _, d := range s.cloud.usage() {
		f, reported := first[d.window]
		if !reported {
			first[d.window] = d
			continue
		}
		if f.counts != d.counts {
			s.breaks("ONE: the platform accepts two reports of window %d: %s from %s (token %s) and %s from %s (token %s)",
				d.window, f.counts, f.host, f.token, d.counts, d.host, d.token)
		}
	}
}

package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["unsigned"] = unsigned }

// unsigned: half of the runners spoil some of their answers: the line of the signature arrives with wrong bytes. No client may get such an
// answer as a success.
func unsigned(s *site) {
	routes := []route{
		{name: "r1", prefix: "/plain/", kind: "non_idempotent", service: "app", attempts: 1},
		{name: "r2", prefix: "/read/", kind: "idempotent", service: "app", attempts: 2},
		{name: "r3", prefix: "/stream/", kind: "streaming", service: "llm", attempts: 2, resumable: true},
	}
	s.store.put("config", "main", configuration(3, routes, map[string][]string{"tenant-a": {"key-a"}}))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.newRunner("app", id, "v1")
	}
	for _, id := range []string{"i-5", "i-6", "i-7", "i-8"} {
		r := s.newRunner("llm", id, "v1")
		r.events, r.interval = 5, 10*time.Millisecond
	}
	for i := range 3 {
		s.newHost(i).start(true)
	}
	for _, h := range s.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	unsigned := map[string]int{}
	end := time.Now().Add(10 * time.Second)
	for _, h := range s.hosts {
		for _, c := range []struct{ method, path string }{{"POST", "/plain/x"}, {"GET", "/read/x"}, {"POST", "/stream/x"}} {
			clients.Go(func() {
				for time.Now().Before(end) {
					id := newID()
					a := ask(h.front, c.method, c.path, id, "key-a", 3*time.Second)
					mu.Lock()
					statuses[a.status]++
					if a.status/100 == 2 && a.whole && a.headers.Get(stampHeader) == "" {
						unsigned[c.path]++
						if unsigned[c.path] == 1 {
							s.breaks("MIXED: request %s (%s %s) gets %d without the runner's signature: %v %q", id, c.method, c.path, a.status, a.headers, strings.TrimSpace(a.body))
						}
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.spoil(50)
		s.record.add("half of the runners spoil one answer in 50")
	}
	time.Sleep(5500 * time.Millisecond)
	s.spoil(0)
	s.record.add("no runner spoils its answers any more")
	clients.Wait()
	spoiled := 0
	for _, r := range s.runners {
		spoiled += int(r.spoiled.Load())
	}
	s.record.add("%d answers were spoiled of %d", spoiled, len(s.allRuns()))
	s.record.add("answers by status: %v", statuses)
	s.record.add("successes without a signature, by path: %v", unsigned)
	if statuses[200] < 500 {
		panic("too few requests were served")
	}
}

// spoil has every second runner spoil one of a number of answers; zero ends that.
func (s *site) spoil(each int64) {
	for i, r := range s.runners {
		if i%2 == 0 {
			r.spoilEach.Store(each)
		}
	}
}

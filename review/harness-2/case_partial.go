package main

import (
	"sync"
	"time"
)

func init() { cases["partial-entry"] = partialEntry }

// partialEntry: another writer overwrites the entry of a runner. Fields are missing, and the service is not the runner's. No request may run
// at a service that its route does not lead to.
func partialEntry(s *site) {
	routes := []route{
		{name: "r1", prefix: "/plain/", kind: "non_idempotent", service: "app", attempts: 1},
		{name: "r2", prefix: "/stream/", kind: "streaming", service: "llm", attempts: 2, resumable: true},
	}
	s.store.put("config", "main", configuration(3, routes, map[string][]string{"tenant-a": {"key-a"}}))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.newRunner("app", id, "v1")
	}
	for _, id := range []string{"i-5", "i-6", "i-7", "i-8"} {
		s.newRunner("llm", id, "v1")
	}
	foreign := s.runners[4]
	for i := range 3 {
		s.newHost(i).start(true)
	}
	for _, h := range s.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]string{}
	statuses := map[int]int{}
	end := time.Now().Add(8 * time.Second)
	for _, h := range s.hosts {
		clients.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				a := ask(h.front, "POST", "/plain/x", id, "key-a", time.Second)
				mu.Lock()
				sent[id] = h.name
				statuses[a.status]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		s.store.put("servers", foreign.id, map[string]any{
			"service": "app", "address": foreign.address, "zone": foreign.zone, "version": "v1", "slots": 6, "state": "ready",
		})
		s.record.add("another writer writes the entry of %s: %s", foreign.id, s.store.value("servers", foreign.id))
	}
	time.Sleep(heartbeat)
	foreign.register("ready")
	s.record.add("%s writes its entry: %s", foreign.id, s.store.value("servers", foreign.id))
	clients.Wait()
	ran := 0
	for _, r := range s.allRuns() {
		if host, ours := sent[r.id]; ours && r.runner == foreign.id {
			ran++
			if ran <= 3 {
				s.breaks("ROUTE: request %s for %s, whose route leads to the service app alone, is run by %s of the service llm; %s has sent it there", r.id, r.path, r.runner, host)
			}
		}
	}
	s.record.add("%d requests of the service app ran at %s of the service llm", ran, foreign.id)
	s.record.add("answers by status: %v", statuses)
	if statuses[200] < 200 {
		panic("too few requests were served")
	}
}

package main

import (
	"sync"
	"time"
)

func init() { cases["revoked-key"] = revokedKey }

// revokedKey: a key is taken away; later all machines lose power for a moment while the store comes back from a copy of before. No request
// that is sent with the key later than revokeMs after the acknowledgement may run.
func revokedKey(s *site) {
	const version = 3
	routes := []route{{name: "r1", prefix: "/plain/", kind: "non_idempotent", service: "app", attempts: 1}}
	both := map[string][]string{"tenant-a": {"key-a"}, "tenant-b": {"key-b"}}
	without := map[string][]string{"tenant-a": {"key-a"}, "tenant-b": {}}
	s.store.put("config", "main", configuration(version, routes, both))
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		s.newRunner("app", id, "v1")
	}
	for i := range 3 {
		s.newHost(i).start(true)
	}
	for _, h := range s.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(3 * time.Second)
	s.mustServe("key-a")
	s.mustServe("key-b")
	older := s.store.copy()
	copied := time.Now()
	time.Sleep(300 * time.Millisecond)
	s.store.put("config", "main", configuration(version+4, routes, without))
	acknowledged := time.Now()
	s.record.add("the store acknowledges version %d, which takes key-b away", version+4)
	time.Sleep(4 * time.Second)
	var writtenAgain time.Time
	if s.trouble {
		s.record.add("all machines lose power, and the store is away")
		s.store.setAway(true)
		for _, h := range s.hosts {
			h.kill()
		}
		time.Sleep(time.Second)
		for _, h := range s.hosts {
			h.start(false)
		}
		time.Sleep(300 * time.Millisecond)
		s.store.restore(older)
		s.record.add("the store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
		writtenAgain = time.Now().Add(1800 * time.Millisecond)
		for _, r := range s.runners {
			r.register("ready")
		}
	}
	var clients sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	answers := map[int]int{}
	for _, h := range s.hosts {
		clients.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				a := ask(h.front, "POST", "/plain/x", id, "key-b", time.Second)
				mu.Lock()
				sent[id] = a.sentAt
				answers[a.status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	if s.trouble {
		time.Sleep(time.Until(writtenAgain))
		s.store.put("config", "main", configuration(version+4, routes, without))
		s.record.add("the operator has written version %d again, 1.8 s after the return of the store", version+4)
	}
	clients.Wait()
	s.record.add("answers to requests with key-b, by status: %v", answers)
	ran := 0
	for _, r := range s.allRuns() {
		at, ours := sent[r.id]
		if !ours || at.Sub(acknowledged) <= revokeMs*time.Millisecond {
			continue
		}
		ran++
		if ran <= 3 {
			s.breaks("CONFIG: request %s, sent with key-b %.2f s after the acknowledgement, runs at %s for %s", r.id, at.Sub(acknowledged).Seconds(), r.runner, r.tenant)
		}
	}
	s.record.add("%d requests with key-b ran that were sent later than %d ms after the acknowledgement", ran, revokeMs)
	s.mustServe("key-a")
}

// mustServe panics unless each host serves a request with a key.
func (s *site) mustServe(key string) {
	for _, h := range s.hosts {
		var a answer
		for range 40 {
			if a = ask(h.front, "POST", "/plain/x", newID(), key, time.Second); a.status == 200 {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		if a.status != 200 {
			panic(h.name + " does not serve " + key)
		}
	}
}

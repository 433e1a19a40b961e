package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["last-tenant"] = lastTenant }

// lastTenant: the operator takes away the keys of the only tenant, which leaves the list of tenants empty. No request that is sent with such a
// key later than revokeMs after the acknowledgement may run, and none with a key that no configuration ever held.
func lastTenant(s *site) {
	const version = 3
	routes := []route{{name: "r1", prefix: "/plain/", kind: "non_idempotent", service: "app", attempts: 1}}
	with := configuration(version, routes, map[string][]string{"tenant-a": {"key-a", "key-b"}})
	without := configuration(version+4, routes, nil)
	without["tenants"] = []any{}
	for _, r := range without["routes"].([]map[string]any) {
		r["public"] = false
	}
	s.store.put("config", "main", with)
	for i := range 4 {
		s.newRunner("app", fmt.Sprint("i-", i+1), "v1")
	}
	for i := range 3 {
		s.newHost(i).start(true)
	}
	for _, h := range s.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(2 * time.Second)
	s.mustServe("key-a")
	s.mustServe("key-b")
	if a := ask(s.hosts[0].front, "POST", "/plain/x", newID(), "key-never", time.Second); a.status != 401 {
		panic(fmt.Sprint("a key that no configuration ever held gets ", a.status))
	}
	changed := time.Now()
	if s.trouble {
		s.store.put("config", "main", without)
		changed = time.Now()
		s.record.add("the store acknowledges version %d: %s", version+4, s.store.value("config", "main"))
	}
	time.Sleep(revokeMs*time.Millisecond + 500*time.Millisecond)
	var clients sync.WaitGroup
	var mu sync.Mutex
	keyOf, answers := map[string]string{}, map[string]map[int]int{}
	keys := []string{"key-a", "key-never"}
	if !s.trouble {
		keys = keys[1:]
	}
	for _, h := range s.hosts {
		for _, key := range keys {
			clients.Go(func() {
				for range 40 {
					id := newID()
					a := ask(h.front, "POST", "/plain/x", id, key, time.Second)
					mu.Lock()
					keyOf[id] = key
					if answers[key] == nil {
						answers[key] = map[int]int{}
					}
					answers[key][a.status]++
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	s.record.add("answers by key, from %.1f s after the acknowledgement on: %v", float64(revokeMs)/1000+0.5, answers)
	ran := map[string]int{}
	for _, r := range s.allRuns() {
		key, ours := keyOf[r.id]
		if !ours {
			continue
		}
		ran[key]++
		switch {
		case ran[key] > 1:
		case key == "key-a":
			s.breaks("CONFIG: request %s, sent with key-a %.1f s after the acknowledgement of the version that took it away, runs at %s", r.id, r.at.Sub(changed).Seconds(), r.runner)
		default:
			s.breaks("ROUTE: request %s, whose key no configuration ever held, runs at %s", r.id, r.runner)
		}
	}
	s.record.add("runs by key: %v", ran)
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["unframed-leaving"] = unframedLeaving }

// unframedLeaving: one of eight model runners is emptied and taken away. Their streams have no length and end with their connection. No stream
// that its runner has not finished may look complete.
func unframedLeaving(s *site) {
	routes := []route{{name: "r1", prefix: "/stream/", kind: "streaming", service: "llm", attempts: 1}}
	s.store.put("config", "main", configuration(3, routes, map[string][]string{"tenant-a": {"key-a"}}))
	for i := range 8 {
		r := s.newRunner("llm", fmt.Sprint("i-", i+1), "v1")
		r.unframed, r.events, r.interval = true, 49, 110*time.Millisecond
	}
	leaver := s.runners[2]
	for i := range 3 {
		s.newHost(i).start(true)
	}
	for _, h := range s.hosts {
		h.awaitReady(10 * time.Second)
	}
	time.Sleep(2 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole, cut, short := 0, 0, 0
	statuses := map[int]int{}
	end := time.Now().Add(12 * time.Second)
	for i := range 24 {
		h := s.hosts[i%len(s.hosts)]
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for time.Now().Before(end) {
				id := newID()
				a := ask(h.front, "POST", "/stream/x", id, "key-a", 12*time.Second)
				events := strings.Count(a.body, "\n\n")
				mu.Lock()
				statuses[a.status]++
				switch {
				case a.status != http.StatusOK:
				case !a.whole:
					cut++
				case events == leaver.events:
					whole++
				default:
					short++
					if short <= 3 {
						s.breaks("ORDER: stream %s through %s ends as complete after %d of %d events", id, h.name, events, leaver.events)
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if s.trouble {
		leaver.leaving.Store(true)
		leaver.register("draining")
		s.record.add("the store acknowledges that %s is draining", leaver.id)
		time.Sleep(drainMs*time.Millisecond + 200*time.Millisecond)
		leaver.exit()
		s.record.add("%s has exited, %d ms later", leaver.id, drainMs+200)
		s.store.drop("servers", leaver.id)
	}
	clients.Wait()
	s.record.add("streams: %d whole, %d cut off, %d that look complete and are not; statuses %v", whole, cut, short, statuses)
	if whole < 30 {
		panic("too few streams were served")
	}
}

// exit ends the runner as a process ends: the operating system closes its listener and its connections in order.
func (r *runner) exit() {
	r.mu.Lock()
	r.exited = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.hijacked.Range(func(c, _ any) bool {
		_ = c.(net.Conn).Close()
		return true
	})
	_ = r.server.Close()
}

// streamUnframed answers with events, without a length: the answer ends with the connection.
func (r *runner) streamUnframed(w http.ResponseWriter, q *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	r.hijacked.Store(conn, true)
	defer func() {
		r.hijacked.Delete(conn)
		_ = conn.Close()
	}()
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.began(q, after)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" + wire("attemptLine") +
		q.Header.Get(wire("attempt")) + "\r\n" + stampHeader + ": 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
	if r.leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	if _, err := conn.Write([]byte(head + "\r\n")); err != nil {
		return
	}
	for n := after + 1; n <= r.events; n++ {
		time.Sleep(r.interval)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", n, r.version, n); err != nil {
			return
		}
	}
}

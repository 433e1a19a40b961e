package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a runner has begun to work on.
type run struct {
	at      time.Time
	runner  string
	version string
	id      string
	path    string
	tenant  string
	after   int
}

// runner is a stand-in for a runner of a service.
type runner struct {
	site                       *site
	id, service, zone, address string
	version                    string
	born                       int64
	events                     int
	interval, work             time.Duration
	listener                   net.Listener
	server                     *http.Server
	conns                      sync.Map
	mu                         sync.Mutex
	runs                       []run
	// spoilEach is the number of answers of which one is spoiled; zero for none.
	spoilEach atomic.Int64
	spoiled   atomic.Int64
	received  atomic.Int64
	leaving   atomic.Bool
	// unframed is set if streams have no length and end with their connection, which hijacked holds.
	unframed bool
	hijacked sync.Map
	exited   bool
}

func (s *site) newRunner(service, id, version string) *runner {
	r := &runner{
		site: s, id: id, service: service, zone: zones[len(s.runners)%len(zones)], version: version,
		events: 20, interval: 50 * time.Millisecond, work: 15 * time.Millisecond, address: "127.0.0.1:0",
	}
	s.runners = append(s.runners, r)
	r.start()
	return r
}

// start listens at the runner's address, and registers it.
func (r *runner) start() {
	listener, err := net.Listen("tcp", r.address)
	check(err)
	r.address, r.listener = listener.Addr().String(), listener
	r.born = time.Now().UnixMilli()
	r.server = &http.Server{Handler: r, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			r.conns.Delete(c)
			return
		}
		r.conns.Store(c, true)
	}}
	server := r.server
	go func() { _ = server.Serve(listener) }()
	r.register("ready")
}

// register writes the runner's entry.
func (r *runner) register(state string) {
	r.site.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": state, wire("cold"): 0,
		"seq": 1, "born": r.born, "phase": "prefill_decode", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
}

// crash ends the runner as a killed process ends: its listener and its connections close. It says nothing.
func (r *runner) crash() {
	_ = r.listener.Close()
	r.conns.Range(func(c, _ any) bool {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.(net.Conn).Close()
		return true
	})
	_ = r.server.Close()
}

func (r *runner) began(q *http.Request, after int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{
		at: time.Now(), runner: r.id, version: r.version, id: q.Header.Get(wire("attempt")), path: q.URL.Path,
		tenant: q.Header.Get(wire("tenant")), after: after,
	})
}

// allRuns returns what all runners have run.
func (s *site) allRuns() []run {
	var all []run
	for _, r := range s.runners {
		r.mu.Lock()
		all = append(all, r.runs...)
		r.mu.Unlock()
	}
	return all
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/healthz":
		w.Header().Set(wire("instance"), r.id)
		return
	case wire("report"):
		w.WriteHeader(http.StatusOK)
		return
	}
	received := r.received.Add(1)
	h := w.Header()
	h.Set(wire("attempt"), q.Header.Get(wire("attempt")))
	if each := r.spoilEach.Load(); each > 0 && received%each == 0 {
		r.spoiled.Add(1)
		h.Set(wire("spoiledStamp"), "p: 3e1b.07.5a2.600.0.c9f2a4d1")
	} else {
		h.Set(stampHeader, "3e1b.07.5a2.600.0.c9f2a4d1")
	}
	if expected := q.Header.Get(wire("expectInstance")); expected != "" && expected != r.id {
		h.Set(wire("notExecuted"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		if r.unframed {
			r.streamUnframed(w, q)
			return
		}
		r.stream(w, q)
		return
	}
	r.began(q, 0)
	time.Sleep(r.work)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, q.Header.Get(wire("attempt")))
}

// stream answers with events. The text of an event depends on the version of the software.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	r.began(q, after)
	version := r.version
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire("weights"), "1")
	controller := http.NewResponseController(w)
	for n := after + 1; n <= r.events; n++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.interval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, version, n); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// answer is what a client gets.
type answer struct {
	sentAt, endedAt time.Time
	status          int
	body            string
	whole           bool
	headers         http.Header
	err             error
}

var attempts atomic.Int64

// newID returns a new attempt id.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// ask sends a request on a new connection and reads its answer.
func ask(front, method, path, id, key string, deadline time.Duration, more ...string) answer {
	a := answer{sentAt: time.Now()}
	defer func() { a.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", front)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	lines := []string{
		method + " " + path + " HTTP/1.1", "Host: " + siteHost, wire("attemptLine") + id,
		wire("deadline") + ": " + strconv.FormatInt(deadline.Milliseconds(), 10),
	}
	if key != "" {
		lines = append(lines, "X-Api-Key: "+key)
	}
	lines = append(lines, more...)
	if method == "POST" {
		lines = append(lines, "Content-Length: 5")
	}
	text := strings.Join(lines, "\r\n") + "\r\n\r\n"
	if method == "POST" {
		text += "hello"
	}
	a.sentAt = time.Now()
	if _, a.err = conn.Write([]byte(text)); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.headers = resp.StatusCode, resp.Header
	var body strings.Builder
	buffer := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buffer)
		body.Write(buffer[:n])
		if err != nil {
			a.body, a.whole = body.String(), err.Error() == "EOF"
			if !a.whole {
				a.err = err
			}
			return a
		}
	}
}

package main

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a gate of the store treats the calls of the machine that it serves.
type Mode int32

// The modes of a gate.
const (
	// ModeServe answers calls.
	ModeServe Mode = iota
	// ModeBusy answers 503 and does nothing.
	ModeBusy
	// ModeSilent reads calls and never answers them. Nothing is done.
	ModeSilent
)

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// Store is the platform's metadata store in memory.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	changed  chan struct{}
	// era is how often the store came back from a copy, and away is set while it is not there.
	era  int
	away bool
	// first is the revision from which on the history is kept.
	first uint64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 10, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// Copy is a copy of the store.
type Copy struct {
	revision uint64
	kinds    map[string]map[string]object
}

// Copy returns a copy of the store as it is now.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, kinds: map[string]map[string]object{}}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// Leave makes the store go away: calls and watches are cut off.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// Return brings the store back from a copy.
func (s *Store) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.revision, s.kinds, s.events = c.revision, c.kinds, nil
	s.first = c.revision
}

// Gate serves the store to one machine.
type Gate struct {
	store   *Store
	mode    atomic.Int32
	Address string
	mu      sync.Mutex
	waits   map[chan struct{}]bool
}

// Gate opens a listener of the store.
func (s *Store) Gate() *Gate {
	g := &Gate{store: s, waits: map[chan struct{}]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	g.Address = l.Addr().String()
	go func() { _ = http.Serve(l, g) }()
	return g
}

// Set changes the mode. Watches that wait are cut off if the machine is no longer served.
func (g *Gate) Set(m Mode) {
	g.mode.Store(int32(m))
	g.mu.Lock()
	defer g.mu.Unlock()
	if m != ModeServe {
		for c := range g.waits {
			close(c)
			delete(g.waits, c)
		}
	}
}

func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !g.pass(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	g.store.stamp(w)
	path := strings.Split(strings.TrimPrefix(r.URL.Path, names["objects"]), "/")
	kind, name, status := path[0], "", false
	if len(path) > 1 {
		name = path[1]
	}
	if len(path) > 2 && path[2] == "status" {
		status = true
	}
	s := g.store
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		g.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost:
		var o object
		if json.Unmarshal(body, &o) != nil {
			reply(w, 400, nil)
			return
		}
		if old, ok := s.kinds[kind][o.Metadata.Name]; ok {
			reply(w, 409, old)
			return
		}
		reply(w, 200, s.put(kind, object{Metadata: meta{Name: o.Metadata.Name}, Spec: o.Spec}))
	case http.MethodPut:
		s.replace(w, r, kind, name, status, body)
	case http.MethodDelete:
		old, ok := s.kinds[kind][name]
		if !ok {
			reply(w, 404, nil)
			return
		}
		if q := r.URL.Query().Get("revision"); q != "" && q != strconv.FormatUint(old.Metadata.Revision, 10) {
			reply(w, 409, old)
			return
		}
		s.remove(kind, name)
		reply(w, 200, old)
	default:
		reply(w, 405, nil)
	}
}

// pass reports whether the call is served, and deals with it otherwise.
func (g *Gate) pass(w http.ResponseWriter, r *http.Request) bool {
	switch Mode(g.mode.Load()) {
	case ModeBusy:
		reply(w, 503, nil)
		return false
	case ModeSilent:
		<-r.Context().Done()
		return false
	}
	return true
}

// stamp sets the header that says how often the store came back from a copy. It cuts the call off while the store is
// away.
func (s *Store) stamp(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names["era"], strconv.Itoa(s.era))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		if o, ok := s.kinds[kind][name]; ok {
			reply(w, 200, o)
			return
		}
		reply(w, 404, nil)
		return
	}
	after := r.URL.Query().Get("after")
	entries := []object{}
	for n, o := range s.kinds[kind] {
		if n > after {
			entries = append(entries, o)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	const page = 500
	more := len(entries) > page
	if more {
		entries = entries[:page]
	}
	reply(w, 200, map[string]any{"entries": entries, "hasMore": more, "asOf": s.revision})
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request, kind, name string, status bool, body []byte) {
	var o object
	if json.Unmarshal(body, &o) != nil {
		reply(w, 400, nil)
		return
	}
	old, ok := s.kinds[kind][name]
	if !ok {
		reply(w, 404, nil)
		return
	}
	want := o.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	if want != 0 && want != old.Metadata.Revision {
		reply(w, 409, old)
		return
	}
	next := old
	if status {
		next.Status = o.Status
	} else {
		next.Spec = o.Spec
	}
	if string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
		reply(w, 200, old)
		return
	}
	reply(w, 200, s.put(kind, next))
}

func (s *Store) watch1(kind string, from uint64) ([]event, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []event
	for _, e := range s.events {
		if e.kind == kind && e.revision > from {
			found = append(found, e)
		}
	}
	return found, s.revision, s.changed
}

func (s *Store) oldest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

func (g *Gate) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	cut := make(chan struct{})
	g.mu.Lock()
	g.waits[cut] = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.waits, cut)
		g.mu.Unlock()
	}()
	for {
		g.store.stamp(w)
		found, asOf, changed := g.store.watch1(kind, from)
		if from > asOf || from < g.store.oldest() {
			reply(w, 410, nil)
			return
		}
		if len(found) > 0 {
			reply(w, 200, map[string]any{"events": found, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": []event{}, "asOf": asOf})
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// put stores an object. s.mu must be held.
func (s *Store) put(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.notify(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.notify(event{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *Store) notify(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Write is a write of the operator or of a runner.
func (s *Store) Write(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, spec
	s.put(kind, o)
}

// Remove removes an object as the platform does.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Has reports whether an object is stored whose value contains a text.
func (s *Store) Has(kind, name, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return ok && strings.Contains(string(o.Spec), text)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if v == nil {
		v = map[string]string{}
	}
	_ = json.NewEncoder(w).Encode(v)
}

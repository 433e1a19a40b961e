package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision,omitempty"`
	Created    int64    `json:"created,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
}

// event is a change of an object.
type event struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	kinds     map[string]map[string]object
	revision  uint64
	history   []event
	compacted uint64
	era       uint64
	// changed is closed at each change.
	changed chan struct{}
	// away is set while the store answers nobody.
	away bool
	// lateAnswers delays each answer.
	lateAnswers time.Duration
}

func newStore() *store {
	return &store{kinds: map[string]map[string]object{}, revision: 100, compacted: 100, era: 1, changed: make(chan struct{})}
}

// door is an address of the store; each host has its own, so that single hosts can be turned away.
type door struct {
	store   *store
	address string
	mu      sync.Mutex
	refuses bool
}

func (s *store) newDoor(ip string) *door {
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	d := &door{store: s, address: listener.Addr().String()}
	server := &http.Server{Handler: d}
	go func() { _ = server.Serve(listener) }()
	return d
}

func (d *door) setRefuses(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = on
}

func (d *door) isRefusing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refuses
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if d.isRefusing() || d.store.isAway() {
		reset(w)
		return
	}
	status, answer := d.store.perform(r, body, d)
	if d.isRefusing() || d.store.isAway() && r.Method == http.MethodGet {
		reset(w)
		return
	}
	d.answer(w, status, answer)
}

// reset resets the connection of a call.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (d *door) answer(w http.ResponseWriter, status int, body any) {
	d.store.mu.Lock()
	era, late := d.store.era, d.store.lateAnswers
	d.store.mu.Unlock()
	if late > 0 {
		time.Sleep(late)
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_, _ = io.WriteString(w, encode(body))
	}
}

// encode returns the text of an answer. Values are sent as they were stored, also if encoding/json does not accept them.
func encode(body any) string {
	switch b := body.(type) {
	case object:
		return b.text()
	case page:
		var parts []string
		for _, o := range b.entries {
			parts = append(parts, o.text())
		}
		return fmt.Sprintf(`{"entries":[%s],"hasMore":false,"asOf":%d}`, strings.Join(parts, ","), b.asOf)
	case changes:
		var parts []string
		for _, e := range b.events {
			parts = append(parts, fmt.Sprintf(`{"object":%s,"deleted":%t}`, e.object.text(), e.deleted))
		}
		return fmt.Sprintf(`{"events":[%s],"asOf":%d}`, strings.Join(parts, ","), b.asOf)
	}
	return "{}"
}

func (o *object) text() string {
	named, err := json.Marshal(o.Metadata)
	check(err)
	text := `{"metadata":` + string(named)
	if len(o.Spec) > 0 {
		text += `,"spec":` + string(o.Spec)
	}
	if len(o.Status) > 0 {
		text += `,"status":` + string(o.Status)
	}
	return text + "}"
}

// page is the answer to a list, changes that to a watch.
type page struct {
	entries []object
	asOf    uint64
}

type changes struct {
	events []event
	asOf   uint64
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

func (s *store) setAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = on
	s.wake()
}

// wake wakes all watches. The mutex is held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) perform(r *http.Request, body []byte, d *door) (int, any) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire("objects")), "/")
	var sent object
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		return http.StatusBadRequest, nil
	}
	switch r.Method {
	case http.MethodPost:
		return s.create(kind, sent)
	case http.MethodPut:
		name, isStatus := strings.CutSuffix(name, "/status")
		return s.replace(kind, name, isStatus, sent)
	case http.MethodDelete:
		revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
		return s.remove(kind, name, revision)
	}
	if name != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		if o, ok := s.kinds[kind][name]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	}
	if r.URL.Query().Get("watch") != "" {
		return s.watch(r, kind, d)
	}
	return s.list(kind)
}

func (s *store) list(kind string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []object{}
	for _, o := range s.kinds[kind] {
		entries = append(entries, o)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Metadata.Name < entries[j].Metadata.Name })
	return http.StatusOK, page{entries, s.revision}
}

func (s *store) watch(r *http.Request, kind string, d *door) (int, any) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		asOf, changed, era := s.revision, s.changed, s.era
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, changes{events, asOf}
		}
		select {
		case <-changed:
		case <-end:
			return http.StatusOK, changes{events, asOf}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
		s.mu.Lock()
		restored := s.era != era
		s.mu.Unlock()
		if restored {
			return http.StatusGone, nil
		}
		if d.isRefusing() || s.isAway() {
			return http.StatusServiceUnavailable, nil
		}
	}
}

func (s *store) create(kind string, sent object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][sent.Metadata.Name]; ok {
		return http.StatusConflict, o
	}
	return http.StatusCreated, s.write(kind, sent)
}

func (s *store) replace(kind, name string, isStatus bool, sent object) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return http.StatusNotFound, nil
	}
	if sent.Metadata.Revision != 0 && sent.Metadata.Revision != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	if isStatus {
		o.Status = sent.Status
	} else {
		o.Spec = sent.Spec
	}
	return http.StatusOK, s.write(kind, o)
}

func (s *store) remove(kind, name string, revision uint64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return http.StatusNotFound, nil
	}
	if revision != 0 && revision != o.Metadata.Revision {
		return http.StatusConflict, o
	}
	s.delete(kind, name)
	return http.StatusOK, struct{}{}
}

// write stores an object. The mutex is held.
func (s *store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = time.Now().UnixMilli()
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{kind: kind, revision: s.revision, object: o})
	s.wake()
	return o
}

// delete removes an object. The mutex is held.
func (s *store) delete(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, event{kind: kind, revision: s.revision, object: o, deleted: true})
	s.wake()
}

// put writes an object as the operator and the runners do; the return is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, text
	s.write(kind, o)
}

func (s *store) drop(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// value returns the value of an object; nil if there is none.
func (s *store) value(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// snapshot is a copy of the store.
type snapshot struct {
	kinds    map[string]map[string]object
	revision uint64
}

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := snapshot{kinds: map[string]map[string]object{}, revision: s.revision}
	for kind, objects := range s.kinds {
		c.kinds[kind] = map[string]object{}
		for name, o := range objects {
			c.kinds[kind][name] = o
		}
	}
	return c
}

// restore replaces the contents by a copy, as in the drill of the pages, and ends the time for which the store is away.
func (s *store) restore(c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds, s.revision, s.history, s.compacted = c.kinds, c.revision, nil, c.revision
	s.era++
	s.away = false
	s.wake()
}

func (s *store) names(kind string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.kinds[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return fmt.Sprint(names)
}

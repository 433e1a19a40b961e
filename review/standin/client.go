package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Piece is one event that a client got.
type Piece struct {
	ID   string
	Data string
}

// Attempt is one client attempt and what came of it.
type Attempt struct {
	ID, Front string
	Status    int
	Pieces    []Piece
	// Complete is set if the response ended as complete.
	Complete bool
	// RetryAfter is the time that the answer asks to wait; zero for none.
	RetryAfter time.Duration
	Err        error
}

// Stream is a stream of one client, over all its attempts.
type Stream struct {
	Path, Host, Key string
	// Anonymous is set for a client that does not name the request that brought the first event when it resumes.
	Anonymous bool
	record    *Record
	mu        sync.Mutex
	pieces    []Piece
	firstID   string
	attempts  []Attempt
	complete  bool
	cut       context.CancelFunc
	events    chan int
}

// NewStream returns a stream that has not begun.
func NewStream(record *Record, host, path, key string) *Stream {
	return &Stream{Path: path, Host: host, Key: key, record: record, events: make(chan int, 1000)}
}

// Last returns the id of the last event received.
func (s *Stream) Last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pieces) == 0 {
		return ""
	}
	return s.pieces[len(s.pieces)-1].ID
}

// Cut breaks the connection of the attempt in progress.
func (s *Stream) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut != nil {
		s.cut()
	}
}

// Try makes one attempt at a front, on a new connection. It resumes the stream if it has begun.
func (s *Stream) Try(front string, left time.Duration) Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	a := Attempt{ID: fmt.Sprintf("%016x", rand.Uint64()), Front: front}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+s.Path, strings.NewReader("prompt"))
	must(err)
	req.Host = s.Host
	req.Header.Set(names["attempt"], a.ID)
	req.Header.Set(names["deadline"], fmt.Sprint(left.Milliseconds()))
	req.Header.Set(names["model"], "m")
	req.Header.Set(names["sizes"], "20,64")
	req.Header.Set(names["parts"], "5c1e07a2:10,"+a.ID[:8]+":10")
	if s.Key != "" {
		req.Header.Set(names["key"], s.Key)
	}
	last := s.Last()
	if last != "" {
		req.Header.Set("Last-Event-Id", last)
		if !s.Anonymous {
			req.Header.Set("Resumes", s.firstID)
		}
	}
	s.mu.Lock()
	s.cut = cancel
	s.mu.Unlock()
	s.record.Printf("client: sends %s to %s, Last-Event-Id %q", a.ID, front, last)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Err = err
	} else {
		a.Status = resp.StatusCode
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
		s.read(&a, resp)
	}
	s.record.Printf("client: %s got status %d, %d events, complete %t, error %v", a.ID, a.Status, len(a.Pieces), a.Complete, a.Err)
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.complete = s.complete || a.Complete && a.Status == 200
	s.mu.Unlock()
	return a
}

func (s *Stream) read(a *Attempt, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != 200 {
		_, a.Err = io.ReadAll(resp.Body)
		a.Complete = a.Err == nil
		return
	}
	var p Piece
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case err != nil:
			a.Complete = err == io.EOF
			if !a.Complete {
				a.Err = err
			}
			return
		case strings.HasPrefix(line, "id:"):
			p.ID = strings.TrimSpace(line[3:])
		case strings.HasPrefix(line, "data:"):
			p.Data = strings.TrimSpace(line[5:])
		case line == "" && p.ID != "":
			s.add(a, p)
			p = Piece{}
		}
	}
}

func (s *Stream) add(a *Attempt, p Piece) {
	s.record.Printf("client: %s gets event %s: %s", a.ID, p.ID, p.Data)
	a.Pieces = append(a.Pieces, p)
	s.mu.Lock()
	if len(s.pieces) == 0 {
		s.firstID = a.ID
	}
	s.pieces = append(s.pieces, p)
	n := len(s.pieces)
	s.mu.Unlock()
	select {
	case s.events <- n:
	default:
	}
}

// Origins returns the services and versions that wrote the pieces, in order, each once.
func (s *Stream) Origins() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var origins []string
	for _, p := range s.pieces {
		origin, _, _ := strings.Cut(p.Data, " piece")
		if len(origins) == 0 || origins[len(origins)-1] != origin {
			origins = append(origins, origin)
		}
	}
	return origins
}

// Complete reports whether the stream has ended as complete.
func (s *Stream) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

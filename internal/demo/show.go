package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// The demo's waits and sizes.
const (
	readyTimeout   = 15 * time.Second
	callTimeout    = 20 * time.Second
	shortAnswer    = 20
	longAnswer     = 200
	eventsBefore   = 20
	noticeSeconds  = 1
	retriesAtStart = 100
)

// show runs one example site through its paces.
func show(u user, binaries, examples string) error {
	s, err := startSite(u, binaries, examples)
	if err != nil {
		return err
	}
	defer s.close()
	steps := []func() error{s.apply, s.callEachDaemon, s.reclaimMidStream, s.drainOne, s.auditTrail}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// apply waits for the daemons' operators' listeners and puts the example in force.
func (s *site) apply() error {
	if _, err := s.ctl("validate", s.configuration); err != nil {
		return err
	}
	var out string
	var err error
	for range retriesAtStart {
		out, err = s.ctl("apply", "--base", "0", "--wait", s.configuration)
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.say("configuration: %s", lastLine(out))
	for _, d := range s.daemons {
		if err := d.WaitServing(s.caller(d), s.user.model, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) caller(d *testsite.Daemon) *testsite.Caller {
	return testsite.NewCaller("example-key-"+s.user.organisation, d.Callers)
}

func (s *site) callEachDaemon() error {
	for _, d := range s.daemons {
		if err := s.callDaemon(d); err != nil {
			return fmt.Errorf("%s: %w", d.Name, err)
		}
	}
	return nil
}

func (s *site) callDaemon(d *testsite.Daemon) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	caller := s.caller(d)
	body := testsite.ModelBody(s.user.model, s.user.prompt, shortAnswer, true)
	stream, err := caller.Open(ctx, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := s.readWhole(stream, body); err != nil {
		return err
	}
	s.say("%s: streamed %d tokens, %s", d.Name, len(stream.Text), stream.Head.RequestID)
	if err := s.plain(ctx, caller, http.MethodGet, s.user.readPath, ""); err != nil {
		return err
	}
	return s.plain(ctx, caller, http.MethodPost, s.user.bookPath, "demo-"+s.user.name+"-"+d.Name)
}

func (s *site) plain(ctx context.Context, caller *testsite.Caller, method, path, key string) error {
	var headers []testsite.Header
	if key != "" {
		headers = append(headers, testsite.Header{Name: "Idempotency-Key", Value: key})
	}
	a, err := caller.Call(ctx, method, path, nil, headers...)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return fmt.Errorf("%s %s: %d %s", method, path, a.Status, a.Body)
	}
	s.say("  %s %s: %d, %s", method, path, a.Status, a.Outcome)
	return nil
}

// readWhole reads a stream to its end and compares it with an unharmed run's answer.
func (s *site) readWhole(stream *testsite.Stream, body []byte) error {
	if stream.Head.Status != http.StatusOK {
		return fmt.Errorf("stream refused: %d %s", stream.Head.Status, stream.Head.Body)
	}
	if err := stream.ReadAll(); err != nil {
		return err
	}
	if !stream.Completed || !slices.Equal(stream.Text, standin.ExpectedAnswer(body)) {
		return fmt.Errorf("stream %s is not whole", stream.Head.RequestID)
	}
	return nil
}

// reclaimMidStream takes the host that makes a stream while it is being read.
func (s *site) reclaimMidStream() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := testsite.ModelBody(s.user.model, s.user.prompt+", at length", longAnswer, true)
	stream, err := s.caller(s.daemons[0]).Open(ctx, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	for range eventsBefore {
		if err := stream.Next(); err != nil {
			return err
		}
	}
	from, err := s.endpointOf(ctx, stream.Head.RequestID, "")
	if err != nil {
		return err
	}
	if err := s.notice(ctx, from.Host); err != nil {
		return err
	}
	if err := s.readWhole(stream, body); err != nil {
		return err
	}
	to, err := s.endpointOf(ctx, stream.Head.RequestID, from.Name)
	if err != nil {
		return err
	}
	s.say("reclaim: host %s noticed after %d tokens; the stream went on at %s, %d tokens, whole",
		from.Host, eventsBefore, to.Name, len(stream.Text))
	return nil
}

// notice announces that a host is taken away.
func (s *site) notice(ctx context.Context, host string) error {
	body := fmt.Appendf(nil, `{"host": %q, "seconds": %d}`, host, noticeSeconds)
	a, err := s.outsideCaller().Call(ctx, http.MethodPost, "/cloud/notice", body)
	if err == nil && a.Status != http.StatusOK {
		err = fmt.Errorf("notice: %d %s", a.Status, a.Body)
	}
	return err
}

func (s *site) outsideCaller() *testsite.Caller {
	return testsite.NewCaller(testsite.PlatformToken, s.listen.Platform)
}

// endpointOf finds the endpoint, other than the given one, that made tokens of a
// request, in the endpoints' own ledgers. An endpoint whose host is gone has no say.
func (s *site) endpointOf(ctx context.Context, requestID, other string) (standin.ListenEndpoint, error) {
	for _, e := range s.listen.Endpoints {
		if e.Name == other {
			continue
		}
		a, err := testsite.NewCaller("", e.Address).Call(ctx, http.MethodGet, "/v1/ledger", nil)
		if err == nil && madeTokens(a.Body, requestID) {
			return e, nil
		}
	}
	return standin.ListenEndpoint{}, fmt.Errorf("no endpoint made tokens of %s", requestID)
}

// madeTokens reads an engine's ledger; a service's has no streams.
func madeTokens(body []byte, requestID string) bool {
	var ledger []standin.LedgerEntry
	if json.Unmarshal(body, &ledger) != nil {
		return false
	}
	for _, entry := range ledger {
		if entry.Computed && strings.HasPrefix(string(entry.Stream), requestID) {
			return true
		}
	}
	return false
}

// drainOne drains the last daemon through the operators' tool.
func (s *site) drainOne() error {
	last := s.daemons[len(s.daemons)-1]
	if _, err := s.ctl("drain", last.Name); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ready := testsite.NewCaller(testsite.OperatorKey, last.Operators)
	a, err := ready.Call(ctx, http.MethodGet, "/readyz", nil)
	if err != nil {
		return err
	}
	if a.Status != http.StatusServiceUnavailable {
		return fmt.Errorf("%s: still ready after the drain: %d", last.Name, a.Status)
	}
	s.say("drain: %s is not ready any more and finishes what it has", last.Name)
	return nil
}

func (s *site) auditTrail() error {
	out, err := s.ctl("audit")
	if err != nil {
		return err
	}
	first, _, _ := strings.Cut(out, "\n")
	s.say("audit: %s", first)
	return nil
}

func (s *site) say(format string, args ...any) {
	fmt.Printf(s.user.name+": "+format+"\n", args...)
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

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

// The timeouts and sizes of the demo.
const (
	readyTimeout       = 15 * time.Second
	callTimeout        = 20 * time.Second
	shortAnswerTokens  = 20
	longAnswerTokens   = 200
	eventsBeforeNotice = 20
	noticeSeconds      = 1
	maxApplyAttempts   = 100
)

// show runs all steps of the demo on one example site.
func show(e example, binaries, examples string) error {
	s, err := startSite(e, binaries, examples)
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

// apply waits for an operators' listener, applies the example's configuration and waits
// until all daemons serve it.
func (s *site) apply() error {
	if _, err := s.ctl("validate", s.configuration); err != nil {
		return err
	}
	var out string
	var err error
	for range maxApplyAttempts {
		out, err = s.ctl("apply", "--base", "0", "--wait", s.configuration)
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.printf("configuration: %s", lastLine(out))
	for _, d := range s.daemons {
		if err := d.WaitServing(s.caller(d), s.example.model, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) caller(d *testsite.Daemon) *testsite.Caller {
	return testsite.NewCaller("example-key-"+s.example.organisation, d.Callers)
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
	body := testsite.ModelBody(s.example.model, s.example.prompt, shortAnswerTokens, true)
	stream, err := caller.Open(ctx, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := s.readAndCheck(stream, body); err != nil {
		return err
	}
	s.printf("%s: streamed %d tokens, %s", d.Name, len(stream.Text), stream.Head.RequestID)
	if err := s.callService(ctx, caller, http.MethodGet, s.example.readPath, ""); err != nil {
		return err
	}
	return s.callService(ctx, caller, http.MethodPost, s.example.writePath, "demo-"+s.example.name+"-"+d.Name)
}

func (s *site) callService(ctx context.Context, caller *testsite.Caller, method, path, key string) error {
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
	s.printf("  %s %s: %d, %s", method, path, a.Status, a.Outcome)
	return nil
}

// readAndCheck reads a stream to its end and compares it with the expected answer.
func (s *site) readAndCheck(stream *testsite.Stream, body []byte) error {
	if stream.Head.Status != http.StatusOK {
		return fmt.Errorf("stream refused: %d %s", stream.Head.Status, stream.Head.Body)
	}
	if err := stream.ReadAll(); err != nil {
		return err
	}
	if !stream.Completed || !slices.Equal(stream.Text, standin.ExpectedAnswer(body)) {
		return fmt.Errorf("stream %s is incomplete", stream.Head.RequestID)
	}
	return nil
}

// reclaimMidStream reclaims the host that generates a stream while the stream is read.
func (s *site) reclaimMidStream() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := testsite.ModelBody(s.example.model, s.example.prompt+", at length", longAnswerTokens, true)
	stream, err := s.caller(s.daemons[0]).Open(ctx, body)
	if err != nil {
		return err
	}
	defer stream.Close()
	for range eventsBeforeNotice {
		if err := stream.Next(); err != nil {
			return err
		}
	}
	from, err := s.findEndpoint(ctx, stream.Head.RequestID, "")
	if err != nil {
		return err
	}
	if err := s.sendNotice(ctx, from.Host); err != nil {
		return err
	}
	if err := s.readAndCheck(stream, body); err != nil {
		return err
	}
	to, err := s.findEndpoint(ctx, stream.Head.RequestID, from.Name)
	if err != nil {
		return err
	}
	s.printf("reclaim: host %s noticed after %d tokens; the stream went on at %s, %d tokens, whole",
		from.Host, eventsBeforeNotice, to.Name, len(stream.Text))
	return nil
}

// sendNotice sends a notice that a host is going to be reclaimed.
func (s *site) sendNotice(ctx context.Context, host string) error {
	body := fmt.Appendf(nil, `{"host": %q, "seconds": %d}`, host, noticeSeconds)
	a, err := s.cloudCaller().Call(ctx, http.MethodPost, "/cloud/notice", body)
	if err == nil && a.Status != http.StatusOK {
		err = fmt.Errorf("notice: %d %s", a.Status, a.Body)
	}
	return err
}

func (s *site) cloudCaller() *testsite.Caller {
	return testsite.NewCaller(testsite.PlatformToken, s.addresses.Platform)
}

// findEndpoint returns the endpoint, other than exclude, that generated tokens of a request
// according to its own ledger. It skips endpoints that do not respond, since their hosts
// may be gone.
func (s *site) findEndpoint(ctx context.Context, requestID, exclude string) (standin.ListenEndpoint, error) {
	for _, e := range s.addresses.Endpoints {
		if e.Name == exclude {
			continue
		}
		a, err := testsite.NewCaller("", e.Address).Call(ctx, http.MethodGet, "/v1/ledger", nil)
		if err == nil && computedTokens(a.Body, requestID) {
			return e, nil
		}
	}
	return standin.ListenEndpoint{}, fmt.Errorf("no endpoint computed tokens of %s", requestID)
}

// computedTokens reports whether a ledger shows that an engine generated tokens of a
// request. The ledger of a service has no streams.
func computedTokens(body []byte, requestID string) bool {
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

// drainOne drains the last daemon with the operators' tool.
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
	s.printf("drain: %s is not ready any more and finishes what it has", last.Name)
	return nil
}

func (s *site) auditTrail() error {
	out, err := s.ctl("audit")
	if err != nil {
		return err
	}
	first, _, _ := strings.Cut(out, "\n")
	s.printf("audit: %s", first)
	return nil
}

func (s *site) printf(format string, args ...any) {
	fmt.Printf(s.example.name+": "+format+"\n", args...)
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

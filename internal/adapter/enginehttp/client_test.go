package enginehttp_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/engine"
	"rattanchute/internal/standin"
)

var body = json.RawMessage(`{"model":"m","messages":[{"role":"user","content":"price of urea in Quito"}],"max_tokens":12}`)

func startEngine(t *testing.T, c standin.EngineConfig) *standin.Engine {
	t.Helper()
	e := standin.NewEngine(c)
	if err := e.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func startService(t *testing.T) *standin.Service {
	t.Helper()
	s := standin.NewService(standin.ServiceConfig{})
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newClient() *enginehttp.Client { return enginehttp.New(enginehttp.Options{}) }

// readTexts reads a stream to its end or first error and returns the texts of its chunks.
func readTexts(s engine.Stream) ([]string, error) {
	var got []string
	for {
		c, err := s.Next()
		if err == io.EOF {
			return got, nil
		}
		if err != nil {
			return got, err
		}
		got = append(got, c.Text)
	}
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestGenerateDeliversWholeAnswer(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 1})
	s, err := newClient().Generate(context.Background(), e.Address(), engine.Generate{Stream: "r/1", Body: body})
	is.NoErr(err)
	got, err := readTexts(s)
	is.NoErr(err)
	is.Equal(got, standin.ExpectedAnswer(body))
	is.NoErr(s.Close())
	entry := e.Ledger()["r/1"]
	is.True(entry.Computed && !entry.Cancelled)
	is.Equal(entry.Last, 11)
}

func TestFirstTokenArrivesBeforeLastIsGenerated(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 200})
	s, err := newClient().Generate(context.Background(), e.Address(), engine.Generate{Stream: "r", Body: body})
	is.NoErr(err)
	first, err := s.Next()
	is.NoErr(err)
	is.True(first.Load != nil)
	is.True(e.Ledger()["r"].Last < 11)
	is.NoErr(s.Close())
	waitUntil(t, "cancel", func() bool { return e.Ledger()["r"].Cancelled })
}

func TestContextEndsBlockedNext(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 60_000})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := newClient().Generate(ctx, e.Address(), engine.Generate{Stream: "r", Body: body})
	is.NoErr(err)
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err = s.Next()
	is.True(errors.Is(err, context.Canceled))
	is.NoErr(s.Close())
	is.True(e.Ledger()["r"].Cancelled)
}

func TestCloseEndsBlockedNext(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 60_000})
	s, err := newClient().Generate(context.Background(), e.Address(), engine.Generate{Stream: "r", Body: body})
	is.NoErr(err)
	ended := make(chan error)
	go func() {
		_, err := s.Next()
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond)
	is.NoErr(s.Close())
	is.True(<-ended != nil)
	is.True(e.Ledger()["r"].Cancelled)
}

func TestForeignAndRepeatedChunksAreDropped(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 1})
	e.SetFaults(standin.Faults{ForeignChunks: true, DuplicateChunks: true})
	c := newClient()
	s, err := c.Generate(context.Background(), e.Address(), engine.Generate{Stream: "r", Body: body})
	is.NoErr(err)
	got, err := readTexts(s)
	is.NoErr(err)
	is.Equal(got, standin.ExpectedAnswer(body))
	is.Equal(c.ForeignChunks(), uint64(12))
	is.Equal(c.RepeatedChunks(), uint64(12))
}

func TestAttachAfterCutContinues(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 1})
	e.SetFaults(standin.Faults{CutAfterChunks: 5, Count: 1})
	c := newClient()
	s, err := c.Generate(context.Background(), e.Address(), engine.Generate{Stream: "r", Body: body})
	is.NoErr(err)
	got, err := readTexts(s)
	is.True(err != nil)
	is.True(!errors.Is(err, engine.ErrNotSent))
	again := engine.Generate{Stream: "r", Body: body, Attach: true, Offset: len(got)}
	s, err = c.Generate(context.Background(), e.Address(), again)
	is.NoErr(err)
	rest, err := readTexts(s)
	is.NoErr(err)
	is.Equal(append(got, rest...), standin.ExpectedAnswer(body))
	is.Equal(e.Ledger()["r"].Accepted, 1)
}

func TestAttachToUnknownStream(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{})
	_, err := newClient().Generate(context.Background(), e.Address(), engine.Generate{Stream: "r", Body: body, Attach: true})
	is.True(errors.Is(err, engine.ErrNoStream))
	is.Equal(len(e.Ledger()), 0)
}

func TestResumeOnAnotherEngineWithImportedKV(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	from := startEngine(t, standin.EngineConfig{TokenMillis: 10})
	to := startEngine(t, standin.EngineConfig{TokenMillis: 1})
	c := newClient()
	s, err := c.Generate(ctx, from.Address(), engine.Generate{Stream: "r/1", Body: body})
	is.NoErr(err)
	var got []string
	for range 3 {
		chunk, err := s.Next()
		is.NoErr(err)
		got = append(got, chunk.Text)
	}
	blob, err := c.ExportKV(ctx, from.Address(), "r/1")
	is.NoErr(err)
	is.NoErr(s.Close())
	is.NoErr(c.ImportKV(ctx, to.Address(), blob))
	resumed := engine.Generate{Stream: "r/2", Body: body, Prefix: got, Offset: 3}
	s, err = c.Generate(ctx, to.Address(), resumed)
	is.NoErr(err)
	rest, err := readTexts(s)
	is.NoErr(err)
	is.Equal(append(got, rest...), standin.ExpectedAnswer(body))
	entry := to.Ledger()["r/2"]
	is.Equal(entry.First, 3)
	is.True(entry.Prefilled < blob.Tokens)
}

// interruptions are the points at which a request can be interrupted. notSent is whether the
// client can know that the request did not run; runs is how often the service runs it.
var interruptions = []struct {
	name    string
	faults  standin.Faults
	notSent bool
	runs    int
}{
	{"refused", standin.Faults{Refuse: true}, true, 0},
	{"before anything was read", standin.Faults{CutBeforeRead: true}, false, 0},
	{"within the request", standin.Faults{CutAfterRequestBytes: 20}, false, 0},
	{"after the run", standin.Faults{CutAfterRun: true}, false, 1},
	{"closed", standin.Faults{Die: true}, true, 0},
}

func TestCallReportsWhetherItRan(t *testing.T) {
	for _, cut := range interruptions {
		for _, warm := range []bool{false, true} {
			t.Run(cut.name, func(t *testing.T) {
				is := is.New(t)
				s := startService(t)
				c := newClient()
				if warm {
					_, err := c.Call(context.Background(), s.Address(), engine.Call{Method: "GET", URI: "/warm"})
					is.NoErr(err)
				}
				s.SetFaults(cut.faults)
				call := engine.Call{Method: "POST", URI: "/renew/booking", Body: []byte("x"), AttemptID: "a"}
				_, err := c.Call(context.Background(), s.Address(), call)
				is.True(err != nil)
				is.Equal(errors.Is(err, engine.ErrNotSent), cut.notSent)
				is.Equal(s.Ledger().Attempts["a"], cut.runs)
			})
		}
	}
}

func TestGenerateReportsWhetherItRan(t *testing.T) {
	for _, cut := range interruptions {
		if cut.faults.CutAfterRun {
			continue
		}
		t.Run(cut.name, func(t *testing.T) {
			is := is.New(t)
			e := startEngine(t, standin.EngineConfig{})
			e.SetFaults(cut.faults)
			_, err := newClient().Generate(context.Background(), e.Address(), engine.Generate{Stream: "r", Body: body})
			is.True(err != nil)
			is.Equal(errors.Is(err, engine.ErrNotSent), cut.notSent)
			is.Equal(len(e.Ledger()), 0)
		})
	}
}

func TestFrozenEndpointLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	s.SetFaults(standin.Faults{Freeze: true})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := newClient().Call(ctx, s.Address(), engine.Call{Method: "POST", URI: "/"})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(!errors.Is(err, engine.ErrNotSent))
}

// TestStaleConnectionIsNotUsed checks that, after the server has closed an idle
// connection, the next call uses a new connection and runs once.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	c := newClient()
	for run := 1; run <= 3; run++ {
		response, err := c.Call(context.Background(), s.Address(), engine.Call{Method: "POST", URI: "/", AttemptID: "a"})
		is.NoErr(err)
		is.Equal(response.Status, 200)
		is.Equal(s.Ledger().Attempts["a"], run)
		s.Close()
		is.NoErr(s.Listen())
	}
}

// TestRequestIsNeverRepeated checks the bytes that arrive at a listener that closes each
// connection after reading: a single request, to which only Host and Content-Length are added.
func TestRequestIsNeverRepeated(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	requests := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 4096)
			n, _ := conn.Read(b)
			requests <- string(b[:n])
			_ = conn.Close()
		}
	}()
	address := ln.Addr().String()
	call := engine.Call{Method: "PUT", URI: "/a", Body: []byte("x"), Headers: []engine.Header{{Name: "x-Own", Value: "1"}}}
	_, err = newClient().Call(context.Background(), address, call)
	is.True(err != nil)
	is.True(!errors.Is(err, engine.ErrNotSent))
	is.Equal(<-requests, "PUT /a HTTP/1.1\r\nHost: "+address+"\r\nContent-Length: 1\r\nx-Own: 1\r\n\r\nx")
	is.Equal(len(requests), 0)
}

func TestCallPassesRequestThrough(t *testing.T) {
	is := is.New(t)
	s := startService(t)
	call := engine.Call{
		Method:    "PATCH",
		URI:       "/renew/a%2Fb/../c?x=1&y=%20",
		Headers:   []engine.Header{{Name: "Idempotency-Key", Value: "k"}, {Name: "X-Attempt-Id", Value: "forged"}},
		Body:      []byte("fee"),
		AttemptID: "a",
	}
	response, err := newClient().Call(context.Background(), s.Address(), call)
	is.NoErr(err)
	var echo standin.Echo
	is.NoErr(json.Unmarshal(response.Body, &echo))
	is.Equal(echo, standin.Echo{Method: "PATCH", Path: call.URI, Body: "fee", Run: 1})
	is.Equal(s.Ledger().Keys["k"], 1)
	is.Equal(s.Ledger().Attempts, map[string]int{"a": 1})
}

func TestOrdersAndFencing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newClient()
	for _, checks := range []bool{true, false} {
		e := startEngine(t, standin.EngineConfig{Models: []string{"m"}, ChecksFencing: checks})
		is.NoErr(c.Order(ctx, e.Address(), engine.Order{Kind: engine.OrderRole, Role: "prefill", FencingToken: 2}))
		err := c.Order(ctx, e.Address(), engine.Order{Kind: engine.OrderUnload, Model: "m", FencingToken: 1})
		is.Equal(errors.Is(err, engine.ErrFenced), checks)
		is.Equal(len(e.State().Models) == 1, checks)
	}
}

func TestFrozenStreamContinuesAfterwards(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 1})
	s, err := newClient().Generate(context.Background(), e.Address(), engine.Generate{Stream: "r", Body: body})
	is.NoErr(err)
	first, err := s.Next()
	is.NoErr(err)
	e.SetFaults(standin.Faults{Freeze: true})
	waitUntil(t, "the engine computes on", func() bool { return e.Ledger()["r"].Last == 11 })
	e.SetFaults(standin.Faults{})
	rest, err := readTexts(s)
	is.NoErr(err)
	is.Equal(append([]string{first.Text}, rest...), standin.ExpectedAnswer(body))
}

// TestSuccessWithoutAStreamIsAnError covers an engine that answers a generation with 204: neither a stream
// nor a word that nothing ran.
func TestSuccessWithoutAStreamIsAnError(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		}))
	}()
	s, err := newClient().Generate(t.Context(), listener.Addr().String(), engine.Generate{Stream: "s", Body: body})
	is.True(s == nil)
	var status *enginehttp.StatusError
	is.True(errors.As(err, &status))
	is.Equal(status.Status, http.StatusNoContent)
	is.True(!errors.Is(err, engine.ErrNotSent))
}

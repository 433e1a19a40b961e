package enginehttp_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
	"rattanchute/internal/standin"
)

// signalledSite is a client whose router knows one engine and one service.
type signalledSite struct {
	client  *enginehttp.Client
	router  *route.Router
	engine  *standin.Engine
	service *standin.Service
}

func newSignalledSite(t *testing.T) *signalledSite {
	t.Helper()
	s := &signalledSite{router: route.NewRouter("dc"), engine: startEngine(t, standin.EngineConfig{TokenMillis: 1}), service: startService(t)}
	host := fleet.Host{Name: "h", DataCentre: "dc"}
	s.router.SetTable(route.Compile(&fleet.Configuration{
		DataCentres: []fleet.DataCentre{{Name: "dc", Region: "r"}},
		Hosts:       []fleet.Host{host},
		Endpoints: []fleet.Endpoint{
			{Name: "e", Fleet: "f", Host: "h", Address: s.engine.Address()},
			{Name: "s", Fleet: "g", Host: "h", Address: s.service.Address()},
		},
	}))
	s.client = enginehttp.New(enginehttp.Options{Signals: s.router})
	return s
}

func (s *signalledSite) call() error {
	_, err := s.client.Call(context.Background(), s.service.Address(), engine.Call{Method: "POST", URI: "/", AttemptID: "a"})
	return err
}

func (s *signalledSite) generate(id engine.StreamID) (engine.Stream, error) {
	return s.client.Generate(context.Background(), s.engine.Address(), engine.Generate{Stream: id, Body: body})
}

func TestServiceThatLeavesGetsNoFurtherCall(t *testing.T) {
	is := is.New(t)
	s := newSignalledSite(t)
	s.service.SetFaults(standin.Faults{Leaving: true})
	is.NoErr(s.call()) // an answer of a leaving service is an answer
	err := s.call()
	is.True(errors.Is(err, engine.ErrNotSent))
	is.True(errors.Is(err, engine.ErrClosed))
	is.Equal(s.service.Ledger().Runs, 1)
	is.True(!s.router.Available(time.Now(), "s"))
	is.True(s.router.Available(time.Now(), "e"))
}

func TestLeavingEngineFinishesItsStreams(t *testing.T) {
	is := is.New(t)
	s := newSignalledSite(t)
	s.engine.SetFaults(standin.Faults{Leaving: true})
	stream, err := s.generate("r/1")
	is.NoErr(err)
	_, err = s.generate("r/2")
	is.True(errors.Is(err, engine.ErrClosed))
	got, err := readTexts(stream)
	is.NoErr(err)
	is.Equal(got, standin.ExpectedAnswer(body))
	attach := engine.Generate{Stream: "r/1", Body: body, Attach: true, Offset: 3}
	again, err := s.client.Generate(context.Background(), s.engine.Address(), attach)
	is.NoErr(err) // no new work
	_, err = readTexts(again)
	is.NoErr(err)
}

// TestLoadReportOfALeavingEngineCounts also covers that another instance of the host is served.
func TestLoadReportOfALeavingEngineCounts(t *testing.T) {
	is := is.New(t)
	s := newSignalledSite(t)
	s.router.SetHostState(fleet.HostState{Host: "h", Instance: "i-1", Phase: fleet.PhaseLive})
	s.engine.SetFaults(standin.Faults{Leaving: true})
	_, err := s.client.Load(context.Background(), s.engine.Address())
	is.NoErr(err)
	is.True(!s.router.Available(time.Now(), "e"))
	s.router.SetHostState(fleet.HostState{Host: "h", Instance: "i-2", Phase: fleet.PhaseLive})
	is.True(s.router.Available(time.Now(), "e"))
}

func TestClosedEngineGetsNoRequestUntilTheStatedEnd(t *testing.T) {
	is := is.New(t)
	s := newSignalledSite(t)
	s.engine.SetFaults(standin.Faults{Refuse: true, RetryAfterMillis: 300})
	began := time.Now()
	for range 5 {
		_, err := s.generate("r/1")
		is.True(errors.Is(err, engine.ErrNotSent))
		is.True(errors.Is(err, engine.ErrClosed))
	}
	s.engine.SetFaults(standin.Faults{})
	// Load reports go on and do not open the engine.
	_, err := s.client.Load(context.Background(), s.engine.Address())
	is.NoErr(err)
	is.True(!s.router.Available(time.Now(), "e"))
	waitUntil(t, "open again", func() bool { return s.router.Available(time.Now(), "e") })
	is.True(time.Since(began) >= 300*time.Millisecond)
	stream, err := s.generate("r/2")
	is.NoErr(err)
	is.NoErr(stream.Close())
}

// ignoredSignals records which statements were malformed.
type ignoredSignals struct {
	route.SignalLog
	errs []error
}

func (l *ignoredSignals) SignalIgnored(_ string, err error) { l.errs = append(l.errs, err) }

func TestMalformedStatementIsIgnoredAndReported(t *testing.T) {
	is := is.New(t)
	s := newSignalledSite(t)
	ignored := &ignoredSignals{}
	s.router.SetSignalLog(ignored)
	s.service.SetFaults(standin.Faults{LeavingText: "perhaps"})
	is.NoErr(s.call())
	is.Equal(len(ignored.errs), 1)
	is.True(s.router.Available(time.Now(), "s"))
}

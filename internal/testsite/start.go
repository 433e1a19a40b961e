package testsite

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"rattanchute/internal/fleet"
	"rattanchute/internal/platform"
	"rattanchute/internal/spread"
	"rattanchute/internal/standin"
)

// Site is a running site.
type Site struct {
	// Standin gives tests the ledgers and the fault switches.
	Standin *standin.Site
	Daemons []*Daemon

	options Options
}

// startTimeout bounds the wait until a daemon serves.
const startTimeout = 20 * time.Second

// Start starts a site in dir: the stand-in in this process, the daemons as processes
// of their own. It returns once all daemons serve the site's configuration.
func Start(dir, binary string, o Options) (*Site, error) {
	outside, err := standin.NewSite(o.standin())
	if err != nil {
		return nil, err
	}
	s := &Site{Standin: outside, options: o}
	if err := s.start(dir, binary); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(dir, binary string) error {
	if err := s.Standin.Listen(); err != nil {
		return err
	}
	if err := s.Apply(1, s.options.configuration(s.Standin.ListenMap())); err != nil {
		return err
	}
	if err := s.prepareDaemons(dir, binary); err != nil {
		return err
	}
	for _, d := range s.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return s.AwaitReady(startTimeout)
}

func (s *Site) prepareDaemons(dir, binary string) error {
	nodes, err := NewNodes(s.options.Daemons, s.options.dataCentre)
	if err != nil {
		return err
	}
	s.Daemons, err = NewDaemons(dir, binary, nodes, Common{
		Platform:          s.Standin.Address(),
		ShutdownGrace:     s.options.shutdownGrace(),
		ReadHeaderTimeout: s.options.ReadHeaderTimeout,
	})
	return err
}

// Apply writes a configuration to the platform as the given generation.
func (s *Site) Apply(g fleet.Generation, text []byte) error {
	value, err := json.Marshal(spread.StoredConfiguration{Generation: g, Text: string(text)})
	if err != nil {
		return err
	}
	ctx := context.Background()
	object, err := s.Standin.Store.Get(ctx, platform.KindConfiguration, "current")
	if errors.Is(err, platform.ErrNotFound) {
		_, err = s.Standin.Store.Create(ctx, platform.KindConfiguration, "current", value)
		return err
	}
	if err != nil {
		return err
	}
	object.Value = value
	_, err = s.Standin.Store.Update(ctx, object)
	return err
}

// ApplyAgain writes the site's own configuration as another generation.
func (s *Site) ApplyAgain(g fleet.Generation) error {
	return s.Apply(g, s.options.configuration(s.Standin.ListenMap()))
}

// AwaitReady waits until each daemon answers callers by the configuration.
func (s *Site) AwaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, d := range s.Daemons {
		if err := d.AwaitServes(NewCaller(CallerKey, d.Callers), Model, time.Until(end)); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Close()
	}
	s.Standin.Close()
}

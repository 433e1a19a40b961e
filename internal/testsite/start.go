package testsite

import (
	"context"
	"fmt"
	"time"

	"rattanchute/internal/configstore"
	"rattanchute/internal/standin"
)

// Site is a running site. See the package comment.
type Site struct {
	// Standin gives tests access to the ledgers and the fault injection of the fakes.
	Standin *standin.Site
	Daemons []*Daemon

	options Options
}

// startTimeout bounds the wait until all daemons serve.
const startTimeout = 20 * time.Second

// Start starts a site whose files are in dir: the stand-in in this process and each daemon
// as a process of its own. It returns once all daemons serve the site's configuration.
func Start(dir, binary string, o Options) (*Site, error) {
	fake, err := standin.NewSite(o.standin())
	if err != nil {
		return nil, err
	}
	s := &Site{Standin: fake, options: o}
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
	if err := s.Apply(s.Configuration()); err != nil {
		return err
	}
	if err := s.newDaemons(dir, binary); err != nil {
		return err
	}
	for _, d := range s.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return s.WaitReady(startTimeout)
}

func (s *Site) newDaemons(dir, binary string) error {
	nodes, err := NewNodes(s.options.Daemons, s.options.dataCentre)
	if err != nil {
		return err
	}
	s.Daemons, err = NewDaemons(dir, binary, nodes, CommonSettings{
		Platform:          s.Standin.Address(),
		ShutdownGrace:     s.options.shutdownGrace(),
		ReadHeaderTimeout: s.options.ReadHeaderTimeout,
		MaxOpenStreams:    s.options.MaxOpenStreams,
		MaxBodyBytes:      s.options.MaxBodyBytes,
		MemoryBytes:       s.options.MemoryBytes,
		Descriptors:       s.options.Descriptors,
		TLS:               s.options.TLS,
	})
	return err
}

// Apply writes a configuration to the store as successor of the current one.
func (s *Site) Apply(text []byte) error {
	ctx := context.Background()
	stored, err := configstore.Read(ctx, s.Standin.Store)
	if err != nil {
		return err
	}
	_, err = configstore.Accept(ctx, s.Standin.Store, configstore.Change{
		ID:       fmt.Sprintf("apply-%d", stored.Generation),
		Operator: "tester",
		Base:     stored.Generation,
		File:     "configuration",
		Text:     string(text),
	}, time.Now())
	return err
}

// Configuration returns the text of the site's configuration.
func (s *Site) Configuration() []byte { return s.options.configurationText(s.Standin.ListenMap()) }

// WaitReady waits until each daemon serves the site's model.
func (s *Site) WaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, d := range s.Daemons {
		if err := d.WaitServing(s.Caller(d), Model, time.Until(end)); err != nil {
			return err
		}
	}
	return nil
}

// Caller returns a caller of the first organisation for a daemon.
func (s *Site) Caller(d *Daemon) *Caller {
	if s.options.CallerTLS == nil {
		return NewCaller(CallerKey, d.Callers)
	}
	return NewTLSCaller(CallerKey, d.Callers, s.options.CallerTLS)
}

// Close ends the daemons and the stand-in.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Close()
	}
	s.Standin.Close()
}

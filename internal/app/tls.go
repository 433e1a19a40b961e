package app

import (
	"crypto/tls"
	"fmt"
	"time"

	"rattanchute/internal/adapter/tlsfiles"
	"rattanchute/internal/settings"
)

// tlsParts are the certificates of the listeners; nil ones speak plainly.
type tlsParts struct {
	callerFiles *tlsfiles.Reloader
	peerFiles   *tlsfiles.Reloader
}

func (a *App) buildTLS() error {
	var err error
	if a.tls.callerFiles, err = newReloader(a.settings.TLS.Callers); err != nil {
		return fmt.Errorf("callers' certificate: %w", err)
	}
	if a.tls.peerFiles, err = newReloader(a.settings.TLS.Peers); err != nil {
		return fmt.Errorf("peers' certificate: %w", err)
	}
	return nil
}

func newReloader(c settings.Certificate) (*tlsfiles.Reloader, error) {
	if !c.Enabled() {
		return nil, nil
	}
	return tlsfiles.New(tlsfiles.Files{Cert: c.CertFile, Key: c.KeyFile, Authorities: c.ClientCAFile})
}

func (t *tlsParts) callers() *tls.Config {
	if t.callerFiles == nil {
		return nil
	}
	return t.callerFiles.Server()
}

func (t *tlsParts) peerServer() *tls.Config {
	if t.peerFiles == nil {
		return nil
	}
	return t.peerFiles.Server()
}

func (t *tlsParts) peerClient() *tls.Config {
	if t.peerFiles == nil {
		return nil
	}
	return t.peerFiles.Client()
}

// run reloads the files until stop is closed.
func (t *tlsParts) run(interval time.Duration, stop <-chan struct{}) {
	for _, r := range []*tlsfiles.Reloader{t.callerFiles, t.peerFiles} {
		if r != nil {
			go r.Run(interval, stop)
		}
	}
}

package app

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"rattanchute/internal/adapter/certreload"
	"rattanchute/internal/settings"
)

// tlsParts are the certificates of the listeners; nil ones speak plainly.
type tlsParts struct {
	callerFiles *certreload.Reloader
	peerFiles   *certreload.Reloader
	log         *log.Logger
}

// listenerFiles are the files of one listener.
type listenerFiles struct {
	listener string
	files    *certreload.Reloader
}

// all lists the listeners that speak TLS.
func (t *tlsParts) all() []listenerFiles {
	var list []listenerFiles
	for _, l := range []listenerFiles{{"callers", t.callerFiles}, {"peers", t.peerFiles}} {
		if l.files != nil {
			list = append(list, l)
		}
	}
	return list
}

func (a *App) buildTLS() error {
	var err error
	a.tls.log = a.log
	if a.tls.callerFiles, err = newReloader(a.settings.TLS.Callers); err != nil {
		return fmt.Errorf("callers' certificate: %w", err)
	}
	if a.tls.peerFiles, err = newReloader(a.settings.TLS.Peers); err != nil {
		return fmt.Errorf("peers' certificate: %w", err)
	}
	a.exportTLS()
	return nil
}

// exportTLS registers the metrics of the certificates.
func (a *App) exportTLS() {
	for _, l := range a.tls.all() {
		labels := prometheus.Labels{"listener": l.listener}
		a.registry.MustRegister(
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Namespace: "rattanchute", Name: "tls_reload_failures_total", ConstLabels: labels,
				Help: "Reads of a certificate's files that failed.",
			}, func() float64 { return float64(l.files.Failures()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Namespace: "rattanchute", Name: "tls_certificate_expiry_timestamp_seconds", ConstLabels: labels,
				Help: "When the certificate in use expires.",
			}, func() float64 { return float64(l.files.NotAfter().Unix()) }),
		)
	}
}

func newReloader(c settings.Certificate) (*certreload.Reloader, error) {
	if !c.Enabled() {
		return nil, nil
	}
	return certreload.New(certreload.Files{Cert: c.CertFile, Key: c.KeyFile, ClientCA: c.ClientCAFile})
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
	for _, l := range t.all() {
		go l.files.Run(interval, stop, func(err error) { t.changed(l.listener, err) })
	}
}

func (t *tlsParts) changed(listener string, err error) {
	if err != nil {
		t.log.Error().Str("listener", listener).Err(err).Msg("certificate not read; the earlier one stays in use")
		return
	}
	t.log.Info().Str("listener", listener).Msg("certificate read again")
}

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

// tlsReloaders holds the certificate reloaders of the listeners. A listener whose reloader
// is nil does not use TLS.
type tlsReloaders struct {
	callerFiles *certreload.Reloader
	peerFiles   *certreload.Reloader
	log         *log.Logger
}

// listenerReloader is the certificate reloader of the named listener.
type listenerReloader struct {
	listener string
	reloader *certreload.Reloader
}

// all returns the reloaders of the listeners that use TLS.
func (t *tlsReloaders) all() []listenerReloader {
	var list []listenerReloader
	for _, l := range []listenerReloader{{"callers", t.callerFiles}, {"peers", t.peerFiles}} {
		if l.reloader != nil {
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
	a.registerTLSMetrics()
	return nil
}

// registerTLSMetrics registers the metrics of the certificate reloaders.
func (a *App) registerTLSMetrics() {
	for _, l := range a.tls.all() {
		labels := prometheus.Labels{"listener": l.listener}
		a.registry.MustRegister(
			prometheus.NewCounterFunc(prometheus.CounterOpts{
				Namespace: "rattanchute", Name: "tls_reload_failures_total", ConstLabels: labels,
				Help: "Reads of a certificate's files that failed.",
			}, func() float64 { return float64(l.reloader.Failures()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Namespace: "rattanchute", Name: "tls_certificate_expiry_timestamp_seconds", ConstLabels: labels,
				Help: "When the certificate in use expires.",
			}, func() float64 { return float64(l.reloader.NotAfter().Unix()) }),
		)
	}
}

func newReloader(c settings.Certificate) (*certreload.Reloader, error) {
	if !c.Enabled() {
		return nil, nil
	}
	return certreload.New(certreload.Files{Cert: c.CertFile, Key: c.KeyFile, ClientCA: c.ClientCAFile})
}

func (t *tlsReloaders) callers() *tls.Config {
	if t.callerFiles == nil {
		return nil
	}
	return t.callerFiles.Server()
}

func (t *tlsReloaders) peerServer() *tls.Config {
	if t.peerFiles == nil {
		return nil
	}
	return t.peerFiles.Server()
}

func (t *tlsReloaders) peerClient() *tls.Config {
	if t.peerFiles == nil {
		return nil
	}
	return t.peerFiles.Client()
}

// run starts a goroutine for each reloader, which reloads the certificate at the interval
// until stop is closed.
func (t *tlsReloaders) run(interval time.Duration, stop <-chan struct{}) {
	for _, l := range t.all() {
		go l.reloader.Run(interval, stop, func(err error) { t.logReload(l.listener, err) })
	}
}

func (t *tlsReloaders) logReload(listener string, err error) {
	if err != nil {
		t.log.Error().Str("listener", listener).Err(err).Msg("certificate not read; the previous one stays in use")
		return
	}
	t.log.Info().Str("listener", listener).Msg("certificate reloaded")
}

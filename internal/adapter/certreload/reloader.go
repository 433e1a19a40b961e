// Package certreload provides TLS configurations whose certificates come from files that
// are read again at an interval, so that certificates can be replaced without closing
// connections.
package certreload

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

// ErrNoCACertificate means that the file Files.ClientCA holds no certificate, or that no
// such file is configured and a connection with Client needs it.
var ErrNoCACertificate = errors.New("certreload: no CA certificate")

// Files names the PEM files of one certificate and of the CAs of the other side.
type Files struct {
	Cert string
	Key  string
	// ClientCA is the file of the CAs that issue the other side's certificates. If it is
	// empty, Server accepts clients without a certificate, and connections with Client fail.
	ClientCA string
}

// Reloader holds the certificate and the CAs of the last successful reading of the files.
type Reloader struct {
	files    Files
	current  atomic.Pointer[certificates]
	failures atomic.Uint64
}

type certificates struct {
	certificate tls.Certificate
	clientCAs   *x509.CertPool
}

// New returns a Reloader that has read the files, or an error if they cannot be used.
func New(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again. On an error the previous certificate and CAs stay in use.
func (r *Reloader) Reload() error {
	certs, err := read(r.files)
	if err != nil {
		r.failures.Add(1)
		return err
	}
	r.current.Store(certs)
	return nil
}

// Failures returns the number of failed reloads.
func (r *Reloader) Failures() uint64 { return r.failures.Load() }

// NotAfter returns the expiry time of the certificate in use.
func (r *Reloader) NotAfter() time.Time { return r.current.Load().certificate.Leaf.NotAfter }

// Run reloads the files at the interval until stop is closed. It calls onChange with the
// error of the first failure in a row and, with nil, after the first success that
// follows.
func (r *Reloader) Run(interval time.Duration, stop <-chan struct{}, onChange func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ticker.C:
			err := r.Reload()
			if (err != nil) != failing {
				failing = err != nil
				onChange(err)
			}
		case <-stop:
			return
		}
	}
}

func read(files Files) (*certificates, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("certreload: %w", err)
	}
	certs := &certificates{certificate: certificate}
	if files.ClientCA == "" {
		return certs, nil
	}
	pem, err := os.ReadFile(files.ClientCA)
	if err != nil {
		return nil, fmt.Errorf("certreload: %w", err)
	}
	certs.clientCAs = x509.NewCertPool()
	if !certs.clientCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s", ErrNoCACertificate, files.ClientCA)
	}
	return certs, nil
}

// Server returns the configuration of a listener. Each handshake uses the certificate and
// the CAs of the last successful Reload.
func (r *Reloader) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.current.Load().server(), nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
}

func (certs *certificates) server() *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certs.certificate},
	}
	if certs.clientCAs != nil {
		c.ClientCAs = certs.clientCAs
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// Client returns the configuration for connections to peers, whose certificates are
// issued by the CAs in Files.ClientCA. Peers are addressed by IP address, so the certificate
// chain is verified but not the name.
func (r *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyPeer,
	}
}

func (r *Reloader) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("certreload: peer presented no certificate")
	}
	roots := r.current.Load().clientCAs
	if roots == nil {
		return fmt.Errorf("%w: no file configured", ErrNoCACertificate)
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// Package certreload serves TLS certificates from files and reads them anew at an
// interval, so that keys are replaced without closing a connection.
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

// ErrNoCACertificate means that a file of authorities holds no certificate.
var ErrNoCACertificate = errors.New("tlsfiles: no certificate in the authorities' file")

// Files name one certificate.
type Files struct {
	Cert string
	Key  string
	// ClientCA are those whose certificates the other side must present; empty
	// asks for none.
	ClientCA string
}

// Reloader holds the certificate read last.
type Reloader struct {
	files   Files
	current atomic.Pointer[material]
	failed  atomic.Uint64
}

type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New reads the files once and fails if they cannot be used.
func New(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the files again; on an error the earlier certificate stays in use.
func (r *Reloader) Reload() error {
	m, err := read(r.files)
	if err != nil {
		r.failed.Add(1)
		return err
	}
	r.current.Store(m)
	return nil
}

// Failures counts the reads that failed.
func (r *Reloader) Failures() uint64 { return r.failed.Load() }

// NotAfter is when the certificate in use expires.
func (r *Reloader) NotAfter() time.Time { return r.current.Load().certificate.Leaf.NotAfter }

// Run reloads at the interval until stop is closed. It tells of the first of several
// failures and, with a nil error, of the first success after them.
func (r *Reloader) Run(interval time.Duration, stop <-chan struct{}, changed func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ticker.C:
			err := r.Reload()
			if (err != nil) != failing {
				failing = err != nil
				changed(err)
			}
		case <-stop:
			return
		}
	}
}

func read(files Files) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("tlsfiles: %w", err)
	}
	m := &material{certificate: certificate}
	if files.ClientCA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.ClientCA)
	if err != nil {
		return nil, fmt.Errorf("tlsfiles: %w", err)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w: %s", ErrNoCACertificate, files.ClientCA)
	}
	return m, nil
}

// Server returns a listener's configuration that always presents the newest
// certificate.
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

func (m *material) server() *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{m.certificate},
	}
	if m.authorities != nil {
		c.ClientCAs = m.authorities
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c
}

// Client returns a configuration for calls to peers, which present certificates of the
// same authorities. Peers are known by IP number, so that the certificate's chain is
// verified, not its name.
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
		return errors.New("tlsfiles: peer presented no certificate")
	}
	roots := r.current.Load().authorities
	if roots == nil {
		return fmt.Errorf("%w: none configured", ErrNoCACertificate)
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

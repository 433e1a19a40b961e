package e2e

import (
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// tlsSite is a site whose listeners for callers and peers use TLS.
type tlsSite struct {
	*testsite.Site
	ca             *testsite.CA
	callers, peers testsite.Files
}

// tlsSettings is the value of the settings key "tls".
const tlsSettings = `{
  "callers": {"cert_file": %q, "key_file": %q},
  "peers": {"cert_file": %q, "key_file": %q, "client_ca_file": %q},
  "reload_interval": "1s",
}`

func startTLSSite(t *testing.T, o testsite.Options) tlsSite {
	is := is.New(t)
	dir := t.TempDir()
	s := tlsSite{callers: testsite.FilesIn(dir, "callers"), peers: testsite.FilesIn(dir, "peers")}
	var err error
	s.ca, err = testsite.NewCA("site")
	is.NoErr(err)
	s.issue(t, 2)
	o.TLS = fmt.Sprintf(tlsSettings, s.callers.Cert, s.callers.Key, s.peers.Cert, s.peers.Key, s.peers.CA)
	o.CallerTLS = &tls.Config{RootCAs: s.ca.Pool()}
	s.Site = startSite(t, o)
	return s
}

// issue replaces the certificate files of both listeners.
func (s tlsSite) issue(t *testing.T, serial int64) {
	is := is.New(t)
	is.NoErr(s.ca.Issue(serial, s.callers))
	is.NoErr(s.ca.Issue(serial, s.peers))
}

// serial returns the serial number of the certificate that a listener presents to a new
// connection.
func serial(t *testing.T, address string, cfg *tls.Config) int64 {
	conn, err := tls.Dial("tcp", address, cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// rejectsCertificate reports whether a listener rejects a client because of its certificate
// or because it has none. In TLS 1.3 the client learns this only with its first read.
func rejectsCertificate(t *testing.T, address string, cfg *tls.Config) bool {
	conn, err := tls.Dial("tcp", address, cfg)
	if err == nil {
		defer conn.Close()
		if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		_, err = conn.Read(make([]byte, 1))
	}
	return err != nil && strings.Contains(err.Error(), "remote error: tls")
}

// metrics returns the text of a daemon's metrics.
func metrics(t *testing.T, d *testsite.Daemon) string {
	resp, err := http.Get("http://" + d.Operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestCertificatesAreReplacedDuringALongStream checks that new connections get the new
// certificate while a stream on an older connection continues to its end.
func TestCertificatesAreReplacedDuringALongStream(t *testing.T) {
	is := is.New(t)
	s := startTLSSite(t, testsite.Options{Daemons: 2, Engines: 1, Engine: standin.EngineConfig{Slots: 4, TokenMillis: 10}})
	knowsBoth := func(d *testsite.Daemon) func() bool {
		return func() bool { return strings.Contains(metrics(t, d), "rattanchute_members_live 2\n") }
	}
	first, second := s.Daemons[0], s.Daemons[1]
	waitUntil(t, "the daemons find each other", knowsBoth(first))
	const tokens = 800
	stream, err := s.Caller(first).Open(t.Context(), testsite.ChatBody("a long answer", tokens, true))
	is.NoErr(err)
	defer stream.Close()
	is.NoErr(stream.Next())

	s.issue(t, 3)
	callerTLS := &tls.Config{RootCAs: s.ca.Pool()}
	peerTLS, err := s.ca.ClientConfig(s.peers)
	is.NoErr(err)
	waitUntil(t, "callers see the new certificate", func() bool { return serial(t, first.Callers, callerTLS) == 3 })
	waitUntil(t, "peers see the new certificate", func() bool { return serial(t, first.Peers, peerTLS) == 3 })
	is.True(stream.LastID < tokens-1) // the stream was open meanwhile
	is.NoErr(stream.ReadAll())
	is.True(stream.Completed)
	is.Equal(len(stream.Text), tokens)

	// A daemon that starts now uses only the new certificate with its peers.
	is.NoErr(second.Kill())
	is.NoErr(second.Start())
	is.NoErr(s.WaitReady(waitTimeout))
	waitUntil(t, "the restarted daemon is known", knowsBoth(second))
}

// TestPeerListenerRefusesUntrustedCertificates checks that a daemon's listener for peers
// rejects clients without a certificate and clients with a certificate of another CA.
func TestPeerListenerRefusesUntrustedCertificates(t *testing.T) {
	is := is.New(t)
	s := startTLSSite(t, testsite.Options{Daemons: 1, Engines: 1})
	peers := s.Daemons[0].Peers
	trusting := &tls.Config{RootCAs: s.ca.Pool()}
	is.True(rejectsCertificate(t, peers, trusting)) // no certificate at all
	foreign, err := testsite.NewCA("foreign")
	is.NoErr(err)
	files := testsite.FilesIn(t.TempDir(), "foreign")
	is.NoErr(foreign.Issue(2, files))
	certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	is.NoErr(err)
	trusting.Certificates = []tls.Certificate{certificate}
	is.True(rejectsCertificate(t, peers, trusting)) // certificate of another CA
}

// TestBrokenCertificateFilesAreReported checks that the previous certificate stays in use
// if the files are broken, and that the failure shows in the metric and the log.
func TestBrokenCertificateFilesAreReported(t *testing.T) {
	is := is.New(t)
	s := startTLSSite(t, testsite.Options{Daemons: 1, Engines: 1})
	d := s.Daemons[0]
	const failures = `rattanchute_tls_reload_failures_total{listener="callers"} `
	is.True(strings.Contains(metrics(t, d), failures+"0\n"))
	is.NoErr(os.WriteFile(s.callers.Key, []byte("half a key"), 0o600))
	waitUntil(t, "the failure is counted", func() bool { return !strings.Contains(metrics(t, d), failures+"0\n") })
	is.Equal(serial(t, d.Callers, &tls.Config{RootCAs: s.ca.Pool()}), int64(2))
	is.True(strings.Contains(d.Output(), "certificate not read"))
}

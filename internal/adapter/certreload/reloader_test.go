package certreload

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/testsite"
)

// fixture is a listener with its certificate files, and two CAs.
type fixture struct {
	is           *is.I
	oldCA, newCA *testsite.CA
	files        testsite.Files
	reloader     *Reloader
	address      string
}

func newFixture(t *testing.T) fixture {
	f := fixture{is: is.New(t), files: testsite.FilesIn(t.TempDir(), "peers")}
	var err error
	f.oldCA, err = testsite.NewCA("old")
	f.is.NoErr(err)
	f.newCA, err = testsite.NewCA("new")
	f.is.NoErr(err)
	f.is.NoErr(f.oldCA.Issue(2, f.files))
	f.reloader, err = New(Files{Cert: f.files.Cert, Key: f.files.Key, ClientCA: f.files.CA})
	f.is.NoErr(err)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	t.Cleanup(func() { _ = plain.Close() })
	f.address = plain.Addr().String()
	go echo(tls.NewListener(plain, f.reloader.Server()))
	return f
}

// echo sends the bytes of each connection back.
func echo(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.Copy(conn, conn)
		}()
	}
}

// roundTrip sends one byte over a new connection and waits for its echo, because in TLS 1.3 the
// client learns of a rejected certificate only when it reads.
func (f fixture) roundTrip(cfg *tls.Config) (tls.ConnectionState, error) {
	conn, err := tls.Dial("tcp", f.address, cfg)
	if err != nil {
		return tls.ConnectionState{}, err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{1}); err != nil {
		return tls.ConnectionState{}, err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return conn.ConnectionState(), err
}

func TestClientOfRemovedCACannotResumeSession(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		f := newFixture(t)
		cfg, err := f.oldCA.ClientConfig(f.files)
		f.is.NoErr(err)
		cfg.MaxVersion = version
		cfg.ClientSessionCache = tls.NewLRUClientSessionCache(4)
		_, err = f.roundTrip(cfg)
		f.is.NoErr(err)
		// The certificate stays, but its CA is no longer trusted.
		f.is.NoErr(f.newCA.WriteTo(f.files.CA))
		f.is.NoErr(f.reloader.Reload())
		_, err = f.roundTrip(cfg)
		f.is.True(err != nil) // refused although it has a session to resume
	}
}

func TestPeersWithoutCertificateOfTheCAAreRefused(t *testing.T) {
	f := newFixture(t)
	_, err := f.roundTrip(f.reloader.Client())
	f.is.NoErr(err)
	_, err = f.roundTrip(&tls.Config{RootCAs: f.oldCA.Pool()})
	f.is.True(err != nil)
	foreign := testsite.FilesIn(t.TempDir(), "foreign")
	f.is.NoErr(f.newCA.Issue(9, foreign))
	certificate, err := tls.LoadX509KeyPair(foreign.Cert, foreign.Key)
	f.is.NoErr(err)
	_, err = f.roundTrip(&tls.Config{RootCAs: f.oldCA.Pool(), Certificates: []tls.Certificate{certificate}})
	f.is.True(err != nil)
	// Conversely, a client that trusts only the new CA rejects this listener.
	other, err := New(Files{Cert: foreign.Cert, Key: foreign.Key, ClientCA: foreign.CA})
	f.is.NoErr(err)
	_, err = f.roundTrip(other.Client())
	f.is.True(err != nil)
}

func TestUnreadableFilesKeepThePreviousCertificate(t *testing.T) {
	f := newFixture(t)
	f.is.NoErr(os.WriteFile(f.files.Cert, []byte("half a certificate"), 0o600))
	reported := make(chan error, 16)
	stop := make(chan struct{})
	defer close(stop)
	go f.reloader.Run(time.Millisecond, stop, func(err error) { reported <- err })
	f.is.True(<-reported != nil)
	f.is.True(f.reloader.Failures() > 0)
	state, err := f.roundTrip(f.reloader.Client())
	f.is.NoErr(err)
	f.is.Equal(state.PeerCertificates[0].SerialNumber.Int64(), int64(2))
	f.is.NoErr(f.oldCA.Issue(3, f.files))
	// A reload between the writes of key and certificate may fail once more.
	for err := <-reported; err != nil; err = <-reported {
		f.is.True(err != nil)
	}
	state, err = f.roundTrip(f.reloader.Client())
	f.is.NoErr(err)
	f.is.Equal(state.PeerCertificates[0].SerialNumber.Int64(), int64(3))
}

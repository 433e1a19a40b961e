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

// world is one listener's files and two authorities.
type world struct {
	is       *is.I
	old, new *testsite.CA
	files    testsite.Files
	reloader *Reloader
	address  string
}

func newWorld(t *testing.T) world {
	w := world{is: is.New(t), files: testsite.FilesIn(t.TempDir(), "peers")}
	var err error
	w.old, err = testsite.NewCA("old")
	w.is.NoErr(err)
	w.new, err = testsite.NewCA("new")
	w.is.NoErr(err)
	w.is.NoErr(w.old.Issue(2, w.files))
	w.reloader, err = New(Files{Cert: w.files.Cert, Key: w.files.Key, ClientCA: w.files.CA})
	w.is.NoErr(err)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	w.is.NoErr(err)
	t.Cleanup(func() { _ = plain.Close() })
	w.address = plain.Addr().String()
	go echo(tls.NewListener(plain, w.reloader.Server()))
	return w
}

// echo sends back what each connection sends.
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

// say sends one byte over a new connection and waits for its echo: a refusal of the
// client's certificate arrives only then.
func (w world) say(cfg *tls.Config) (tls.ConnectionState, error) {
	conn, err := tls.Dial("tcp", w.address, cfg)
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

func TestAWithdrawnAuthorityCannotResumeItsSession(t *testing.T) {
	for _, version := range []uint16{tls.VersionTLS12, tls.VersionTLS13} {
		w := newWorld(t)
		cfg, err := w.old.ClientConfig(w.files)
		w.is.NoErr(err)
		cfg.MaxVersion = version
		cfg.ClientSessionCache = tls.NewLRUClientSessionCache(4)
		_, err = w.say(cfg)
		w.is.NoErr(err)
		// The certificate stays, its authority is not trusted any more.
		w.is.NoErr(w.new.WriteTo(w.files.CA))
		w.is.NoErr(w.reloader.Reload())
		_, err = w.say(cfg)
		w.is.True(err != nil) // refused although it has a session to resume
	}
}

func TestPeersWithoutACertificateOfTheAuthorityAreRefused(t *testing.T) {
	w := newWorld(t)
	_, err := w.say(w.reloader.Client())
	w.is.NoErr(err)
	_, err = w.say(&tls.Config{RootCAs: w.old.Pool()})
	w.is.True(err != nil)
	foreign := testsite.FilesIn(t.TempDir(), "foreign")
	w.is.NoErr(w.new.Issue(9, foreign))
	certificate, err := tls.LoadX509KeyPair(foreign.Cert, foreign.Key)
	w.is.NoErr(err)
	_, err = w.say(&tls.Config{RootCAs: w.old.Pool(), Certificates: []tls.Certificate{certificate}})
	w.is.True(err != nil)
	// The other way round: a daemon of the new authority does not accept this listener.
	other, err := New(Files{Cert: foreign.Cert, Key: foreign.Key, ClientCA: foreign.CA})
	w.is.NoErr(err)
	_, err = w.say(other.Client())
	w.is.True(err != nil)
}

func TestUnreadableFilesKeepTheEarlierCertificate(t *testing.T) {
	w := newWorld(t)
	w.is.NoErr(os.WriteFile(w.files.Cert, []byte("half a certificate"), 0o600))
	told := make(chan error, 16)
	stop := make(chan struct{})
	defer close(stop)
	go w.reloader.Run(time.Millisecond, stop, func(err error) { told <- err })
	w.is.True(<-told != nil)
	w.is.True(w.reloader.Failures() > 0)
	state, err := w.say(w.reloader.Client())
	w.is.NoErr(err)
	w.is.Equal(state.PeerCertificates[0].SerialNumber.Int64(), int64(2))
	w.is.NoErr(w.old.Issue(3, w.files))
	// Files read between the writes of key and certificate may fail once more.
	for err := <-told; err != nil; err = <-told {
		w.is.True(err != nil)
	}
	state, err = w.say(w.reloader.Client())
	w.is.NoErr(err)
	w.is.Equal(state.PeerCertificates[0].SerialNumber.Int64(), int64(3))
}

package callers

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/route"
)

// expiredListener accepts connections on which a write deadline has passed, as a stream leaves it.
type expiredListener struct{ net.Listener }

func (l expiredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.SetWriteDeadline(time.Now().Add(-time.Second))
	}
	return conn, err
}

type noTable struct{}

func (noTable) Table() *route.Table { return nil }

// TestPlainResponseAfterAStreamIsWritten guards against a write deadline that outlives the stream for
// which it was set.
func TestPlainResponseAfterAStreamIsWritten(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New(nil, noTable{}, Limits{})
	go func() { _ = s.http.Serve(expiredListener{listener}) }()
	t.Cleanup(func() { _ = listener.Close() })
	response, err := http.Get("http://" + listener.Addr().String() + "/v1/models")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusUnauthorized)
}

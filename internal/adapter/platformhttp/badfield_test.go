package platformhttp_test

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/adapter/platformhttp"
	"rattanchute/internal/objectstore"
)

// TestBadFieldNameIsNoAnswerOfTheService has the service give answers in which the name of a field is no token. Whether the call
// took effect is not known.
func TestBadFieldNameIsNoAnswerOfTheService(t *testing.T) {
	const objects = `{"objects":[],"version":1}`
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nX Mark: on\r\nContent-Length: 26\r\n\r\n" + objects,
		"HTTP/1.1 200 OK\r\nContent-Length : 26\r\n\r\n" + objects,
		"HTTP/1.1 404 Not Found\r\nX\x01Mark: on\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n" + objects + "\r\n0\r\nX-Mark : on\r\n\r\n",
	} {
		is := is.New(t)
		store := platformhttp.New(platformhttp.Options{Address: answering(t, raw)})
		_, _, err := store.List(t.Context(), kind)
		is.True(errors.Is(err, objectstore.ErrUnavailable))
		is.True(!errors.Is(err, objectstore.ErrNotFound))
	}
}

// answering starts a listener that answers each connection with the same bytes.
func answering(t *testing.T, raw string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write([]byte(raw))
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

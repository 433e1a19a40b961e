package enginehttp_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/engine"
)

// TestEarlyResponseDoesNotChangeTheRestOfARequest has an engine that responds before it has read a long request, while
// other requests are sent.
func TestEarlyResponseDoesNotChangeTheRestOfARequest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReaderSize(conn, 4<<10))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		text, _ := io.ReadAll(r.Body)
		received <- string(text)
	}()
	sink := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	t.Cleanup(sink.Close)
	c := newClient()
	long := `{"text":"` + strings.Repeat("a", 32<<20) + `"}`
	stream, err := c.Generate(context.Background(), listener.Addr().String(), engine.Generate{Stream: "r", Body: json.RawMessage(long)})
	is.NoErr(err)
	other := []byte(strings.Repeat("b", 31<<20))
	for range 3 {
		_, err := c.Call(context.Background(), sink.Listener.Addr().String(), engine.Call{Method: "POST", URI: "/", Body: other})
		is.NoErr(err)
	}
	is.True(!strings.Contains(<-received, "bbbb"))
	_ = stream.Close() // the engine is gone, and cannot be told to cancel
}

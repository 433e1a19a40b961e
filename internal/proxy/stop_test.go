package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStoppingServerAnswersRequestsThatHaveArrived: requests that callers have sent before the stop, on connections
// that are kept open and on new ones, are answered.
func TestStoppingServerAnswersRequestsThatHaveArrived(t *testing.T) {
	for round := range 20 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			is := is.New(t)
			p := newTestProxy(t, nonIdempotentRoute, newTestEndpoint(t, respondOK))
			var conns []net.Conn
			for i := range 20 {
				conn := p.dial(t)
				if i%2 == 0 {
					writeRequest(t, conn, fmt.Sprint("first", i))
					is.Equal(readResponse(t, bufio.NewReader(conn)).status, 200)
				}
				conns = append(conns, conn)
			}
			for i, conn := range conns {
				writeRequest(t, conn, fmt.Sprint("last", i))
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			p.server.Close(ctx)
			for _, conn := range conns {
				a := readResponse(t, bufio.NewReader(conn))
				is.NoErr(a.err)
				is.Equal(a.status, 200)
			}
		})
	}
}

func writeRequest(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "%sId: %s\r\n\r\n", testRequestHead, id); err != nil {
		t.Fatal(err)
	}
}

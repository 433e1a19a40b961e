package httpclient

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testSettle = 10 * time.Millisecond

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func TestListens(t *testing.T) {
	is := is.New(t)
	c, l := New(Options{}), listen(t)
	listens, err := c.Listens(context.Background(), l.Addr().String(), testSettle)
	is.NoErr(err)
	is.True(listens)
	_ = l.Close()
	listens, err = c.Listens(context.Background(), l.Addr().String(), testSettle)
	is.NoErr(err)
	is.True(!listens)
}

func TestListenerThatEndsRightAfterItsProcessAcceptedDoesNotListen(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	// Nobody accepts the connection: the operating system opens it, and resets it when the listener closes.
	time.AfterFunc(testSettle/5, func() { _ = l.Close() })
	listens, err := New(Options{}).Listens(context.Background(), l.Addr().String(), testSettle)
	is.NoErr(err)
	is.True(!listens)
}

func TestListenerThatClosesConnectionsAtOnceListens(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	listens, err := New(Options{}).Listens(context.Background(), l.Addr().String(), testSettle)
	is.NoErr(err)
	is.True(listens)
}

func TestAddressThatDoesNotAnswerIsNotKnown(t *testing.T) {
	is := is.New(t)
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(context.Background(), testSettle)
	defer cancel()
	_, err := New(Options{Dial: silent}).Listens(ctx, "127.0.0.1:1", testSettle)
	is.True(err != nil)
}

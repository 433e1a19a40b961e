package proxy

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"rattanchute/internal/relay"
)

// turnAwayTimeout bounds the write of a response that says that a connection is not taken.
const turnAwayTimeout = 100 * time.Millisecond

// notTaken is what a peer is sent on a connection that is closed for others or not taken: the request that it may have sent
// there has not run. A caller is sent nothing, since the response would have to name its request.
var notTaken = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
	relay.Header, relay.Encode(relay.Response{Result: relay.NotSent, Reason: relay.ReasonNotTaken}))

// visit is an accepted connection that its server may give up for others.
type visit struct {
	net.Conn
	// turnedAway is set once it has been given up.
	turnedAway atomic.Bool
}

// giveUp has the connection end, without blocking. A peer is told first, by the goroutine that serves the connection.
func (v *visit) giveUp(relay bool) {
	if !relay {
		_ = v.Close()
		return
	}
	v.turnedAway.Store(true)
	_ = v.SetReadDeadline(longAgo)
}

// setReadDeadline is SetReadDeadline until the connection is given up.
func (v *visit) setReadDeadline(at time.Time) {
	_ = v.SetReadDeadline(at)
	if v.turnedAway.Load() {
		_ = v.SetReadDeadline(longAgo)
	}
}

// turnAway tells a peer that its connection is not taken.
func (s *Server) turnAway(conn net.Conn, reader io.Reader) {
	_ = conn.SetWriteDeadline(time.Now().Add(turnAwayTimeout))
	if _, err := io.WriteString(conn, notTaken); err != nil {
		return
	}
	s.discardUnread(conn, reader)
}

// discardUnread lets a client read its response: bytes that it still sends would reset the connection.
func (s *Server) discardUnread(conn net.Conn, reader io.Reader) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	s.proxy.discards.Drop(conn, reader)
}

package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rattanchute/internal/adapter/connlisten"
	"rattanchute/internal/clock"
	"rattanchute/internal/connlimit"
	"rattanchute/internal/contain"
	"rattanchute/internal/fleet"
)

// callerTCPUserTimeout bounds how long data sent to a caller may stay unacknowledged before the
// kernel closes the connection.
const callerTCPUserTimeout = 8 * time.Second

// acceptRetryDelay is the delay after a failed accept, for example when the process is out of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Server accepts connections of callers, or of peers that relay requests.
type Server struct {
	proxy    *Proxy
	listener net.Listener
	// relay is set if the connections are those of peers; allowed then tells whether an IP address is that of a
	// peer.
	relay   bool
	allowed func(ip string) bool

	// table decides which connections go while there are too many.
	table *connlimit.Table

	mu    sync.Mutex
	conns map[*conn]struct{}
	// stop is how the server stops; nil before Drain.
	stop atomic.Pointer[Stop]
	// requests is the context of all requests; end ends it.
	requests context.Context
	end      context.CancelCauseFunc
	// accepted is closed when Serve returns.
	accepted chan struct{}
	wg       sync.WaitGroup
}

// ListenRelay opens the listener for peers that relay requests. It serves only hosts that are allowed.
func (p *Proxy) ListenRelay(address string, allowed func(ip string) bool) (*Server, error) {
	s, err := p.listen(address, relayReceiveBytes)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	s.relay, s.allowed = true, allowed
	return s, nil
}

// Listen opens the listener for callers. No connection is served before Serve is called.
func (p *Proxy) Listen(address string) (*Server, error) {
	return p.listen(address, CallerReceiveBytes)
}

// The sizes of the operating system's receive buffers. It holds up to about one and a half times as much of a connection
// whose server does not read, as while a request is in progress, and that counts toward the memory. Hosts, of which there are
// fewer connections, are farther from each other than a load balancer is.
const (
	CallerReceiveBytes = 16 << 10
	relayReceiveBytes  = 64 << 10
)

func (p *Proxy) listen(address string, receiveBytes int) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setSocketOptions(raw, receiveBytes) }}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s := &Server{proxy: p, listener: listener, conns: map[*conn]struct{}{}, accepted: make(chan struct{})}
	s.table = connlimit.NewTable(connlimit.Options{Yield: p.Bodies.EvictStalled, OnDecision: s.logDecision})
	s.requests, s.end = context.WithCancelCause(context.Background())
	return s, nil
}

// Table returns the table of the server's connections.
func (s *Server) Table() *connlimit.Table { return s.table }

// Address returns the address on which the server listens, "ip:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// setSocketOptions sets TCP_USER_TIMEOUT and the sizes of the buffers on a listener; accepted connections inherit them.
func setSocketOptions(raw syscall.RawConn, receiveBytes int) error {
	var timeoutErr, buffersErr error
	err := raw.Control(func(fd uintptr) {
		timeoutErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(callerTCPUserTimeout.Milliseconds()))
		buffersErr = connlisten.SetBuffers(int(fd), receiveBytes)
	})
	return errors.Join(err, timeoutErr, buffersErr)
}

// Serve accepts connections until Close. It may be called only once.
func (s *Server) Serve() {
	defer close(s.accepted)
	for {
		accepted, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			s.proxy.telemetry.AcceptFailed(err)
			// The process may be out of file descriptors.
			s.table.CloseOne(clock.Now())
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.isAllowed(accepted) {
			_ = accepted.Close()
			continue
		}
		s.admit(&visit{Conn: accepted})
	}
}

// admit serves a connection, if it may be taken. Others may be closed for it.
func (s *Server) admit(v *visit) {
	entry, ok := s.table.Add(clock.Now(), s.maxConns(), func() { v.giveUp(s.relay) })
	switch {
	case ok:
		s.start(v, entry)
	case s.relay:
		s.wg.Go(func() {
			defer func() { _ = v.Close() }()
			s.turnAway(v.Conn, v.Conn)
		})
	default:
		_ = v.Close()
	}
}

// logDecision logs a decision of the table.
func (s *Server) logDecision(now time.Time, d connlimit.Decision, u connlimit.Usage) {
	listener := "callers"
	if s.relay {
		listener = "relays"
	}
	s.proxy.telemetry.ConnectionDecided(now, listener, d, u)
}

// isAllowed reports whether the address of a connection may connect.
func (s *Server) isAllowed(accepted net.Conn) bool {
	if !s.relay {
		return true
	}
	ip, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil || !s.allowed(ip) {
		s.proxy.telemetry.RelayRejected(fmt.Errorf("%w: %s", errNoPeer, accepted.RemoteAddr()))
		return false
	}
	return true
}

// maxConns returns how many connections may be open; not positive if there is no limit.
func (s *Server) maxConns() int {
	if s.relay {
		return s.proxy.MaxRelayConns
	}
	if s.proxy.MaxConns == nil {
		return 0
	}
	return s.proxy.MaxConns(s.readBufferBytes(s.proxy.limits()))
}

// readBufferBytes returns the size of a connection's read buffer, which has room for a whole header.
func (s *Server) readBufferBytes(limits fleet.CallerLimits) int {
	size := limits.MaxHeaderBytes + headerSlackBytes
	if s.relay {
		size += relaySlackBytes
	}
	return size
}

// errNoPeer means that a connection to the relay listener comes from no known host.
var errNoPeer = errors.New("not a known host")

func (s *Server) start(v *visit, entry *connlimit.Entry) {
	c := newConn(s, v, entry)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.proxy.Boundary.Run(contain.WorkConnection, c.serve)
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// isStopping reports whether Drain was called.
func (s *Server) isStopping() bool { return s.stop.Load() != nil }

// Drain makes each response whose head is written from now on the last on its connection, refuses requests that are read
// too late for the stop, and ends those that are in progress at its end. A relayed request is late at once: its first
// host, unlike the load balancer, asks another peer without delay.
func (s *Server) Drain(stop Stop) {
	if s.relay {
		stop.Late = clock.Now()
	}
	s.stop.Store(&stop)
	time.AfterFunc(stop.End.Sub(clock.Now()), func() { s.end(errStopped) })
}

// Close answers the requests that have arrived, accepts no more connections, and closes each connection after its
// last response. It returns once all connections have ended, but at most lastAnswerTimeout after the deadline of the
// context, which is the end of the stop.
func (s *Server) Close(ctx context.Context) {
	s.acceptQueued(ctx)
	_ = s.listener.Close()
	s.closeConnections()
	for s.proxy.Bodies.EvictStalled(clock.Now()) {
		// Bodies that have come to a halt would last until the end of the stop.
	}
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	ended, _ := ctx.Deadline()
	select {
	case <-done:
	case <-time.After(time.Until(ended) + lastAnswerTimeout):
	}
}

// acceptQueued lets Serve accept the connections that wait for it, and end.
func (s *Server) acceptQueued(ctx context.Context) {
	limited, ok := s.listener.(interface{ SetDeadline(time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(lastRequestWait)) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*lastRequestWait)
	defer cancel()
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeAfterLast()
	}
}

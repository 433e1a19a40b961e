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

	"rattanchute/internal/clock"
	"rattanchute/internal/contain"
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

// maxRelayConns bounds the connections of peers.
const maxRelayConns = 1024

// ListenRelay opens the listener for peers that relay requests. It serves only hosts that are allowed.
func (p *Proxy) ListenRelay(address string, allowed func(ip string) bool) (*Server, error) {
	s, err := p.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	s.relay, s.allowed = true, allowed
	return s, nil
}

// Listen opens the listener for callers. No connection is served before Serve is called.
func (p *Proxy) Listen(address string) (*Server, error) {
	config := net.ListenConfig{Control: setUserTimeout}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s := &Server{proxy: p, listener: listener, conns: map[*conn]struct{}{}, accepted: make(chan struct{})}
	s.requests, s.end = context.WithCancelCause(context.Background())
	return s, nil
}

// Address returns the address on which the server listens, "ip:port".
func (s *Server) Address() string { return s.listener.Addr().String() }

// setUserTimeout sets TCP_USER_TIMEOUT on the listener; accepted connections inherit it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(callerTCPUserTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admits(accepted) {
			_ = accepted.Close()
			continue
		}
		s.start(accepted)
	}
}

// admits reports whether a connection is served.
func (s *Server) admits(accepted net.Conn) bool {
	if !s.relay {
		return true
	}
	ip, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil || !s.allowed(ip) {
		s.proxy.telemetry.RelayRejected(fmt.Errorf("%w: %s", errNoPeer, accepted.RemoteAddr()))
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) < maxRelayConns
}

// errNoPeer means that a connection to the relay listener comes from no known host.
var errNoPeer = errors.New("not a known host")

func (s *Server) start(accepted net.Conn) {
	c := newConn(s, accepted)
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

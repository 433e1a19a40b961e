package standin

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRequestBytes limits the size of a request body.
const maxRequestBytes = 8 << 20

// errConnectionCut is the read error of a connection that a fault has closed.
var errConnectionCut = errors.New("standin: connection cut")

// faultServer is an HTTP server on one address that injects connection faults.
type faultServer struct {
	handler fasthttp.RequestHandler
	// die is called when the Die fault is set. It is Close of the fake as a whole.
	die func()

	mu      sync.Mutex
	address string
	ln      net.Listener
	conns   map[*faultConn]struct{}
	faults  Faults
	// stopped is closed when the server is closed, which ends blocked requests.
	stopped chan struct{}
	// faultsReplaced is closed when the faults are replaced, which unblocks frozen requests.
	faultsReplaced chan struct{}
	// crashes counts the requests that have made the server crash.
	crashes atomic.Int64
}

func newFaultServer(address string, h fasthttp.RequestHandler) *faultServer {
	s := &faultServer{
		handler:        h,
		address:        address,
		conns:          map[*faultConn]struct{}{},
		faultsReplaced: make(chan struct{}),
	}
	s.die = s.Close
	return s
}

// Listen opens the listener, unless it is open already. After a Close it uses the same address
// again.
func (s *faultServer) Listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.ln = ln
	s.address = ln.Addr().String()
	s.stopped = make(chan struct{})
	server := &fasthttp.Server{
		Handler:               s.handler,
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		Logger:                silentLogger{},
	}
	go func() { _ = server.Serve(&faultListener{Listener: ln, server: s}) }()
	return nil
}

// Address returns the listener's "ip:port".
func (s *faultServer) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close closes the listener and all connections, like a killed process.
func (s *faultServer) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return
	}
	close(s.stopped)
	_ = s.ln.Close()
	s.ln = nil
	for c := range s.conns {
		_ = c.Conn.Close()
	}
}

// crashDelay is how long a server that is to crash still writes what it has answered.
const crashDelay = 20 * time.Millisecond

// crash kills the fake soon, and has it listen again after a time.
func (s *faultServer) crash(down time.Duration) {
	s.crashes.Add(1)
	time.AfterFunc(crashDelay, func() {
		s.die()
		time.AfterFunc(down, func() { _ = s.Listen() })
	})
}

// Crashes returns how many requests have made the server crash.
func (s *faultServer) Crashes() int { return int(s.crashes.Load()) }

// Running reports whether the listener is open.
func (s *faultServer) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln != nil
}

// SetFaults replaces the injected faults.
func (s *faultServer) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	close(s.faultsReplaced)
	s.faultsReplaced = make(chan struct{})
	s.mu.Unlock()
	if f.Die {
		s.die()
	}
}

// activeFaults is a snapshot of the faults together with the channels that end a wait.
type activeFaults struct {
	Faults
	stopped, faultsReplaced chan struct{}
}

// currentFaults returns the faults without counting a request.
func (s *faultServer) currentFaults() activeFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return activeFaults{s.faults, s.stopped, s.faultsReplaced}
}

// takeFaults returns the faults for one request and counts the request against
// Faults.Count. The last request that Count allows clears the faults.
func (s *faultServer) takeFaults() activeFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := activeFaults{s.faults, s.stopped, s.faultsReplaced}
	if f.Count > 0 {
		s.faults.Count--
		if s.faults.Count == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

// wait applies the Freeze and DelayMillis faults and reports whether the server has not
// been stopped since the faults were read. If it has been, the handler must close its
// connection, because returning would send a response with status 200.
func (f activeFaults) wait() bool {
	if f.Freeze {
		select {
		case <-f.stopped:
		case <-f.faultsReplaced:
		}
	}
	delay := time.NewTimer(millis(f.DelayMillis))
	defer delay.Stop()
	select {
	case <-f.stopped:
	case <-delay.C:
	}
	select {
	case <-f.stopped:
		return false
	default:
		return true
	}
}

// handleFaults handles /faults: it replaces the faults by those in the request body.
func (s *faultServer) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
	s.SetFaults(f)
}

// faultListener wraps accepted connections in a faultConn.
type faultListener struct {
	net.Listener
	server *faultServer
}

// Accept waits for the next connection. A connection that is accepted while the server
// closes is closed too.
func (l *faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: conn, server: l.server}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if l.server.ln == nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.server.conns[c] = struct{}{}
	return c, nil
}

// faultConn is a connection that closes itself according to the server's faults.
type faultConn struct {
	net.Conn
	server *faultServer
	// requestBytes is the number of bytes received of the current request.
	requestBytes int
}

// Read reads from the connection; if a fault cuts the request, it closes the connection
// and returns errConnectionCut.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	c.requestBytes += n
	f := c.server.currentFaults()
	if f.CutBeforeRead || f.CutAfterRequestBytes > 0 && c.requestBytes >= f.CutAfterRequestBytes {
		c.server.takeFaults()
		_ = c.Close()
		return 0, errConnectionCut
	}
	return n, nil
}

// Write sends response bytes. A response means that the current request has been read,
// so the count of request bytes restarts.
func (c *faultConn) Write(p []byte) (int, error) {
	c.requestBytes = 0
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the server.
func (c *faultConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// silentLogger discards the server's log lines, which would report every connection that
// a fault has cut.
type silentLogger struct{}

// Printf discards a line.
func (silentLogger) Printf(string, ...any) {}

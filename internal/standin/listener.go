package standin

import (
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRequestBytes bounds a request body.
const maxRequestBytes = 8 << 20

// errCut is what a reader of a cut connection sees.
var errCut = errors.New("standin: connection cut")

// faultServer serves HTTP on one address and applies the faults of connections.
type faultServer struct {
	handler fasthttp.RequestHandler
	// die is called by the Die fault.
	die func()

	mu      sync.Mutex
	address string
	ln      net.Listener
	conns   map[*faultConn]struct{}
	faults  Faults
	// stopped is closed when the server closes or dies; it ends frozen requests.
	stopped chan struct{}
	// thawed is closed when the faults are replaced.
	thawed chan struct{}
}

func newFaultServer(address string, h fasthttp.RequestHandler) *faultServer {
	s := &faultServer{
		handler: h,
		address: address,
		conns:   map[*faultConn]struct{}{},
		thawed:  make(chan struct{}),
	}
	s.die = s.Close
	return s
}

// Listen opens the listener, on the former address if there was one.
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

// Address is the listener's "ip:port".
func (s *faultServer) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close cuts all connections and closes the listener, as a killed process does.
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

// Running tells whether the listener is open.
func (s *faultServer) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ln != nil
}

// SetFaults replaces the failures.
func (s *faultServer) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	close(s.thawed)
	s.thawed = make(chan struct{})
	s.mu.Unlock()
	if f.Die {
		s.die()
	}
}

// activeFaults are the faults in force at one moment and what ends their hold.
type activeFaults struct {
	Faults
	stopped, thawed chan struct{}
}

// current returns the faults in force.
func (s *faultServer) current() activeFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return activeFaults{s.faults, s.stopped, s.thawed}
}

// take returns the faults in force for one request and counts it.
func (s *faultServer) take() activeFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := activeFaults{s.faults, s.stopped, s.thawed}
	if f.Count > 0 {
		s.faults.Count--
		if s.faults.Count == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

// hold applies the faults that keep a request from being run: it waits for as long as
// they say and tells whether the server has not been stopped since. A handler of a stopped
// server closes its connection, for returning would answer 200.
func (f activeFaults) hold() bool {
	if f.Freeze {
		select {
		case <-f.stopped:
		case <-f.thawed:
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

// handleFaults is the handler of POST /faults.
func (s *faultServer) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
	s.SetFaults(f)
}

// faultListener wraps the accepted connections.
type faultListener struct {
	net.Listener
	server *faultServer
}

// Accept waits for a connection.
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

// faultConn cuts itself according to the server's faults.
type faultConn struct {
	net.Conn
	server *faultServer
	// received is the bytes of the current request.
	received int
}

// Read passes on the bytes of a request as far as the faults allow.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		return n, err
	}
	c.received += n
	f := c.server.current()
	if f.CutBeforeRead || f.CutAfterRequestBytes > 0 && c.received >= f.CutAfterRequestBytes {
		c.server.take()
		_ = c.Close()
		return 0, errCut
	}
	return n, nil
}

// Write marks the end of a request.
func (c *faultConn) Write(p []byte) (int, error) {
	c.received = 0
	return c.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (c *faultConn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// silentLogger drops the server's lines about cut connections.
type silentLogger struct{}

// Printf drops a line.
func (silentLogger) Printf(string, ...any) {}

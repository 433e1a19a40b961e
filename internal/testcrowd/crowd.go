package testcrowd

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds one attempt to connect, and stillFor is how long nothing may move before a crowd counts as
	// settled. settleTimeout bounds the wait for that.
	dialTimeout   = 5 * time.Second
	stillFor      = 700 * time.Millisecond
	settleTimeout = 40 * time.Second
	// maxReconnects bounds how often a member that reconnects does so.
	maxReconnects = 30
)

// Options describe a crowd.
type Options struct {
	Address string
	// Source is the IP address that the members connect from; empty for any.
	Source string
	// Members is the number of connections that are held open at a time.
	Members int
	// Write is what each member sends. It may return early with an error, and may go on until its connection is closed.
	Write func(w io.Writer) error
	// Silent members do not read what they are sent.
	Silent bool
	// Reconnects is set if a member whose connection is closed opens another one at once.
	Reconnects bool
}

// Crowd is a number of open connections.
type Crowd struct {
	options Options
	closed  atomic.Bool
	// moved counts what has happened on all connections: bytes and ends.
	moved   atomic.Int64
	members sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	// statuses counts the first lines that members were sent.
	statuses map[string]int
}

// Open opens a crowd and returns at once.
func Open(o Options) *Crowd {
	c := &Crowd{options: o, conns: map[net.Conn]bool{}, statuses: map[string]int{}}
	for range o.Members {
		c.members.Go(c.runMember)
	}
	return c
}

func (c *Crowd) runMember() {
	for range maxReconnects {
		c.connectOnce()
		if c.closed.Load() || !c.options.Reconnects {
			return
		}
	}
}

func (c *Crowd) connectOnce() {
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.options.Source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.options.Source)}
	}
	conn, err := dialer.Dial("tcp", c.options.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if !c.add(conn) {
		return
	}
	defer c.remove(conn)
	read := make(chan struct{})
	if c.options.Silent {
		close(read)
	} else {
		go func() {
			defer close(read)
			c.read(conn)
		}()
	}
	writeErr := c.options.Write(countingWriter{c, conn})
	if c.options.Silent && writeErr == nil {
		c.awaitClose()
	}
	<-read
}

// awaitClose waits for the end of the crowd.
func (c *Crowd) awaitClose() {
	for !c.closed.Load() {
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return false
	}
	c.conns[conn] = true
	return true
}

func (c *Crowd) remove(conn net.Conn) {
	c.moved.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// read reads until the connection ends and counts the first line.
func (c *Crowd) read(conn net.Conn) {
	buffer := make([]byte, 512)
	first := true
	for {
		n, err := conn.Read(buffer)
		c.moved.Add(int64(n))
		if n >= len("HTTP/1.1 200") && first {
			first = false
			c.mu.Lock()
			c.statuses[string(buffer[len("HTTP/1.1 "):len("HTTP/1.1 200")])]++
			c.mu.Unlock()
		}
		if err != nil {
			// What the member still sends is lost from here on.
			_ = conn.Close()
			return
		}
	}
}

type countingWriter struct {
	crowd *Crowd
	conn  net.Conn
}

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.crowd.moved.Add(int64(n))
	return n, err
}

// Settle waits until nothing has moved for a while: each member has sent all that it can.
func (c *Crowd) Settle() {
	last, since := c.moved.Load(), time.Now()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if moved := c.moved.Load(); moved != last {
			last, since = moved, time.Now()
		}
		if time.Since(since) >= stillFor {
			return
		}
	}
}

// Open returns the number of connections that neither side has closed.
func (c *Crowd) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// Statuses returns how often the members were sent each status.
func (c *Crowd) Statuses() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for status, n := range c.statuses {
		counts[status] = n
	}
	return counts
}

// Close closes all connections and waits until the members have ended.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed.Store(true)
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.members.Wait()
}

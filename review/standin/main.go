// Command standin plays the review's cases: it starts the project's daemon as separate processes and stands in for
// their clients, runners and platform.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const sigterm = syscall.SIGTERM

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// Record is the record of a case.
type Record struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// DutyCall is a call of a singleton duty.
type DutyCall struct {
	At      time.Time
	Path    string
	Holder  string
	Fencing string
	Body    map[string]any
}

// Cloud is the platform's API.
type Cloud struct {
	Address string
	record  *Record
	mu      sync.Mutex
	calls   []DutyCall
}

// NewCloud starts the platform's API.
func NewCloud(record *Record) *Cloud {
	c := &Cloud{record: record}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	c.Address = l.Addr().String()
	go func() { _ = http.Serve(l, c) }()
	return c
}

func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := DutyCall{
		At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get(names["holder"]),
		Fencing: r.Header.Get(names["fencing"]),
	}
	_ = json.NewDecoder(r.Body).Decode(&call.Body)
	c.mu.Lock()
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	c.record.Printf("platform: %s by %s, token %s: %v", call.Path, call.Holder, call.Fencing, call.Body)
	reply(w, 200, nil)
}

// errFailed is a case that could not run.
type errFailed string

func must(err error) {
	if err != nil {
		panic(errFailed(err.Error()))
	}
}

func require(ok bool, what string) {
	if !ok {
		panic(errFailed(what))
	}
}

var cases = map[string]func(*Platform, bool) (broken bool){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin CASE DAEMON RECORD")
		os.Exit(exitFailed)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], &Record{file: file, began: time.Now()}))
}

func run(name, daemon string, record *Record) (code int) {
	p := NewPlatform(record, daemon)
	defer func() { p.Close(os.Getenv("KEEP") != "") }()
	defer func() {
		if r := recover(); r != nil {
			record.Printf("the case could not run: %v", r)
			fmt.Println("could not run:", r)
			code = exitFailed
		}
	}()
	timer := time.AfterFunc(110*time.Second, func() {
		p.Close(false)
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, sigterm)
	go func() {
		<-signals
		p.Close(false)
		os.Exit(exitFailed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	if cases[name](p, trouble) {
		record.Printf("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	record.Printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

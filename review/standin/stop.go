package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// lateAfter is the time after SIGTERM from which on a request that is sent has no excuse for being cut off, and
	// workEnd that from which on an earlier one has, if its runner is still at work.
	lateAfter = 3 * time.Second
	workEnd   = grace * 5 / 6
	// lossSlack is the time after its last byte from which on a request counts that was not passed on.
	lossSlack = 200 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

// Exchange is one request on a kept connection, and its answer.
type Exchange struct {
	ID, Machine string
	// Began is when the request was about to be written, Sent when its last byte was, and Ended when the answer or the
	// connection ended.
	Began, Sent, Ended time.Time
	Status             int
	Events             int
	// Closes is set if the answer says that its connection closes.
	Closes   bool
	Complete bool
	Err      error
}

// exchange sends a request on a connection and reads its answer.
func exchange(record *Record, m *Machine, c net.Conn, r *bufio.Reader) Exchange {
	x := Exchange{ID: fmt.Sprintf("%016x", rand.Uint64()), Machine: m.Name}
	var text bytes.Buffer
	_, _ = fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 6\r\n%s: %s\r\n%s: %d\r\n%s: m\r\n%s: 20,64\r\n%s: %s:20\r\n%s: %s\r\n\r\nprompt",
		path, host, names["attempt"], x.ID, names["deadline"], deadline.Milliseconds(), names["model"], names["sizes"], names["parts"],
		x.ID[:8], names["key"], apiKey)
	x.Began = time.Now()
	_, x.Err = c.Write(text.Bytes())
	x.Sent = time.Now()
	record.Printf("client: sends %s to %s", x.ID, m.Name)
	_ = c.SetReadDeadline(x.Sent.Add(deadline))
	if resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost}); err != nil {
		x.Err = err
	} else {
		x.Status, x.Closes = resp.StatusCode, resp.Close
		var body []byte
		body, x.Err = io.ReadAll(resp.Body)
		x.Events = bytes.Count(body, []byte("id: "))
		x.Complete = x.Err == nil
	}
	x.Ended = time.Now()
	record.Printf("client: %s got status %d, %d events, closes %t, complete %t, error %v", x.ID, x.Status, x.Events, x.Closes, x.Complete, x.Err)
	return x
}

// keep sends one request after the other on one connection, with a pause, until the connection ends or an answer says so.
// No request is sent after the end.
func keep(record *Record, m *Machine, pause time.Duration, end <-chan struct{}) (all []Exchange) {
	c, err := net.Dial("tcp", m.Front)
	if err != nil {
		record.Printf("client: %v", err)
		return nil
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		x := exchange(record, m, c, r)
		all = append(all, x)
		if !x.Complete || x.Closes {
			return all
		}
		time.Sleep(pause)
		select {
		case <-end:
			return all
		default:
		}
	}
}

// lost reports whether the rule is broken by an exchange with a machine that was stopped.
func lost(x Exchange, stopped time.Time, ran bool) bool {
	if x.Complete || x.Ended.After(stopped.Add(grace+time.Second)) || x.Ended.Sub(x.Sent) >= deadline {
		return false
	}
	if !ran {
		return x.Ended.Sub(x.Sent) > lossSlack
	}
	excused := x.Began.Before(stopped.Add(lateAfter)) && x.Ended.After(stopped.Add(workEnd))
	return !excused
}

// plannedStop stops one machine while clients send streams on kept connections.
func plannedStop(p *Platform, trouble bool) bool {
	const (
		events, gap     = 60, 100 * time.Millisecond
		clients, others = 24, 6
		rampUp          = 250 * time.Millisecond
	)
	var machines []*Machine
	for i := range 3 {
		machines = append(machines, p.Add(fmt.Sprintf("edge-z1-%d", i+1)))
	}
	var runners []*Runner
	for i := range 4 {
		runners = append(runners, StartRunner(p.Store, p.Record, fmt.Sprintf("i-a%d", i), "redaccion-a", "v1", events, gap))
	}
	c := configuration(2, "redaccion-a", "redaccion-a")
	c.Resumable = false
	p.configure(c)
	for _, m := range machines {
		m.Start(true)
	}
	for _, m := range machines {
		require(m.AwaitReady(20*time.Second), m.Name+" is not ready")
	}
	var (
		mu   sync.Mutex
		all  []Exchange
		wait sync.WaitGroup
	)
	end := make(chan struct{})
	client := func(m *Machine, i int) {
		// Clients pause for 0 to 110 ms between an answer and their next request.
		pause := time.Duration(i%12) * 10 * time.Millisecond
		wait.Go(func() {
			exchanges := keep(p.Record, m, pause, end)
			mu.Lock()
			all = append(all, exchanges...)
			mu.Unlock()
		})
	}
	for i := range clients {
		client(machines[0], i)
		if i < others {
			client(machines[1+i%2], i)
		}
		time.Sleep(rampUp)
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	if trouble {
		machines[0].Signal(sigterm)
		stopped = time.Now()
		ended := make(chan struct{})
		go func() {
			_ = machines[0].process.Wait()
			close(ended)
		}()
		select {
		case <-ended:
			p.Record.Printf("machine %s: ended %v after SIGTERM", machines[0].Name, time.Since(stopped))
		case <-time.After(grace):
			p.Record.Printf("machine %s: still there after %v", machines[0].Name, grace)
			_ = machines[0].process.Process.Kill()
			<-ended
		}
		time.Sleep(restartDelay)
		machines[0].Start(false)
	} else {
		time.Sleep(grace)
	}
	close(end)
	wait.Wait()
	return judgeStop(p.Record, all, machines[0].Name, stopped, runners)
}

func judgeStop(record *Record, all []Exchange, machine string, stopped time.Time, runners []*Runner) (broken bool) {
	complete, cut, count := 0, 0, 0
	for _, x := range all {
		ran := false
		for _, r := range runners {
			ran = ran || r.Ran(x.ID)
		}
		if x.Complete {
			complete++
			continue
		}
		cut++
		isLost := x.Machine == machine && lost(x, stopped, ran)
		record.Printf("cut: %s at %s, sent %.3f s after SIGTERM, ended %.3f s after it, has run %t, status %d, %d events, lost %t", x.ID, x.Machine,
			x.Began.Sub(stopped).Seconds(), x.Ended.Sub(stopped).Seconds(), ran, x.Status, x.Events, isLost)
		if isLost {
			count++
		}
	}
	record.Printf("%d requests, %d complete, %d cut, of these %d lost", len(all), complete, cut, count)
	fmt.Printf("%d requests, %d complete, %d cut, of these %d lost\n", len(all), complete, cut, count)
	return count > 0
}

func init() { cases["planned-stop"] = plannedStop }

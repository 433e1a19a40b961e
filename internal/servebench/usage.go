package servebench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// usageReadLead is how long before the end of the steady load's window the daemon's resource usage
// is read for the second time.
const usageReadLead = 200 * time.Millisecond

// usage is the resource usage of a process.
type usage struct {
	cpu      time.Duration
	resident float64
}

// usage reads the process metrics of the daemon.
func (s *site) usage() (usage, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+s.daemon.Operators+"/metrics", time.Second)
	if err != nil {
		return usage{}, err
	}
	if status != fasthttp.StatusOK {
		return usage{}, fmt.Errorf("servebench: metrics: status %d", status)
	}
	return parseUsage(body)
}

func parseUsage(text []byte) (usage, error) {
	seconds, err := metric(text, "process_cpu_seconds_total")
	if err != nil {
		return usage{}, err
	}
	resident, err := metric(text, "process_resident_memory_bytes")
	return usage{cpu: time.Duration(seconds * float64(time.Second)), resident: resident}, err
}

// metric returns the value of a metric without labels.
func metric(text []byte, name string) (float64, error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("servebench: the daemon does not export the metric %s", name)
}

// costRun is the processor time of the daemon without load and with responses of one token.
type costRun struct {
	// idle is the number of cores used without load.
	idle     float64
	requests int
	cpu      time.Duration
	duration time.Duration
}

// cost measures the daemon without load and with responses of one token.
func (s *site) cost(p Plan, seed uint64) (costRun, error) {
	proxied, _ := s.variants(steadyFleet)
	idle, err := s.cpuTimeDuring(func() { time.Sleep(p.IdleWindow) })
	if err != nil {
		return costRun{}, err
	}
	run := costRun{idle: idle.Seconds() / p.IdleWindow.Seconds()}
	var mu sync.Mutex
	count := func(r result) {
		mu.Lock()
		defer mu.Unlock()
		if r.completed {
			run.requests++
		}
	}
	start := time.Now()
	run.cpu, err = s.cpuTimeDuring(func() {
		l := load{rate: oneTokenRequestsPerSecond, seed: seed, duration: p.OneTokenWindow, requestSpec: requestSpec{tokens: 1}}
		l.offer(context.Background(), proxied, start, count, ignoreToken)
	})
	run.duration = time.Since(start)
	return run, err
}

// cpuTimeDuring returns the processor time that the daemon uses while work runs.
func (s *site) cpuTimeDuring(work func()) (time.Duration, error) {
	before, err := s.usage()
	if err != nil {
		return 0, err
	}
	work()
	after, err := s.usage()
	return after.cpu - before.cpu, err
}

// perRequest is the processor time of one response of one token, without the idle usage.
func (c costRun) perRequest() time.Duration {
	idleTime := time.Duration(c.idle * float64(c.duration))
	return (c.cpu - idleTime) / time.Duration(max(c.requests, 1))
}

// perToken is the processor time of each further token of the steady load.
func (r steadyRun) perToken(c costRun, window time.Duration) time.Duration {
	idleTime := time.Duration(c.idle * float64(window))
	tokenTime := r.cpu - idleTime - c.perRequest()*time.Duration(r.proxied.requests)
	return tokenTime / time.Duration(max(r.proxied.tokens-r.proxied.requests, 1))
}

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

// usageLead is how long before the window's end the daemon's use is read.
const usageLead = 200 * time.Millisecond

// usage is what a process has used of the machine.
type usage struct {
	cpu      time.Duration
	resident float64
}

// usage reads the daemon's own metrics of its process.
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

// metric finds the value of a metric without labels.
func metric(text []byte, name string) (float64, error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fmt.Errorf("servebench: the daemon has no metric %s", name)
}

// costRun is the daemon's processor time without load and for answers of one token.
type costRun struct {
	// idle is the part of a core without load.
	idle     float64
	requests int
	cpu      time.Duration
	length   time.Duration
}

// cost measures the daemon without load and with answers of one token.
func (s *site) cost(p Plan, seed uint64) (costRun, error) {
	through, _ := s.arms(steadyFleet)
	idle, err := s.spent(func() { time.Sleep(p.Idle) })
	if err != nil {
		return costRun{}, err
	}
	run := costRun{idle: idle.Seconds() / p.Idle.Seconds()}
	var mu sync.Mutex
	count := func(r result) {
		mu.Lock()
		defer mu.Unlock()
		if r.completed {
			run.requests++
		}
	}
	start := time.Now()
	run.cpu, err = s.spent(func() {
		l := load{rate: shortRate, seed: seed, length: p.Short, wish: wish{tokens: 1}}
		l.offer(context.Background(), through, start, count, noToken)
	})
	run.length = time.Since(start)
	return run, err
}

// spent is the daemon's processor time while work ran.
func (s *site) spent(work func()) (time.Duration, error) {
	before, err := s.usage()
	if err != nil {
		return 0, err
	}
	work()
	after, err := s.usage()
	return after.cpu - before.cpu, err
}

// perRequest is the processor time of one answer of one token, control left out.
func (c costRun) perRequest() time.Duration {
	control := time.Duration(c.idle * float64(c.length))
	return (c.cpu - control) / time.Duration(max(c.requests, 1))
}

// perToken is the processor time of each further token of the steady load.
func (r steadyRun) perToken(c costRun, window time.Duration) time.Duration {
	control := time.Duration(c.idle * float64(window))
	rest := r.cpu - control - c.perRequest()*time.Duration(r.through.requests)
	return rest / time.Duration(max(r.through.tokens-r.through.requests, 1))
}

package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// maxCallerAttempts bounds how often a caller sends or resumes a stream.
const maxCallerAttempts = 40

// streamJob is a streaming request whose whole answer the caller wants.
type streamJob struct {
	key    string
	prompt string
	tokens int
	// pause is the time that the caller waits after each event.
	pause time.Duration
}

// streamResult is the result of a job.
type streamResult struct {
	job  streamJob
	text []string
	// reconnects is how often the caller had to connect again because the stream could not be
	// opened, was refused or was cut.
	reconnects int
	err        error
}

// run reads the job's answer and starts at the daemon with the index first. Whenever a daemon
// refuses or cuts the stream, it sends or resumes the stream at the next daemon.
func (j streamJob) run(s *testsite.Site, first int) streamResult {
	result := streamResult{job: j}
	body := testsite.ChatBody(j.prompt, j.tokens, true)
	ctx := context.Background()
	var stream *testsite.Stream
	for attempt := range maxCallerAttempts {
		result.reconnects = attempt
		next, err := j.open(ctx, s, first+attempt, body, stream)
		if err != nil {
			result.err = err
			time.Sleep(50 * time.Millisecond)
			continue
		}
		stream = next
		result.err = j.read(stream)
		result.text = stream.Text
		stream.Close()
		if result.err == nil {
			return result
		}
	}
	return result
}

// open sends the request to a daemon, or resumes the stream there if it was cut before.
func (j streamJob) open(ctx context.Context, s *testsite.Site, daemon int, body []byte, cut *testsite.Stream) (*testsite.Stream, error) {
	caller := testsite.NewCaller(j.key, s.Daemons[daemon%len(s.Daemons)].Callers)
	var next *testsite.Stream
	var err error
	if cut == nil {
		next, err = caller.Open(ctx, body)
	} else {
		next, err = caller.Resume(ctx, body, cut)
	}
	if err != nil {
		return nil, err
	}
	if next.Head.Status != 200 {
		next.Close()
		return nil, fmt.Errorf("refused: %d %s", next.Head.Status, next.Head.Body)
	}
	return next, nil
}

func (j streamJob) read(stream *testsite.Stream) error {
	for {
		err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(j.pause)
	}
}

// check fails the test unless the answer is exactly the one of a run without faults.
func (r streamResult) check(t *testing.T) {
	t.Helper()
	if r.err != nil {
		t.Errorf("%s: no complete answer after %d reconnects: %v", r.job.prompt, r.reconnects, r.err)
		return
	}
	want := standin.ExpectedAnswer(testsite.ChatBody(r.job.prompt, r.job.tokens, true))
	if !slices.Equal(r.text, want) {
		t.Errorf("%s: wrong text or length: %d tokens, want %d", r.job.prompt, len(r.text), len(want))
	}
}

// startJobs starts all jobs, distributed over the daemons. The returned function waits for
// the end of all jobs and returns their results.
func startJobs(s *testsite.Site, jobs []streamJob) func() []streamResult {
	results := make([]streamResult, len(jobs))
	var wg sync.WaitGroup
	for i, j := range jobs {
		wg.Go(func() { results[i] = j.run(s, i) })
	}
	return func() []streamResult {
		wg.Wait()
		return results
	}
}

// checkNoReconnect fails the test if the caller had to reconnect.
func (r streamResult) checkNoReconnect(t *testing.T) {
	t.Helper()
	if r.reconnects > 0 {
		t.Errorf("%s: the caller had to reconnect %d times", r.job.prompt, r.reconnects)
	}
}

// newJobs returns n jobs with different prompts.
func newJobs(n, tokens int) []streamJob {
	jobs := make([]streamJob, n)
	for i := range jobs {
		jobs[i] = streamJob{key: testsite.CallerKey, prompt: fmt.Sprintf("prompt %d", i), tokens: tokens}
	}
	return jobs
}

// waitRunning waits until the engines have computed tokens of at least n streams.
func waitRunning(t *testing.T, s *testsite.Site, n int) {
	t.Helper()
	waitUntil(t, fmt.Sprintf("%d streams run", n), func() bool { return runningStreams(s) >= n })
}

func runningStreams(s *testsite.Site) int {
	n := 0
	for i := 0; ; i++ {
		e := s.Standin.Engine(fmt.Sprintf("engine-%d", i))
		if e == nil {
			return n
		}
		for _, entry := range e.Ledger() {
			if entry.Computed {
				n++
			}
		}
	}
}

// waitTimeout bounds the wait for a condition.
const waitTimeout = 30 * time.Second

// waitUntil polls the condition until it holds, and fails the test after waitTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

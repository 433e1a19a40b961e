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

// callerRetries bounds how often a caller comes back with its resume token.
const callerRetries = 40

// streamJob is one streamed request that a caller wants whole.
type streamJob struct {
	key    string
	prompt string
	tokens int
	// pause is how long the caller takes to read each event.
	pause time.Duration
}

// streamResult is what became of a job.
type streamResult struct {
	job  streamJob
	text []string
	// returns is how often the caller had to come back, refused or cut.
	returns int
	err     error
}

// run reads the job's answer, coming back to another daemon whenever it is cut.
func (j streamJob) run(s *testsite.Site, first int) streamResult {
	result := streamResult{job: j}
	body := testsite.ChatBody(j.prompt, j.tokens, true)
	ctx := context.Background()
	var stream *testsite.Stream
	for try := range callerRetries {
		result.returns = try
		next, err := j.open(ctx, s, first+try, body, stream)
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

// open sends the request, or resumes a stream that was cut, at the try's daemon.
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

// check fails the test unless the answer is byte for byte the one of an unharmed run.
func (r streamResult) check(t *testing.T) {
	t.Helper()
	if r.err != nil {
		t.Errorf("%s: not answered after coming back %d times: %v", r.job.prompt, r.returns, r.err)
		return
	}
	want := standin.ExpectedAnswer(testsite.ChatBody(r.job.prompt, r.job.tokens, true))
	if !slices.Equal(r.text, want) {
		t.Errorf("%s: %d tokens, want %d, or other text", r.job.prompt, len(r.text), len(want))
	}
}

// runAll runs jobs at once, spread over the daemons, and returns their results once
// all have ended.
func runAll(s *testsite.Site, jobs []streamJob) func() []streamResult {
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

// checkUncut fails the test if the caller had to come back.
func (r streamResult) checkUncut(t *testing.T) {
	t.Helper()
	if r.returns > 0 {
		t.Errorf("%s: the caller had to come back %d times", r.job.prompt, r.returns)
	}
}

// manyJobs makes jobs of different prompts.
func manyJobs(n, tokens int) []streamJob {
	jobs := make([]streamJob, n)
	for i := range jobs {
		jobs[i] = streamJob{key: testsite.CallerKey, prompt: fmt.Sprintf("prompt %d", i), tokens: tokens}
	}
	return jobs
}

// awaitRunning waits until the engines have computed tokens of at least n streams.
func awaitRunning(t *testing.T, s *testsite.Site, n int) {
	t.Helper()
	await(t, fmt.Sprintf("%d streams run", n), func() bool { return runningStreams(s) >= n })
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

// awaitLimit is the longest wait for a condition.
const awaitLimit = 30 * time.Second

// await waits until the condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(awaitLimit)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

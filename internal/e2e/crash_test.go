package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"rattanchute/internal/chat"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

const (
	// badMessage is the content of a message that crashes engines.
	badMessage = "a document that crashes engines"
	// learningTime is how long the daemons get requests with it before the crashes are counted, for
	// countedTime; maxLateCrashes is how many there may be.
	learningTime   = 6 * time.Second
	countedTime    = 4 * time.Second
	maxLateCrashes = 3
)

// documentBody returns a request about a document, which other requests may be about too.
func documentBody(document string, question int) []byte {
	tokens := 5
	body, err := json.Marshal(chat.Request{
		Model: testsite.Model,
		Messages: []chat.Message{
			{Role: "system", Content: "answer questions"},
			{Role: "user", Content: document},
			{Role: "user", Content: fmt.Sprint("question ", question)},
		},
		MaxTokens: &tokens,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return body
}

// TestMessageThatCrashesEnginesIsNotSentOn sends requests about several documents to two daemons.
func TestMessageThatCrashesEnginesIsNotSentOn(t *testing.T) {
	s := startSite(t, testsite.Options{Daemons: 2, Engines: 8, Engine: smallEngine})
	crashes := func() int {
		n := 0
		for i := range 8 {
			n += s.Standin.Engine(fmt.Sprint("engine-", i)).Crashes()
		}
		return n
	}
	for i := range 8 {
		s.Standin.Engine(fmt.Sprint("engine-", i)).SetFaults(standin.Faults{CrashOnText: badMessage, CrashMillis: 1000})
	}
	judgeCrashes(t, crashes, func(i int) bool {
		body := documentBody(fmt.Sprint("document ", i%5), i)
		if i%9 == 0 {
			body = documentBody(badMessage, i)
		}
		return callDaemon(t, s, i, "/v1/chat/completions", body)
	})
}

// callDaemon sends a request to the daemons in turn and reports whether it was served.
func callDaemon(t *testing.T, s *testsite.Site, i int, path string, body []byte, headers ...testsite.Header) bool {
	caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[i%len(s.Daemons)].Callers)
	resp, err := caller.Call(t.Context(), http.MethodPost, path, body, headers...)
	return err == nil && resp.Status == http.StatusOK
}

// judgeCrashes sends requests, every ninth of which crashes endpoints, and counts the crashes and the other
// requests that are served. The function send sends one and reports whether it was served.
func judgeCrashes(t *testing.T, crashes func() int, send func(i int) bool) {
	t.Helper()
	var good, served atomic.Int64
	var sending sync.WaitGroup
	ended := make(chan struct{})
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(30 * time.Millisecond):
			}
			sending.Go(func() {
				ok := send(i)
				if i%9 == 0 {
					return
				}
				good.Add(1)
				if ok {
					served.Add(1)
				}
			})
		}
	})
	time.Sleep(learningTime)
	before, goodBefore, servedBefore := crashes(), good.Load(), served.Load()
	time.Sleep(countedTime)
	if late := crashes() - before; late > maxLateCrashes || before == 0 {
		t.Errorf("%d endpoints crashed after %d had, want at most %d", late, before, maxLateCrashes)
	}
	goodCount, servedCount := good.Load()-goodBefore, served.Load()-servedBefore
	if servedCount*10 < goodCount*9 {
		t.Errorf("%d of %d good requests were served", servedCount, goodCount)
	}
	close(ended)
	sending.Wait()
}

// TestCallThatCrashesServicesIsNotSentOn sends one call again and again to two daemons, among others.
func TestCallThatCrashesServicesIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// keyed sends each repetition with an idempotency key of its own.
		keyed bool
	}{
		{name: "idempotent", path: "/app/search"},
		{name: "not idempotent", path: "/app/book"},
		{name: "keyed", path: "/app/book", keyed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, testsite.Options{Daemons: 2, Engines: 1, Services: 4})
			crashes := func() int {
				n := 0
				for i := range 4 {
					n += s.Standin.Service(fmt.Sprint("service-", i)).Crashes()
				}
				return n
			}
			for i := range 4 {
				s.Standin.Service(fmt.Sprint("service-", i)).SetFaults(standin.Faults{CrashOnText: badMessage, CrashMillis: 1000})
			}
			judgeCrashes(t, crashes, func(i int) bool {
				var headers []testsite.Header
				if c.keyed {
					headers = append(headers, testsite.Header{Name: "Idempotency-Key", Value: fmt.Sprint("key-", i)})
				}
				body := fmt.Sprint("call ", i%5)
				if i%9 == 0 {
					body = badMessage
				}
				return callDaemon(t, s, i, c.path, []byte(body), headers...)
			})
		})
	}
}

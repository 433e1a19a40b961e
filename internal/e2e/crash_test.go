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
			caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[i%2].Callers)
			sending.Go(func() {
				if i%9 == 0 {
					_, _ = caller.Call(t.Context(), http.MethodPost, "/v1/chat/completions", documentBody(badMessage, i))
					return
				}
				good.Add(1)
				resp, err := caller.Call(t.Context(), http.MethodPost, "/v1/chat/completions", documentBody(fmt.Sprint("document ", i%5), i))
				if err == nil && resp.Status == http.StatusOK {
					served.Add(1)
				}
			})
		}
	})
	time.Sleep(learningTime)
	before, goodBefore, servedBefore := crashes(), good.Load(), served.Load()
	time.Sleep(countedTime)
	if late := crashes() - before; late > maxLateCrashes || before == 0 {
		t.Errorf("%d engines crashed after %d had, want at most %d", late, before, maxLateCrashes)
	}
	goodCount, servedCount := good.Load()-goodBefore, served.Load()-servedBefore
	if servedCount*10 < goodCount*9 {
		t.Errorf("%d of %d good requests were served", servedCount, goodCount)
	}
	close(ended)
	sending.Wait()
}

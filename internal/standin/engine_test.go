package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/engine"
)

func chatRequest(text string, tokens int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d}`, text, tokens))
}

func startEngine(t *testing.T, c EngineConfig) *Engine {
	t.Helper()
	e := NewEngine(c)
	if err := e.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// readTokens reads the tokens of a stream from an offset to its end.
func readTokens(s *stream, offset int) []string {
	var texts []string
	for {
		c, ok := s.chunk(offset)
		if !ok {
			return texts
		}
		texts = append(texts, c.Text)
		if c.Finish != "" {
			return texts
		}
		offset++
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAnswerDependsOnRequestOnly(t *testing.T) {
	is := is.New(t)
	a := ExpectedAnswer(chatRequest("urea", 6))
	is.Equal(len(a), 6)
	is.Equal(a, ExpectedAnswer(chatRequest("urea", 9))[:6])
	is.True(a[0] != ExpectedAnswer(chatRequest("potash", 6))[0])
	is.Equal(len(ExpectedAnswer([]byte(`{"model":"m","messages":[]}`))), defaultMaxTokens)
}

func TestPriorityGoesFirst(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, EngineConfig{Slots: 1, TokenMillis: 60_000})
	var streams []*stream
	for i, priority := range []int{5, 1, 9} {
		g := engine.Generate{Stream: engine.StreamID(fmt.Sprint(i)), Body: chatRequest("x", 4), Priority: priority}
		s, err := e.open(g)
		is.NoErr(err)
		streams = append(streams, s)
	}
	is.Equal(e.Load().Queued, 2)
	e.Cancel("0")
	eventually(t, "the slot is free again", func() bool { return e.Load().Queued == 1 })
	is.Equal(e.queue[0], streams[1])
}

func TestOnlyMissingPrefixIsPrefilled(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, EngineConfig{TokenMillis: 1, BlockTokens: 4})
	shared := strings.Repeat("word ", 31)
	for i, text := range []string{shared, shared + "one two three"} {
		s, err := e.open(engine.Generate{Stream: engine.StreamID(fmt.Sprint(i)), Body: chatRequest(text, 2)})
		is.NoErr(err)
		readTokens(s, 0)
	}
	is.Equal(e.Ledger()["0"].Prefilled, 32)
	is.Equal(e.Ledger()["1"].Prefilled, 3)
	events := e.cache.events.after(0, time.Now())
	is.Equal(events[0].Prefix, PrefixHashes(chatRequest(shared, 2), 4)[0])
}

func TestCacheStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 64).Draw(t, "capacity")
		c := newPrefixCache(4, capacity, cacheEventLog{lossEvery: 3})
		for range rapid.IntRange(1, 30).Draw(t, "sequences") {
			tokens := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b"}), 0, 20).Draw(t, "tokens")
			hashes := chainHashes("m", tokens)
			c.insert(hashes, time.Time{})
			held := 0
			for _, e := range c.entries {
				held += e.Value.(cacheEntry).tokens
			}
			if held != c.held || held > capacity {
				t.Fatalf("entries hold %d tokens, counter says %d, capacity is %d", held, c.held, capacity)
			}
			if len(hashes) <= capacity && c.match(hashes) != len(hashes) {
				t.Fatalf("the sequence inserted last is not fully cached")
			}
		}
		for _, e := range c.events.after(0, time.Time{}) {
			if e.Sequence%3 == 0 {
				t.Fatalf("event %d is in the log but is configured to be lost", e.Sequence)
			}
		}
	})
}

func TestUnreadStreamIsCancelled(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, EngineConfig{TokenMillis: 60_000, KeepMillis: 20})
	s, err := e.open(engine.Generate{Stream: "r", Body: chatRequest("x", 4)})
	is.NoErr(err)
	e.detach(s)
	eventually(t, "the stream is given up", func() bool { return e.Ledger()["r"].Cancelled })
	_, err = e.open(engine.Generate{Stream: "r", Attach: true, Body: chatRequest("x", 4)})
	is.True(errors.Is(err, engine.ErrNoStream))
}

func TestClosedEngineKeepsOnlyItsLedger(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, EngineConfig{TokenMillis: 1, Slots: 1})
	s, err := e.open(engine.Generate{Stream: "r", Body: chatRequest("x", 1000)})
	is.NoErr(err)
	_, ok := s.chunk(2)
	is.True(ok)
	e.SetFaults(Faults{Die: true})
	_, err = e.open(engine.Generate{Stream: "r2", Body: chatRequest("x", 4)})
	is.True(errors.Is(err, engine.ErrNotSent))
	e.SetFaults(Faults{})
	is.NoErr(e.Listen())
	s, err = e.open(engine.Generate{Stream: "r3", Body: chatRequest("x", 4)})
	is.NoErr(err)
	is.Equal(readTokens(s, 0), ExpectedAnswer(chatRequest("x", 4)))
	is.Equal(e.Ledger()["r3"].Prefilled, 2)
	is.True(e.Ledger()["r"].Cancelled && e.Ledger()["r"].Last < 999)
}

func TestLoadLags(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, EngineConfig{TokenMillis: 60_000, LoadLagMillis: 60_000})
	is.Equal(e.Load().Running, 0)
	_, err := e.open(engine.Generate{Stream: "r", Body: chatRequest("x", 4)})
	is.NoErr(err)
	is.Equal(e.Load().Running, 0)
}

package enginehttp_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"rattanchute/internal/adapter/enginehttp"
	"rattanchute/internal/engine"
	"rattanchute/internal/standin"
)

const (
	callers           = 32
	requestsPerCaller = 20
)

// TestConcurrentStreamsDoNotMix runs many streams over shared connections, some of which
// are closed early, alternating with calls to a service. Each must get its own response.
func TestConcurrentStreamsDoNotMix(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 0.1, Slots: 16})
	service := startService(t)
	c := newClient()
	var group errgroup.Group
	for caller := range callers {
		random := rand.New(rand.NewPCG(1, uint64(caller)))
		group.Go(func() error {
			for n := range requestsPerCaller {
				id := fmt.Sprintf("%d-%d", caller, n)
				if err := generateOnce(c, e.Address(), id, random.IntN(12)); err != nil {
					return err
				}
				if err := callOnce(c, service.Address(), id); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	is.Equal(service.Ledger().Runs, callers*requestsPerCaller)
	is.Equal(c.ForeignChunks(), uint64(0))
}

// generateOnce generates a stream and checks its text. It closes the stream early if
// giveUpAt is within it.
func generateOnce(c *enginehttp.Client, address, id string, giveUpAt int) error {
	own := json.RawMessage(fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":8}`, id))
	s, err := c.Generate(context.Background(), address, engine.Generate{Stream: engine.StreamID(id), Body: own})
	if err != nil {
		return err
	}
	for offset, want := range standin.ExpectedAnswer(own) {
		if offset == giveUpAt {
			break
		}
		chunk, err := s.Next()
		if err != nil {
			return err
		}
		if chunk.Text != want {
			return fmt.Errorf("stream %s: got %q at %d, want %q", id, chunk.Text, offset, want)
		}
	}
	return s.Close()
}

func callOnce(c *enginehttp.Client, address, id string) error {
	response, err := c.Call(context.Background(), address, engine.Call{Method: "POST", URI: "/" + id, AttemptID: id})
	if err != nil {
		return err
	}
	var echo standin.Echo
	if err := json.Unmarshal(response.Body, &echo); err != nil {
		return err
	}
	if echo.Path != "/"+id {
		return fmt.Errorf("call %s got the response of %s", id, echo.Path)
	}
	return nil
}

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
	callers         = 32
	requestsPerCall = 20
)

// TestStreamsKeepApart runs many streams over shared connections, of which some are
// given up midway, and calls to a service between them.
func TestStreamsKeepApart(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, standin.EngineConfig{TokenMillis: 0.1, Slots: 16})
	service := startService(t)
	c := newClient()
	var group errgroup.Group
	for caller := range callers {
		random := rand.New(rand.NewPCG(1, uint64(caller)))
		group.Go(func() error {
			for n := range requestsPerCall {
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
	is.Equal(service.Ledger().Runs, callers*requestsPerCall)
	is.Equal(c.ForeignChunks(), uint64(0))
}

// generateOnce reads an own answer, or only its first chunks and then gives up.
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
	answer, err := c.Call(context.Background(), address, engine.Call{Method: "POST", URI: "/" + id, AttemptID: id})
	if err != nil {
		return err
	}
	var echo standin.Echo
	if err := json.Unmarshal(answer.Body, &echo); err != nil {
		return err
	}
	if echo.Path != "/"+id {
		return fmt.Errorf("call %s got the answer of %s", id, echo.Path)
	}
	return nil
}

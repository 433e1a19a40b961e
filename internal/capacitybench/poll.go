package capacitybench

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/engine"
)

// measurePoll returns the cost of one poll of an engine's load. The bytes include the bodies.
func measurePoll() (requestCost, error) {
	const polls = 5000
	load := engine.Load{Running: 12, Queued: 3, Slots: 32, QueuedTokens: 18000, TokensPerSecond: 9500, At: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return requestCost{}, fmt.Errorf("capacity bench: %w", err)
	}
	var bytes atomic.Int64
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		c.SetContentType("application/json")
		_ = json.NewEncoder(c).Encode(load)
	}}
	go func() { _ = server.Serve(countingListener{l, &bytes}) }()
	defer func() { _ = server.Shutdown() }()
	url := "http://" + l.Addr().String() + "/v1/load"
	var client fasthttp.Client
	cpu := processorTime()
	var body []byte
	for range polls {
		status, answer, err := client.Get(body[:0], url)
		if err != nil || status != fasthttp.StatusOK {
			return requestCost{}, fmt.Errorf("capacity bench: poll: status %d: %w", status, err)
		}
		body = answer
		if err := json.Unmarshal(body, &load); err != nil {
			return requestCost{}, fmt.Errorf("capacity bench: poll: %w", err)
		}
	}
	return requestCost{
		bytes: float64(bytes.Load()) / polls,
		core:  (processorTime() - cpu).Seconds() / polls,
	}, nil
}

package peerhttp

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/gossip"
)

// PathGossip is the path that gossip messages are posted to.
const PathGossip = "/peer/v1/spread"

// Transport sends gossip messages over a Client.
type Transport struct {
	Client *Client
}

// Send posts a message and returns the peer's reply.
func (t Transport) Send(ctx context.Context, address string, m gossip.Message) (gossip.Message, error) {
	var reply gossip.Message
	err := t.Client.Post(ctx, address, PathGossip, m, &reply)
	return reply, err
}

// GossipHandler returns a Handler that passes gossip messages to receive and responds
// with its reply.
func GossipHandler(receive func(gossip.Message) gossip.Message) Handler {
	return func(_ context.Context, body []byte) ([]byte, error) {
		var m gossip.Message
		if err := json.Unmarshal(body, &m); err != nil {
			return nil, &StatusError{Status: fasthttp.StatusBadRequest, Message: err.Error()}
		}
		return json.Marshal(receive(m))
	}
}

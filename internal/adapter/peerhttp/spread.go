package peerhttp

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/gossip"
)

// PathGossip is where spread messages are posted.
const PathGossip = "/peer/v1/spread"

// Transport sends spread messages over a Client.
type Transport struct {
	Client *Client
}

// Send posts a message and returns the peer's answer.
func (t Transport) Send(ctx context.Context, address string, m gossip.Message) (gossip.Message, error) {
	var reply gossip.Message
	err := t.Client.Post(ctx, address, PathGossip, m, &reply)
	return reply, err
}

// GossipHandler answers spread messages with receive.
func GossipHandler(receive func(gossip.Message) gossip.Message) Handler {
	return func(_ context.Context, body []byte) ([]byte, error) {
		var m gossip.Message
		if err := json.Unmarshal(body, &m); err != nil {
			return nil, &StatusError{Status: fasthttp.StatusBadRequest, Message: err.Error()}
		}
		return json.Marshal(receive(m))
	}
}

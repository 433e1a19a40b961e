package peerhttp

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"rattanchute/internal/spread"
)

// PathSpread is where spread messages are posted.
const PathSpread = "/peer/v1/spread"

// Transport sends spread messages over a Client.
type Transport struct {
	Client *Client
}

// Send posts a message and returns the peer's answer.
func (t Transport) Send(ctx context.Context, address string, m spread.Message) (spread.Message, error) {
	var reply spread.Message
	err := t.Client.Post(ctx, address, PathSpread, m, &reply)
	return reply, err
}

// SpreadHandler answers spread messages with receive.
func SpreadHandler(receive func(spread.Message) spread.Message) Handler {
	return func(_ context.Context, body []byte) ([]byte, error) {
		var m spread.Message
		if err := json.Unmarshal(body, &m); err != nil {
			return nil, &StatusError{Status: fasthttp.StatusBadRequest, Message: err.Error()}
		}
		return json.Marshal(receive(m))
	}
}

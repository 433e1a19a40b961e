package httpclient

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"
)

// Room bounds the memory that responses take.
type Room interface {
	// Acquire reserves bytes, for which it may wait until ctx is done.
	Acquire(ctx context.Context, bytes int64) error
	// Return gives back reserved bytes.
	Return(bytes int64)
}

// uncountedBytes is the largest size of a buffer for which no room is asked.
const uncountedBytes = 4 << 10

// readWithin reads a body of at most a number of bytes into memory that is reserved as it comes. What is reserved for the
// result, also for that of a failure, is for the caller to return.
func readWithin(ctx context.Context, from io.Reader, most int, room Room) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			larger, err := grow(ctx, body, room)
			if err != nil {
				return body, err
			}
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > most:
			return body, fasthttp.ErrBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// grow returns a copy of the body with room for as much again.
func grow(ctx context.Context, body []byte, room Room) ([]byte, error) {
	size := max(2*cap(body), uncountedBytes)
	if room != nil && size > uncountedBytes {
		if err := room.Acquire(ctx, int64(size)); err != nil {
			return nil, err
		}
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	returnRoom(room, body)
	return larger, nil
}

// returnRoom returns what is reserved for a body.
func returnRoom(room Room, body []byte) {
	if room != nil && cap(body) > uncountedBytes {
		room.Return(int64(cap(body)))
	}
}

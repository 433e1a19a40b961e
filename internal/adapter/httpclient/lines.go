package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
)

// ErrLongLine means that a line is longer than allowed.
var ErrLongLine = errors.New("line too long")

// Lines reads the lines of a response. One that is longer than uncountedBytes is held in memory that is reserved as it comes.
type Lines struct {
	ctx  context.Context
	from *bufio.Reader
	most int
	room Room
	// long is the line that did not fit into the buffer of from.
	long []byte
}

// NewLines returns the lines of a body, each of at most a number of bytes. The room may be nil; it is asked within ctx.
func NewLines(ctx context.Context, from io.Reader, most int, room Room) *Lines {
	return &Lines{ctx: ctx, from: bufio.NewReaderSize(from, uncountedBytes), most: most, room: room}
}

// Next returns the next line with its end, which is valid until the next call. A last line without an end is not returned: it was
// cut. The error after the last line is io.EOF.
func (l *Lines) Next() ([]byte, error) {
	l.Release()
	for {
		part, err := l.from.ReadSlice('\n')
		if err == nil && l.long == nil {
			return part, nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if addErr := l.add(part); addErr != nil {
			return nil, addErr
		}
		if err == nil {
			return l.long, nil
		}
	}
}

func (l *Lines) add(part []byte) error {
	if len(l.long)+len(part) > l.most {
		return ErrLongLine
	}
	for len(l.long)+len(part) > cap(l.long) {
		larger, err := grow(l.ctx, l.long, l.room)
		if err != nil {
			return err
		}
		l.long = larger
	}
	l.long = append(l.long, part...)
	return nil
}

// Release gives back what is reserved. It may be called more than once.
func (l *Lines) Release() {
	returnRoom(l.room, l.long)
	l.long = nil
}

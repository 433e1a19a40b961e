package proxy

import (
	"errors"
	"fmt"
)

// The reasons why a response does not continue a stream.
var (
	// errMissingEvents means that events which the caller lacks were skipped.
	errMissingEvents = errors.New("events missing from the stream")
	// errForeignEvent means that what came is no event of the stream, but for example the text of an error.
	errForeignEvent = errors.New("not an event of the stream")
	// errOtherText means that an event was repeated with other text, by which it belongs to another run.
	errOtherText = errors.New("event repeated with other text")
	// errBackwards means that an attempt that had added events went back to one whose text is not known.
	errBackwards = errors.New("event numbers went back")
	// errNothingFollows means that a response to a request for the rest of a stream ended without any of it.
	errNothingFollows = errors.New("nothing follows the last event of the caller")
	// errNotEvents means that a response to a request for the rest of a stream is no stream of events.
	errNotEvents = errors.New("response is not a stream of events")
)

// isForeign reports whether err means that an event does not continue its stream.
func isForeign(err error) bool {
	return errors.Is(err, errMissingEvents) || errors.Is(err, errForeignEvent) || errors.Is(err, errOtherText) ||
		errors.Is(err, errBackwards)
}

// continuation decides what may follow the last event that the caller of a stream has: after a break within the
// response, and where the caller has asked for the rest of a stream that broke off before. It spans the attempts of one
// request. Events are numbered without gaps; what carries no number of the stream never joins it.
type continuation struct {
	// resumable is set if another attempt may continue the stream. Each event needs a number then.
	resumable bool
	// opaque is set if the caller has asked for what follows an event whose ID is not a number.
	opaque bool
	// has is set if the caller has events of the stream, and numbered if the last one has a number, which is last.
	has      bool
	numbered bool
	last     int64
	// lastID is the ID of the last event that has one.
	lastID string
	texts  textHashes
	// repeats is set if events that the caller has are passed on while their text is not known: the host that has
	// relayed the request knows it.
	repeats bool
	// forwarded is set once an event was passed on in this response.
	forwarded bool
	// endDoubted is set if the last attempt that added events ended in order, and only the loss of its endpoint right
	// then raised a doubt. What shows that more was to come clears it.
	endDoubted bool
	// endMarked is set if that attempt marked its end itself. Unless another one shows that more was to come, the stream
	// is whole, as its endpoint has said.
	endMarked bool

	// These describe the current attempt: takesUp is set if the caller has a part of the response or stream already,
	// answering if it has a part of this response, and added once the attempt has added an event.
	takesUp   bool
	answering bool
	added     bool
}

// newContinuation returns the state before the first attempt. The caller has the stream up to lastEventID, if it asks
// for the rest of one.
func newContinuation(asksForRest bool, lastEventID string, resumable bool) continuation {
	c := continuation{resumable: resumable, lastID: lastEventID}
	if !asksForRest {
		return c
	}
	c.has = true
	c.resumable = true
	c.last, c.numbered = eventNumber(lastEventID)
	c.opaque = !c.numbered
	return c
}

// begin starts an attempt. headSent is set if the caller has the head of the response.
func (c *continuation) begin(headSent bool) {
	c.takesUp = c.has || headSent
	c.answering = headSent
	c.added = false
}

// accept reports whether the caller lacks an event. An error means that the attempt does not continue the stream.
func (c *continuation) accept(e event) (bool, error) {
	switch {
	case e.kind == kindComment:
		return c.added || !c.takesUp, nil
	case e.numbered && !c.opaque:
		return c.acceptNumber(e)
	case !c.acceptsWithoutNumber(e):
		return false, fmt.Errorf("%w: id %.40q after %d", errForeignEvent, e.id, c.last)
	}
	c.add(e)
	return true, nil
}

// acceptsWithoutNumber reports whether an event may follow although no number shows that it does.
func (c *continuation) acceptsWithoutNumber(e event) bool {
	switch {
	case c.opaque:
		return e.id != ""
	case c.numbered:
		return !c.resumable && e.kind == kindEvent
	}
	return !c.takesUp
}

func (c *continuation) acceptNumber(e event) (bool, error) {
	switch {
	case !c.numbered:
		// The first number, in the attempt with which the stream begins.
	case e.number <= c.last:
		return c.acceptRepeated(e)
	case e.number-1 > c.last:
		c.endDoubted = false
		return false, fmt.Errorf("%w: %d after %d", errMissingEvents, e.number, c.last)
	}
	c.numbered = true
	c.last = e.number
	c.texts.add(e.number, e.textHash)
	c.add(e)
	return true, nil
}

// acceptRepeated is acceptNumber for an event that the caller has. The error means that it belongs to another run.
func (c *continuation) acceptRepeated(e event) (bool, error) {
	hash, known := c.texts.find(e.number)
	switch {
	case known && hash != e.textHash:
		return false, fmt.Errorf("%w: %d", errOtherText, e.number)
	case !known && c.added:
		return false, fmt.Errorf("%w: %d after %d", errBackwards, e.number, c.last)
	}
	return !known && c.repeats, nil
}

func (c *continuation) add(e event) {
	if e.id != "" {
		c.lastID = e.id
	}
	c.has = true
	c.added = true
	c.forwarded = true
	c.endDoubted = false
}

// end returns an error if the end of an attempt does not end the stream. marked is set if the response says that it is
// a stream of events and marks its own end. Where this response broke off, an attempt that adds nothing shows nothing.
// Otherwise, it means that nothing was left.
func (c *continuation) end(marked bool) error {
	if c.added || !c.takesUp {
		return nil
	}
	if !marked || c.answering && !c.endDoubted {
		return errNothingFollows
	}
	return nil
}

// isWhole reports whether a stream is whole that no other attempt has continued.
func (c *continuation) isWhole() bool { return c.endDoubted && c.endMarked }

// mayContinue reports whether another attempt may continue the response: only numbers show what follows.
func (c *continuation) mayContinue() bool { return c.numbered || !c.forwarded }

// maxKnownTexts bounds the events of a stream whose text is known.
const maxKnownTexts = 4096

// textHashes are hashes of the text of the newest events of a stream, whose numbers have no gaps.
type textHashes struct {
	first  int64
	hashes []uint64
}

func (t *textHashes) add(number int64, hash uint64) {
	if len(t.hashes) == 0 {
		t.first = number
	}
	if len(t.hashes) >= maxKnownTexts {
		dropped := copy(t.hashes, t.hashes[maxKnownTexts/2:])
		t.hashes = t.hashes[:dropped]
		t.first += maxKnownTexts / 2
	}
	t.hashes = append(t.hashes, hash)
}

func (t *textHashes) find(number int64) (hash uint64, known bool) {
	at := number - t.first
	if at < 0 || at >= int64(len(t.hashes)) {
		return 0, false
	}
	return t.hashes[at], true
}

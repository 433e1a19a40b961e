package proxy

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// play has a continuation judge the events of one attempt, and returns the text that it passes on.
func (c *continuation) play(headSent bool, text string) (string, error) {
	c.begin(headSent)
	var reader eventReader
	if err := reader.add([]byte(text)); err != nil {
		return "", err
	}
	passed := ""
	for {
		e, ok := reader.next()
		if !ok {
			return passed, nil
		}
		lacks, err := c.accept(e)
		if err != nil {
			return passed, err
		}
		if lacks {
			passed += string(e.text)
		}
	}
}

func TestWhatMayFollowTheLastEvent(t *testing.T) {
	const comment = ": c\n\n"
	for _, c := range []struct {
		name, text, passed string
		err                error
	}{
		{"the next event", eventTexts(4, 5), eventTexts(4, 5), nil},
		{"repeats, then the next event", eventTexts(2, 4), eventText(4), nil},
		{"a comment before", comment + eventText(4), eventText(4), nil},
		{"a comment between", eventText(4) + comment + eventText(5), eventText(4) + comment + eventText(5), nil},
		{"a comment inside", ": c\n" + eventText(4), ": c\n" + eventText(4), nil},
		{"a header before", "version: 2\n" + eventText(4), "version: 2\n" + eventText(4), nil},
		{"a repeat inside", eventTexts(4, 5) + eventTexts(4, 6), eventTexts(4, 6), nil},
		{"lines that end with CRLF", "id: 3\r\ndata: piece 3\r\n\r\n" + eventText(4), eventText(4), nil},
		{"a retry delay", "retry: 5\n\n" + eventText(4), eventText(4), nil},
		{"an error event", errorEvent, "", errForeignEvent},
		{"an error event behind the next", eventText(4) + errorEvent, eventText(4), errForeignEvent},
		{"an id that is no number", "id: 4a\ndata: x\n\n", "", errForeignEvent},
		{"a negative number", "id: -4\ndata: x\n\n", "", errForeignEvent},
		{"a number beyond all", "id: 9223372036854775808\ndata: x\n\n", "", errForeignEvent},
		{"the largest number", "id: 9223372036854775807\ndata: x\n\n", "", errMissingEvents},
		{"a leap", eventText(5), "", errMissingEvents},
		{"text", "oops\n\n", "", errForeignEvent},
		{"other text", otherRun(3, 4), "", errOtherText},
		{"another type of event", "event: a\n" + eventText(3), "", errOtherText},
		{"other text of the new event", eventText(4) + otherRun(4, 5), eventText(4), errOtherText},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newContinuation(false, "", true)
			passed, err := k.play(false, eventTexts(1, 3))
			is.NoErr(err)
			is.Equal(passed, eventTexts(1, 3))
			passed, err = k.play(true, c.text)
			is.True(errors.Is(err, c.err))
			is.Equal(passed, c.passed)
		})
	}
}

func TestWhatMayFollowACallersLastEvent(t *testing.T) {
	for _, c := range []struct {
		name, last, text, passed string
		err                      error
	}{
		{"no event", "", eventTexts(5, 6), eventTexts(5, 6), nil},
		{"number zero", "0", eventTexts(1, 2), eventTexts(1, 2), nil},
		{"the next event", "3", eventTexts(4, 5), eventTexts(4, 5), nil},
		{"repeats, then the next event", "3", eventTexts(1, 4), eventText(4), nil},
		{"a leap", "3", eventText(5), "", errMissingEvents},
		{"an error event", "3", errorEvent, "", errForeignEvent},
		{"back behind what is known", "3", eventText(4) + eventText(2), eventText(4), errBackwards},
		{"an opaque ID", "a", "id: b\ndata: x\n\nid: 7\ndata: y\n\n", "id: b\ndata: x\n\nid: 7\ndata: y\n\n", nil},
		{"an error event behind an opaque ID", "a", errorEvent, "", errForeignEvent},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			info := RequestInfo{LastEventID: c.last}
			k := newContinuation(info.isResumption(), c.last, true)
			passed, err := k.play(false, c.text)
			is.True(errors.Is(err, c.err))
			is.Equal(passed, c.passed)
		})
	}
}

func TestEventsWithoutNumbersInOneAttempt(t *testing.T) {
	const plain = "data: x\n\n"
	for _, c := range []struct {
		name      string
		resumable bool
		text      string
		err       error
		continues bool
	}{
		{"none has a number", true, plain + plain, nil, false},
		{"numbers come later", true, plain + eventTexts(1, 2), nil, true},
		{"numbers end", true, eventText(1) + plain, errForeignEvent, true},
		{"numbers end in a stream that cannot be resumed", false, eventText(1) + plain + eventText(2), nil, true},
		{"text in a stream that cannot be resumed", false, eventText(1) + errorHead, errForeignEvent, true},
		{"comments alone", true, ": c\n\n", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newContinuation(false, "", c.resumable)
			_, err := k.play(false, c.text)
			is.True(errors.Is(err, c.err))
			is.Equal(k.mayContinue(), c.continues)
		})
	}
}

func TestRelayedRequestLeavesRepeatsToTheHostThatKnowsTheirText(t *testing.T) {
	is := is.New(t)
	k := newContinuation(true, "3", true)
	k.repeats = true
	passed, err := k.play(false, otherRun(2, 4))
	is.NoErr(err)
	is.Equal(passed, otherRun(2, 4))
	is.Equal(k.lastID, "4")
}

func TestTextsOfOldEventsAreForgotten(t *testing.T) {
	is := is.New(t)
	var texts textHashes
	for i := range int64(3 * maxKnownTexts) {
		texts.add(i+1, uint64(i+1))
		is.True(len(texts.hashes) <= maxKnownTexts)
		hash, known := texts.find(i + 1)
		is.True(known)
		is.Equal(hash, uint64(i+1))
	}
	_, known := texts.find(1)
	is.True(!known)
	hash, known := texts.find(3*maxKnownTexts - 10)
	is.True(known)
	is.Equal(hash, uint64(3*maxKnownTexts-10))
	_, known = texts.find(3*maxKnownTexts + 1)
	is.True(!known)
}

// TestEndsOfStreams plays three events, a break, and an attempt that adds none or one.
func TestEndsOfStreams(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		begins, doubted, adds, marked bool
		ends                          bool
	}{
		{begins: true, adds: true, ends: true},
		{begins: true, marked: true},                            // the stream broke
		{begins: true, doubted: true, marked: true, ends: true}, // nothing was left
		{begins: true, doubted: true},                           // no stream of events that marks its end
		{begins: false, marked: true, ends: true},               // a caller's own request for the rest
		{begins: false},                                         // the same, unmarked
		{begins: true, doubted: true, adds: true, ends: true},   // the rest
		{begins: false, adds: true, ends: true},                 // the rest, for the caller's own request
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			k := newContinuation(!c.begins, "3", true)
			if c.begins {
				_, err := k.play(false, eventTexts(1, 3))
				is.NoErr(err)
				k.endDoubted = c.doubted
			}
			text := ""
			if c.adds {
				text = eventText(4)
			}
			_, err := k.play(c.begins, text)
			is.NoErr(err)
			is.Equal(k.end(c.marked) == nil, c.ends)
		})
	}
}

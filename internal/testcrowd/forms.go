package testcrowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	// dripGap is the pause between the bytes of a client that drips.
	dripGap = 100 * time.Millisecond
)

// Form is one way not to behave. Write gets the request line and the header fields that the listener asks for, without
// the empty line that ends a header.
type Form struct {
	Name  string
	Write func(w io.Writer, head string) error
}

// send writes the texts one after the other.
func send(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

func lengthHead(length int64) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", length) }

// filler returns n bytes.
func filler(n int) string { return strings.Repeat("x", n) }

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, filler(n)) }

// BodyForms are the forms in which bodies come of clients that do not behave. The limit on bodies is taken to be 1 MiB.
func BodyForms() []Form {
	return []Form{
		{"large chunks that stop short of the end", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, chunk(256*kib), chunk(256*kib), chunk(256*kib))
		}},
		{"one chunk that stops 8 bytes short", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, fmt.Sprintf("%x\r\n", 768*kib), filler(768*kib-8))
		}},
		{"tiny chunks", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, strings.Repeat(chunk(3), 512*kib/3))
		}},
		{"a length that stops 8 bytes short", func(w io.Writer, head string) error {
			return send(w, head, lengthHead(768*kib), filler(768*kib-8))
		}},
		{"a length and no byte", func(w io.Writer, head string) error { return send(w, head, lengthHead(mib)) }},
		{"a chunk of the limit and no byte", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, fmt.Sprintf("%x\r\n", mib))
		}},
		{"a length and 4 KiB", func(w io.Writer, head string) error { return send(w, head, lengthHead(mib), filler(4*kib)) }},
		{"a length of 64 GiB and 2 MiB", func(w io.Writer, head string) error {
			return send(w, head, lengthHead(64<<30), filler(2*mib))
		}},
		{"a chunk of 1 TiB and 2 MiB", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, fmt.Sprintf("%x\r\n", int64(1)<<40), filler(2*mib))
		}},
		{"16 MiB in chunks", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, strings.Repeat(chunk(mib/2), 32))
		}},
		{"long chunk extensions", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, strings.Repeat("1;e="+filler(8*kib)+"\r\nx\r\n", 64))
		}},
		{"a trailer that does not end", func(w io.Writer, head string) error {
			return send(w, head, chunkedHead, chunk(512*kib), "0\r\nA: ", filler(8*kib))
		}},
		{"an expectation and no byte", func(w io.Writer, head string) error {
			return send(w, head, "Expect: 100-continue\r\n", lengthHead(mib))
		}},
		{"a header of many fields and a body that stops", func(w io.Writer, head string) error {
			return send(w, head, ManyFields(15*kib), lengthHead(mib), filler(64*kib))
		}},
		{"a drip", func(w io.Writer, head string) error {
			if err := send(w, head, lengthHead(mib), filler(768*kib)); err != nil {
				return err
			}
			return drip(w)
		}},
	}
}

// ConnectionForms are the forms of connections without a whole header.
func ConnectionForms() []Form {
	return []Form{
		{"idle connections", func(io.Writer, string) error { return nil }},
		{"half a header", func(w io.Writer, head string) error { return send(w, head, "A: ", filler(12*kib)) }},
		{"a header that drips", func(w io.Writer, head string) error {
			if err := send(w, head, "A: "); err != nil {
				return err
			}
			return drip(w)
		}},
	}
}

// ManyFields returns header fields of a total size.
func ManyFields(size int) string {
	var fields bytes.Buffer
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%x:y\r\n", i)
	}
	return fields.String()
}

// drip writes a byte at a time until the connection is closed.
func drip(w io.Writer) error {
	for {
		if err := send(w, "x"); err != nil {
			return err
		}
		time.Sleep(dripGap)
	}
}

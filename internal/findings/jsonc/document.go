// Package jsonc decodes JSON with comments into typed values. It keeps the position of
// each value, so that all errors of a text can be reported in one pass, each with its line
// and column.
package jsonc

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"rattanchute/internal/findings"
)

// Document is a parsed text together with its findings so far.
type Document struct {
	file     string
	text     []byte
	root     hujson.Value
	findings findings.List
	// undecodable holds the offsets of the values that could not be decoded.
	undecodable map[int]bool
	// fields caches the keys of struct types.
	fields map[reflect.Type]fields
}

// Parse parses a text. If the text is not valid UTF-8, is nested too deeply or is not JSON with
// comments, the document has one finding and no values.
func Parse(file string, text []byte) *Document {
	d := &Document{
		file:        file,
		text:        text,
		undecodable: map[int]bool{},
		fields:      map[reflect.Type]fields{},
	}
	if offset := firstInvalidUTF8(text); offset >= 0 {
		d.addAtOffset(offset, "not valid UTF-8", "accepted is UTF-8 text")
		return d
	}
	if offset := firstTooDeep(text); offset >= 0 {
		accepted := fmt.Sprintf("accepted are at most %d levels", maxDepth)
		d.addAtOffset(offset, "nested too deeply", accepted)
		return d
	}
	root, err := hujson.Parse(text)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.root = root
	return d
}

// Findings returns the findings so far, sorted by position.
func (d *Document) Findings() findings.List {
	d.findings.Sort()
	return d.findings
}

// Add adds a finding about the value at a path; for a missing value it uses the position of the
// innermost value around it. It does nothing if the text could not be parsed or the value at that
// position could not be decoded, because there is a finding about that already.
func (d *Document) Add(p Path, message, accepted string) {
	offset := d.offset(p)
	if d.root.Value == nil || d.undecodable[offset] {
		return
	}
	d.addAtOffset(offset, message, accepted)
}

func (d *Document) addAtOffset(offset int, message, accepted string) {
	line, column := d.position(offset)
	d.findings = append(d.findings, findings.Finding{
		File:     d.file,
		Line:     line,
		Column:   column,
		Message:  message,
		Accepted: accepted,
	})
}

// addSyntaxError adds a finding for an error of the parser. The position is taken from the
// error text, which begins with "hujson: line L, column C: ".
func (d *Document) addSyntaxError(err error) {
	f := findings.Finding{File: d.file, Line: 1, Column: 1}
	message := err.Error()
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &f.Line, &f.Column); scanErr == nil {
		_, message, _ = strings.Cut(message, ": ")
		_, message, _ = strings.Cut(message, ": ")
	}
	f.Message = message
	f.Accepted = "accepted is JSON with // and /* */ comments and trailing commas"
	d.findings = append(d.findings, f)
}

func (d *Document) position(offset int) (line, column int) {
	before := d.text[:min(offset, len(d.text))]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

func firstInvalidUTF8(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

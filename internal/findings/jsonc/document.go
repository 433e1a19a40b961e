// Package jsonc decodes JSON with comments into typed values and keeps the place of
// each value, so that every fault of a text is found in one pass and reported with
// its line and column.
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

// Document is a parsed text with the findings made so far.
type Document struct {
	file     string
	text     []byte
	root     hujson.Value
	findings findings.List
	// failed holds the offsets of values that could not be decoded.
	failed map[int]bool
	// fields holds the keys of the struct types met so far.
	fields map[reflect.Type]fields
}

// Parse reads a text. A text that is not JSON with comments gives a document with one
// finding and no values.
func Parse(file string, text []byte) *Document {
	d := &Document{
		file:   file,
		text:   text,
		failed: map[int]bool{},
		fields: map[reflect.Type]fields{},
	}
	if place := invalidUTF8(text); place >= 0 {
		d.addAtOffset(place, "not valid UTF-8", "accepted is UTF-8 text")
		return d
	}
	if place := tooDeep(text); place >= 0 {
		accepted := fmt.Sprintf("accepted are at most %d levels", maxDepth)
		d.addAtOffset(place, "nested too deeply", accepted)
		return d
	}
	root, err := hujson.Parse(text)
	if err != nil {
		d.addSyntax(err)
		return d
	}
	d.root = root
	return d
}

// Findings returns everything found so far, ordered by place.
func (d *Document) Findings() findings.List {
	d.findings.Sort()
	return d.findings
}

// Add records a finding about the value at a path. A value that could not be decoded
// has its finding already and gets no second one.
func (d *Document) Add(p Path, message, accepted string) {
	offset := d.offset(p)
	if d.root.Value == nil || d.failed[offset] {
		return
	}
	d.addAtOffset(offset, message, accepted)
}

func (d *Document) addAtOffset(offset int, message, accepted string) {
	line, column := d.place(offset)
	d.findings = append(d.findings, findings.Finding{
		File:     d.file,
		Line:     line,
		Column:   column,
		Message:  message,
		Accepted: accepted,
	})
}

// addSyntax takes the place out of a parser's error, which begins with
// "hujson: line L, column C: ".
func (d *Document) addSyntax(err error) {
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

func (d *Document) place(offset int) (line, column int) {
	before := d.text[:min(offset, len(d.text))]
	line = 1 + bytes.Count(before, []byte{'\n'})
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

func invalidUTF8(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return -1
}

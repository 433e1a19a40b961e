package jsonc

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Step is one element of a path: a member name or an array index.
type Step struct {
	Name  string
	Index int
	isKey bool
}

// Path identifies a value in a document by the steps from the root to it.
type Path []Step

// Key returns the path to a member of the object at p.
func (p Path) Key(name string) Path {
	return append(slices.Clip(p), Step{Name: name, isKey: true})
}

// Item returns the path to an element of the array at p.
func (p Path) Item(index int) Path {
	return append(slices.Clip(p), Step{Index: index})
}

// String returns the path in the form "fleets[0].calls[2].method".
func (p Path) String() string {
	var b strings.Builder
	for _, s := range p {
		switch {
		case !s.isKey:
			fmt.Fprintf(&b, "[%d]", s.Index)
		case b.Len() > 0:
			b.WriteString("." + s.Name)
		default:
			b.WriteString(s.Name)
		}
	}
	return b.String()
}

// Has reports whether the document holds a value at the path.
func (d *Document) Has(p Path) bool {
	_, found := d.lookup(p)
	return found
}

// offset returns the offset of the value at the path. For a missing value it returns the
// offset of the innermost value around it.
func (d *Document) offset(p Path) int {
	v, _ := d.lookup(p)
	return v.StartOffset
}

func (d *Document) lookup(p Path) (hujson.Value, bool) {
	v := d.root
	for _, s := range p {
		next, found := child(v, s)
		if !found {
			return v, false
		}
		v = next
	}
	return v, v.Value != nil
}

func child(v hujson.Value, s Step) (hujson.Value, bool) {
	switch node := v.Value.(type) {
	case *hujson.Object:
		for _, m := range node.Members {
			if s.isKey && literalString(m.Name) == s.Name {
				return m.Value, true
			}
		}
	case *hujson.Array:
		if !s.isKey && s.Index < len(node.Elements) {
			return node.Elements[s.Index], true
		}
	}
	return v, false
}

// literalString returns the value of a string literal. It decodes only strings with
// escapes, since the others need no decoding.
func literalString(v hujson.Value) string {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	if literal.Kind() == '"' && bytes.IndexByte(literal, '\\') < 0 {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

// LastKey returns the last member name in the path, or "the text" if there is none.
func (p Path) LastKey() string {
	for _, s := range slices.Backward(p) {
		if s.isKey {
			return s.Name
		}
	}
	return "the text"
}

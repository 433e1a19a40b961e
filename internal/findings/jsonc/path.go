package jsonc

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Step is one member name or one index of a path.
type Step struct {
	Name  string
	Index int
	isKey bool
}

// Path leads from the top of a document to one value.
type Path []Step

// Key returns the path to a member of the object at p.
func (p Path) Key(name string) Path {
	return append(slices.Clip(p), Step{Name: name, isKey: true})
}

// Item returns the path to an element of the array at p.
func (p Path) Item(index int) Path {
	return append(slices.Clip(p), Step{Index: index})
}

// String prints the path as in "fleets[0].calls[2].method".
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

// Has tells whether the document holds a value at the path.
func (d *Document) Has(p Path) bool {
	_, found := d.lookup(p)
	return found
}

// offset returns where the value at the path begins; for a missing value, where the
// innermost value around it begins.
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

// literalString returns the value of a string, decoding it only if it has escapes.
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

// LastKey returns the name of the path's last member.
func (p Path) LastKey() string {
	for _, s := range slices.Backward(p) {
		if s.isKey {
			return s.Name
		}
	}
	return "the text"
}

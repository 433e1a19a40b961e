package objecthttp

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type page struct {
	AsOf uint64 `json:"asOf"`
	More bool   `json:"more"`
}

// TestSplitFindsAllElements: of a document that encoding/json accepts, Split returns what it does.
func TestSplitFindsAllElements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		text := rapid.StringMatching(`[\\\\"{}\[\],: a-z\n]{0,12}`)
		element := rapid.OneOf(text.AsAny(), rapid.Int().AsAny(), rapid.MapOf(text, rapid.SliceOf(text)).AsAny())
		want := struct {
			Before any `json:"before"`
			page
			Entries []any `json:"entries"`
			After   any   `json:"after"`
		}{element.Draw(t, "before"), page{rapid.Uint64().Draw(t, "asOf"), rapid.Bool().Draw(t, "more")},
			rapid.SliceOf(element).Draw(t, "entries"), element.Draw(t, "after")}
		document, err := json.Marshal(want)
		is.NoErr(err)
		var got page
		elements, err := Split(document, "entries", &got)
		is.NoErr(err)
		is.Equal(got, want.page)
		is.Equal(len(elements), len(want.Entries))
		for i, e := range elements {
			encoded, err := json.Marshal(want.Entries[i])
			is.NoErr(err)
			is.Equal(string(e), string(encoded))
		}
	})
}

// TestSplitBearsElementsThatAreNoJSON: such an element costs neither the others nor the rest of the document.
func TestSplitBearsElementsThatAreNoJSON(t *testing.T) {
	is := is.New(t)
	for _, odd := range []string{
		strings.Repeat("[", 3_000_000) + strings.Repeat("]", 3_000_000), `{"a":Infinity}`, `{"a":1e}`, "{\"a\":\"\x01\"}",
	} {
		var got page
		elements, err := Split([]byte(`{"entries":["one",`+odd+`,{"two":2}],"asOf":7,"more":true}`), "entries", &got)
		is.NoErr(err)
		is.Equal(got, page{7, true})
		is.Equal(len(elements), 3)
		is.Equal(string(elements[0]), `"one"`)
		is.Equal(string(elements[1]), odd)
		is.Equal(string(elements[2]), `{"two":2}`)
	}
}

// TestSplitRejectsWhatItCannotDelimit: a document whose end is missing, or whose elements have unbalanced brackets.
func TestSplitRejectsWhatItCannotDelimit(t *testing.T) {
	is := is.New(t)
	for _, document := range []string{``, `{"entries":[1,2`, `{"entries":[{"a":[}],"asOf":7}`, `{"entries":[1]],"asOf":7}`, `[]`, `{"entries":[],"asOf":-1}`} {
		var got page
		_, err := Split([]byte(document), "entries", &got)
		is.True(err != nil)
	}
}

package platformhttp

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/objectstore"
)

// TestUnreadableObjectCostsOnlyItself: an object whose value encoding/json does not bear keeps its name, and one without
// a name is left out.
func TestUnreadableObjectCostsOnlyItself(t *testing.T) {
	is := is.New(t)
	malformed := 0
	s := New(Options{OnMalformed: func(objectstore.Kind, []byte, error) { malformed++ }})
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	object := func(name, value string) string {
		return `{"kind":"k","name":` + name + `,"version":3,"value":` + value + `}`
	}
	objects := []string{object(`"a"`, `1`), object(`"b"`, deep), object(deep, `1`), object(`"c"`, `NaN`)}
	var list listResponse
	is.NoErr(list.decode([]byte(`{"version":5,"objects":[` + strings.Join(objects, ",") + `]}`)))
	is.Equal(list.Version, objectstore.Version(5))
	isExpected := func(got []objectstore.Object) {
		is.Helper()
		is.Equal(malformed, 1)
		is.Equal(got, []objectstore.Object{
			{Kind: "k", Name: "a", Version: 3, Value: json.RawMessage(`1`)},
			{Kind: "k", Name: "b", Version: 3, Value: json.RawMessage(deep)},
			{Kind: "k", Name: "c", Version: 3, Value: json.RawMessage(`NaN`)},
		})
	}
	isExpected(s.objects("k", list.Objects))
	var watch watchResponse
	for i := range objects {
		objects[i] = `{"object":` + objects[i] + `,"deleted":true}`
	}
	is.NoErr(watch.decode([]byte(`{"version":5,"events":[` + strings.Join(objects, ",") + `]}`)))
	malformed = 0
	var got []objectstore.Object
	for _, e := range s.events("k", watch.Events) {
		is.True(e.Deleted)
		got = append(got, e.Object)
	}
	isExpected(got)
}

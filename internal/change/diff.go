package change

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"rattanchute/internal/fleet"
)

// Object names one declared object, such as host "h1".
type Object struct {
	// Kind is the key of the configuration that lists the object.
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String prints the object as "kind/name".
func (o Object) String() string {
	return o.Kind + "/" + o.Name
}

// Difference is one field of one object that changed. Values are JSON; an object or a
// field that is absent has the empty value.
type Difference struct {
	Object Object `json:"object"`
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String prints the difference on one line.
func (d Difference) String() string {
	return fmt.Sprintf("%s %s: %s -> %s", d.Object, d.Field, orAbsent(d.Before), orAbsent(d.After))
}

func orAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}

// position is one field of one object.
type position struct {
	object Object
	field  string
}

func comparePositions(a, b position) int {
	return cmp.Or(
		cmp.Compare(a.object.Kind, b.object.Kind),
		cmp.Compare(a.object.Name, b.object.Name),
		cmp.Compare(a.field, b.field),
	)
}

// fieldValues maps each field of each object to its JSON.
type fieldValues map[position]string

// Diff compares two configurations by object and field; the order of objects and
// fields in the texts does not count. Differences come ordered by object and field.
func Diff(before, after *fleet.Configuration) []Difference {
	from := valuesOf(before)
	to := valuesOf(after)
	var differences []Difference
	for _, p := range positions(from, to) {
		if from[p] != to[p] {
			differences = append(differences, Difference{Object: p.object, Field: p.field, Before: from[p], After: to[p]})
		}
	}
	return differences
}

// positions returns all positions of several configurations in order.
func positions(all ...fieldValues) []position {
	set := map[position]bool{}
	for _, values := range all {
		for p := range values {
			set[p] = true
		}
	}
	return slices.SortedFunc(maps.Keys(set), comparePositions)
}

func valuesOf(c *fleet.Configuration) fieldValues {
	values := fieldValues{}
	addObjects(values, "data_centres", c.DataCentres, func(d fleet.DataCentre) string { return d.Name })
	addObjects(values, "hosts", c.Hosts, func(h fleet.Host) string { return h.Name })
	addObjects(values, "organisations", c.Organisations, func(o fleet.Organisation) string { return o.Name })
	addObjects(values, "fleets", c.Fleets, func(f fleet.Fleet) string { return f.Name })
	addObjects(values, "endpoints", c.Endpoints, func(e fleet.Endpoint) string { return e.Name })
	addObjects(values, "selectors", c.Selectors, func(s fleet.Selector) string { return s.Name })
	return values
}

func addObjects[T any](values fieldValues, kind string, objects []T, name func(T) string) {
	for _, o := range objects {
		addFields(values, Object{Kind: kind, Name: name(o)}, o)
	}
}

// addFields adds the fields of an object that are not empty. All these types can be
// encoded, so that an error is a fault of the program.
func addFields(values fieldValues, object Object, declared any) {
	raw, err := json.Marshal(declared)
	if err != nil {
		panic(fmt.Sprintf("change: encode %s: %v", object, err))
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &fields); err != nil {
		panic(fmt.Sprintf("change: decode %s: %v", object, err))
	}
	for field, value := range fields {
		if !isEmpty(value) {
			values[position{object, field}] = string(value)
		}
	}
}

// isEmpty tells whether a field is as if it were not declared.
func isEmpty(value json.RawMessage) bool {
	return slices.Contains([]string{"null", "[]", "{}", `""`, "0", "false"}, string(value))
}

// The bounds of what an audit entry says about its change.
const (
	maxEntryDifferences = 16
	maxEntryValueBytes  = 80
)

// bounded shortens differences for an audit entry and counts those left out.
func bounded(differences []Difference) ([]Difference, int) {
	keep := min(len(differences), maxEntryDifferences)
	short := slices.Clone(differences[:keep])
	for i := range short {
		short[i].Before = shorten(short[i].Before)
		short[i].After = shorten(short[i].After)
	}
	return short, len(differences) - keep
}

func shorten(value string) string {
	if len(value) <= maxEntryValueBytes {
		return value
	}
	end := maxEntryValueBytes
	for !utf8.RuneStart(value[end]) {
		end--
	}
	return strings.TrimSpace(value[:end]) + "..."
}

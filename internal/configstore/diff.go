package configstore

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

// Object identifies a declared object, such as host "h1".
type Object struct {
	// Kind is the key under which the configuration lists the object.
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// String formats the object as "kind/name".
func (o Object) String() string {
	return o.Kind + "/" + o.Name
}

// Difference is a field that changed, or an object that was added or removed. Values are JSON;
// the value of an absent object or field is empty.
type Difference struct {
	Object Object `json:"object"`
	// Field is empty when the whole object was added or removed.
	Field  string `json:"field,omitempty"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats the difference on one line.
func (d Difference) String() string {
	if d.Field == "" {
		return fmt.Sprintf("%s: %s -> %s", d.Object, orAbsent(d.Before), orAbsent(d.After))
	}
	return fmt.Sprintf("%s %s: %s -> %s", d.Object, d.Field, orAbsent(d.Before), orAbsent(d.After))
}

func orAbsent(value string) string {
	if value == "" {
		return "absent"
	}
	return value
}

// fields maps the names of an object's non-empty fields to their JSON.
type fields map[string]json.RawMessage

// objects maps each declared object to its fields.
type objects map[Object]fields

// Diff compares the objects that the texts of two configurations declare, field by field; the order
// of objects and fields in the texts is irrelevant. The result is ordered by object and field.
func Diff(before, after *fleet.Configuration) []Difference {
	from := objectsOf(before)
	to := objectsOf(after)
	var differences []Difference
	for _, object := range sortedObjects(from, to) {
		differences = append(differences, diffObject(object, from[object], to[object])...)
	}
	return differences
}

func diffObject(object Object, from, to fields) []Difference {
	if from == nil || to == nil {
		return []Difference{{Object: object, Before: from.json(), After: to.json()}}
	}
	var differences []Difference
	for _, field := range sortedFields(from, to) {
		before, after := string(from[field]), string(to[field])
		if before != after {
			differences = append(differences, Difference{Object: object, Field: field, Before: before, After: after})
		}
	}
	return differences
}

// json returns the object as JSON, or an empty string if it is absent.
func (f fields) json() string {
	if f == nil {
		return ""
	}
	raw, err := json.Marshal(f)
	if err != nil {
		panic(fmt.Sprintf("change: encode an object: %v", err))
	}
	return string(raw)
}

// sortedObjects returns the objects of several configurations, sorted and without duplicates.
func sortedObjects(all ...objects) []Object {
	set := map[Object]bool{}
	for _, declared := range all {
		for object := range declared {
			set[object] = true
		}
	}
	return slices.SortedFunc(maps.Keys(set), func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

// sortedFields returns the fields of several versions of an object, sorted and without
// duplicates.
func sortedFields(all ...fields) []string {
	set := map[string]bool{}
	for _, f := range all {
		for field := range f {
			set[field] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

func objectsOf(c *fleet.Configuration) objects {
	all := objects{}
	addObjects(all, "data_centres", c.DataCentres, func(d fleet.DataCentre) string { return d.Name })
	addObjects(all, "hosts", c.Hosts, func(h fleet.Host) string { return h.Name })
	addObjects(all, "organisations", c.Organisations, func(o fleet.Organisation) string { return o.Name })
	addObjects(all, "fleets", c.Fleets, func(f fleet.Fleet) string { return f.Name })
	addObjects(all, "endpoints", c.Endpoints, func(e fleet.Endpoint) string { return e.Name })
	addObjects(all, "selectors", c.Selectors, func(s fleet.Selector) string { return s.Name })
	return all
}

func addObjects[T any](all objects, kind string, declared []T, name func(T) string) {
	for _, d := range declared {
		object := Object{Kind: kind, Name: name(d)}
		all[object] = fieldsOf(object, d)
	}
}

// fieldsOf returns the non-empty fields of an object. All declared types can be encoded, so an
// error is a programming error, and fieldsOf panics.
func fieldsOf(object Object, declared any) fields {
	raw, err := json.Marshal(declared)
	if err != nil {
		panic(fmt.Sprintf("change: encode %s: %v", object, err))
	}
	f := fields{}
	if err := json.Unmarshal(raw, &f); err != nil {
		panic(fmt.Sprintf("change: decode %s: %v", object, err))
	}
	maps.DeleteFunc(f, func(_ string, value json.RawMessage) bool { return isEmpty(value) })
	return f
}

// isEmpty reports whether a field has a zero or empty value, which means the same as not declaring
// it.
func isEmpty(value json.RawMessage) bool {
	return slices.Contains([]string{"null", "[]", "{}", `""`, "0", "false"}, string(value))
}

// Limits on the number of differences in an audit entry and on the length of each value, without
// the dots that mark a value as cut off.
const (
	maxEntryDifferences = 16
	maxEntryValueBytes  = 80
)

// truncateDifferences returns the first maxEntryDifferences differences, with long values cut off,
// and the number of those omitted.
func truncateDifferences(differences []Difference) ([]Difference, int) {
	keep := min(len(differences), maxEntryDifferences)
	short := slices.Clone(differences[:keep])
	for i := range short {
		short[i].Before = truncateValue(short[i].Before)
		short[i].After = truncateValue(short[i].After)
	}
	return short, len(differences) - keep
}

func truncateValue(value string) string {
	if len(value) <= maxEntryValueBytes {
		return value
	}
	end := maxEntryValueBytes
	for !utf8.RuneStart(value[end]) {
		end--
	}
	return strings.TrimSpace(value[:end]) + "..."
}

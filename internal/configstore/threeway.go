package configstore

import (
	"fmt"

	"rattanchute/internal/fleet"
)

// ThreeWayDifference is a field of an object that at least one of two changes with the same
// base modified. Values are JSON; the value of an absent object or field is empty.
type ThreeWayDifference struct {
	Object Object `json:"object"`
	Field  string `json:"field"`
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
	// Conflict is true if both sides changed the field, to different values.
	Conflict bool `json:"clash"`
}

// String formats the difference on one line.
func (t ThreeWayDifference) String() string {
	mark := ""
	if t.Conflict {
		mark = " (both changed)"
	}
	return fmt.Sprintf("%s %s: base %s, theirs %s, yours %s%s",
		t.Object, t.Field, orAbsent(t.Base), orAbsent(t.Theirs), orAbsent(t.Yours), mark)
}

// DiffThreeWay compares two configurations with their common base. It returns each field that
// either side changed, also of added and removed objects, ordered by object and field.
func DiffThreeWay(base, theirs, yours *fleet.Configuration) []ThreeWayDifference {
	b := objectsOf(base)
	t := objectsOf(theirs)
	y := objectsOf(yours)
	var differences []ThreeWayDifference
	for _, object := range sortedObjects(b, t, y) {
		for _, field := range sortedFields(b[object], t[object], y[object]) {
			d := ThreeWayDifference{
				Object: object,
				Field:  field,
				Base:   string(b[object][field]),
				Theirs: string(t[object][field]),
				Yours:  string(y[object][field]),
			}
			if d.Base == d.Theirs && d.Base == d.Yours {
				continue
			}
			d.Conflict = d.Base != d.Theirs && d.Base != d.Yours && d.Theirs != d.Yours
			differences = append(differences, d)
		}
	}
	return differences
}

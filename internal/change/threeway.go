package change

import (
	"fmt"

	"rattanchute/internal/fleet"
)

// ThreeWay is one field of one object that two changes of the same base made different.
// Values are JSON; an absent object or field has the empty value.
type ThreeWay struct {
	Object Object `json:"object"`
	Field  string `json:"field"`
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Yours  string `json:"yours"`
	// Clash is true when both sides changed the field, to different values.
	Clash bool `json:"clash"`
}

// String prints the difference on one line.
func (t ThreeWay) String() string {
	mark := ""
	if t.Clash {
		mark = " (both changed)"
	}
	return fmt.Sprintf("%s %s: base %s, theirs %s, yours %s%s",
		t.Object, t.Field, orAbsent(t.Base), orAbsent(t.Theirs), orAbsent(t.Yours), mark)
}

// DiffThreeWay compares two configurations with the one that both came from. It
// returns each field that either side changed, ordered by object and field.
func DiffThreeWay(base, theirs, yours *fleet.Configuration) []ThreeWay {
	b := valuesOf(base)
	t := valuesOf(theirs)
	y := valuesOf(yours)
	var differences []ThreeWay
	for _, p := range positions(b, t, y) {
		if b[p] == t[p] && b[p] == y[p] {
			continue
		}
		differences = append(differences, ThreeWay{
			Object: p.object,
			Field:  p.field,
			Base:   b[p],
			Theirs: t[p],
			Yours:  y[p],
			Clash:  b[p] != t[p] && b[p] != y[p] && t[p] != y[p],
		})
	}
	return differences
}

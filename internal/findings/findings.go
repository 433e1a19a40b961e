// Package findings collects everything that is wrong with a text and reports it
// together, each entry with its place and with what would be accepted instead.
package findings

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a text.
type Finding struct {
	File string `json:"file"`
	// Line and Column count from one; Column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Accepted says what is accepted in this place.
	Accepted string `json:"accepted"`
}

// String prints the finding as "file:line:column: what is wrong; what is accepted".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", f.File, f.Line, f.Column, f.Message, f.Accepted)
}

// List is all findings of a text. It is an error only when it is not empty; see Err.
type List []Finding

// Error prints one finding on each line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort orders the findings by their place in the text.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// Package findings holds the results of validating a text. A validator reports all errors
// of the text together, each with its position and with what would be accepted instead.
package findings

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one validation error.
type Finding struct {
	File string `json:"file"`
	// Line and Column start at one. Column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Accepted says what would be accepted at this position.
	Accepted string `json:"accepted"`
}

// String returns the finding as "file:line:column: message; accepted".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", f.File, f.Line, f.Column, f.Message, f.Accepted)
}

// List holds all findings of a text. Use Err to get an error that is nil for an empty list.
type List []Finding

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sort sorts the findings by their position in the text.
func (l List) Sort() {
	slices.SortStableFunc(l, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

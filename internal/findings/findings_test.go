package findings_test

import (
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/findings"
)

func TestListPrintsEachFindingWithItsPosition(t *testing.T) {
	is := is.New(t)
	list := findings.List{
		{File: "a.jsonc", Line: 3, Column: 2, Message: "wrong", Accepted: "accepted is right"},
		{File: "a.jsonc", Line: 1, Column: 9, Message: "bad", Accepted: "accepted is good"},
	}
	list.Sort()
	is.Equal(list.Error(), "a.jsonc:1:9: bad; accepted is good\na.jsonc:3:2: wrong; accepted is right")
	is.Equal(findings.List{}.Err(), nil)
	is.True(list.Err() != nil)
}

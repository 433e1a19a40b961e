package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestInsertSectionReplacesInPlace(t *testing.T) {
	is := is.New(t)
	page := ""
	for _, name := range []string{"one", "two", "one"} {
		var err error
		page, err = insertSection(page, section{name: name, output: []byte("figures of " + name)})
		is.NoErr(err)
	}
	is.Equal(strings.Count(page, "figures of one"), 1)
	is.Equal(strings.Count(page, "figures of two"), 1)
	is.True(strings.Index(page, "figures of one") < strings.Index(page, "figures of two"))
	is.True(strings.HasPrefix(page, pageHeader))
	_, err := insertSection(endMarker("one")+beginMarker("one"), section{name: "one"})
	is.True(err != nil)
}

package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestSectionsAreReplacedInPlace(t *testing.T) {
	is := is.New(t)
	page := ""
	for _, name := range []string{"one", "two", "one"} {
		var err error
		page, err = place(page, section{name: name, output: []byte("figures of " + name)})
		is.NoErr(err)
	}
	is.Equal(strings.Count(page, "figures of one"), 1)
	is.Equal(strings.Count(page, "figures of two"), 1)
	is.True(strings.Index(page, "figures of one") < strings.Index(page, "figures of two"))
	is.True(strings.HasPrefix(page, pageHead))
	_, err := place(endMark("one")+beginMark("one"), section{name: "one"})
	is.True(err != nil)
}

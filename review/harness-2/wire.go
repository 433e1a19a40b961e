package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire/names.json
var namesText []byte

// names are the platform's names of headers, paths and fields.
var names = func() map[string]string {
	var n map[string]string
	check(json.Unmarshal(namesText, &n))
	return n
}()

// wire returns the platform's name of something.
func wire(what string) string {
	name, ok := names[what]
	if !ok {
		panic("no name of " + what)
	}
	return name
}

// stampHeader is the header with a runner's signature.
var stampHeader = wire("stamp")

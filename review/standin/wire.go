package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// wire holds what the platform's pages name: headers, paths, and the forms of settings, configurations and entries.
//
//go:embed wire
var wire embed.FS

// names are the platform's names of headers, of the store's path and of the variable with the settings file.
var names = readNames()

func readNames() map[string]string {
	text, err := wire.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	m := map[string]string{}
	if err := json.Unmarshal(text, &m); err != nil {
		panic(err)
	}
	return m
}

var templates = template.Must(template.New("").Funcs(template.FuncMap{"json": toJSON}).ParseFS(wire, "wire/*.json"))

func toJSON(v any) (string, error) {
	text, err := json.Marshal(v)
	return string(text), err
}

// render fills in a form and returns its JSON.
func render(form string, data any) json.RawMessage {
	var text bytes.Buffer
	must(templates.ExecuteTemplate(&text, form, data))
	var compact bytes.Buffer
	must(json.Compact(&compact, text.Bytes()))
	return compact.Bytes()
}

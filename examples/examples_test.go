// Package examples_test checks that the example configurations and settings are accepted.
package examples_test

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/fleet"
	"rattanchute/internal/settings"
)

func TestConfigurationsAreAccepted(t *testing.T) {
	for _, c := range []struct {
		site            string
		runners, others int
	}{
		{"agroprecios", 12, 4},
		{"vazduh", 18, 4},
	} {
		is := is.New(t)
		file := filepath.Join(c.site, "configuration.jsonc")
		text, err := os.ReadFile(file)
		is.NoErr(err)
		configuration, list := fleet.ParseConfiguration(file, text)
		is.NoErr(list.Err())
		is.Equal(len(configuration.Endpoints), c.runners+c.others)
		is.Equal(len(configuration.Organisations), 5)
		is.Equal(len(configuration.DataCentres), 4)
	}
}

func TestSettingsAreAccepted(t *testing.T) {
	env := settings.ProcessEnvironment()
	env.LookupEnv = func(string) (string, bool) { return strings.Repeat("k", 32), true }
	files, err := filepath.Glob("*/node-*.jsonc")
	if err != nil || len(files) != 6 {
		t.Fatalf("found %v, %v", files, err)
	}
	for _, file := range files {
		is := is.New(t)
		s, list := settings.Load(file, env)
		is.NoErr(list.Err())
		is.Equal(len(s.Peers.Seeds), 3)
	}
}

func TestEveryKeyIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	words := strings.FieldsFunc(string(page), func(r rune) bool { return strings.ContainsRune("`.[]{}:\", \n|", r) })
	for _, top := range []reflect.Type{reflect.TypeFor[fleet.Configuration](), reflect.TypeFor[settings.Settings]()} {
		for _, key := range keysOf(top) {
			if !slices.Contains(words, key) {
				t.Errorf("key %q of %s is not documented", key, top)
			}
		}
	}
}

// keysOf returns the JSON keys of a struct type and of the types nested in it.
func keysOf(t reflect.Type) []string {
	if t.Kind() == reflect.Slice {
		return keysOf(t.Elem())
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("json"); key != "" && key != "-" {
			keys = append(append(keys, key), keysOf(t.Field(i).Type)...)
		}
	}
	return keys
}

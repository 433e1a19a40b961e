package examples_test

import (
	"os"
	"path/filepath"
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
	env := settings.OS()
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

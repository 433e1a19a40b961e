package fleet

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validText declares at least one object of each kind; tests make it invalid by replacing parts.
const validText = `{
  // two places
  "data_centres": [{"name": "north", "region": "r1"}, {"name": "south", "region": "r1"}],
  "hosts": [
    {"name": "h1", "data_centre": "north", "class": "large", "kind": "reclaimable",
     "price_per_hour_milli": 900, "labels": {"rack": "a"}},
  ],
  "organisations": [
    {"name": "acme", "key_sha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"],
     "labels": {"tier": "gold"}, "requests_per_second": 10, "burst": 5, "weight": 1},
  ],
  "fleets": [
    {"name": "llm", "kind": "model", "models": ["m-1"], "slots_per_endpoint": 8},
    {"name": "app", "kind": "service", "path_prefix": "/app/", "slots_per_endpoint": 4,
     "calls": [{"method": "GET", "path": "/app/*", "repeatable": true}]},
  ],
  "endpoints": [
    {"name": "e1", "host": "h1", "fleet": "llm", "address": "127.0.0.1:21001", "labels": {"use": "draft"}},
    {"name": "e2", "host": "h1", "fleet": "app", "address": "127.0.0.1:21002"},
  ],
  "selectors": [
    {"name": "gold", "organisations": [{"label": "tier", "op": "in", "values": ["gold"]}],
     "endpoints": [{"label": "rack", "op": "exists"}], "data_centres": ["north"], "priority": 5},
  ],
}`

func TestParseConfigurationAcceptsAValidText(t *testing.T) {
	is := is.New(t)
	c, list := ParseConfiguration("c.jsonc", []byte(validText))
	is.NoErr(list.Err())
	is.Equal(len(c.Endpoints), 2)
	is.Equal(c.Fleets[1].Calls[0], Call{Method: "GET", Path: "/app/*", Idempotent: true})
}

func TestParseConfigurationFindsEachError(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"south"`, `"north"`, `data centre "north" is declared twice`},
		{`"data_centre": "north"`, `"data_centre": "east"`, `data centre "east" is not declared`},
		{`"reclaimable"`, `"spot"`, `host kind is "spot"`},
		{`900`, `-1`, `price_per_hour_milli is -1`},
		{`"rack": "a"`, `"ra ck": "a"`, `label is "ra ck"`},
		{`"rack": "a"`, `"rack": " a"`, `label value is " a"`},
		{`9f86`, `9F86`, `not a key digest`},
		{`"requests_per_second": 10`, `"requests_per_second": -1`, `requests_per_second is -1`},
		{`"burst": 5`, `"burst": 0`, `burst is 0; accepted is 1 to`},
		{`"weight": 1`, `"weight": 1001`, `weight is 1001`},
		{`"models": ["m-1"]`, `"models": ["m-1", "m-1"]`, `model "m-1" is declared twice`},
		{`"kind": "model"`, `"kind": "modle"`, `fleet kind is "modle"`},
		{`"/app/",`, `"/v1/app/",`, `overlaps the models' paths`},
		{`"/app/",`, `"app",`, `path prefix is "app"`},
		{`"GET"`, `"get"`, `method is "get"`},
		{`"/app/*"`, `"/other/*"`, `outside the fleet's prefix`},
		{`"host": "h1", "fleet": "llm"`, `"host": "h9", "fleet": "llm"`, `host "h9" is not declared`},
		{`"fleet": "llm"`, `"fleet": "lmm"`, `fleet "lmm" is not declared`},
		{`127.0.0.1:21001`, `localhost:21001`, `address is "localhost:21001"`},
		{`127.0.0.1:21001`, `127.0.0.1:21002`, `address "127.0.0.1:21002" is declared twice`},
		{`"values": ["gold"]`, `"values": ["silver"]`, `selector "gold" matches no organisation`},
		{`"data_centres": ["north"]`, `"data_centres": ["south"]`, `selector "gold" matches no endpoint`},
		// An emptied list must not allow everything.
		{`[{"label": "tier", "op": "in", "values": ["gold"]}]`, `[]`, `organisations is an empty list`},
		{`[{"label": "rack", "op": "exists"}]`, `[]`, `endpoints is an empty list`},
		{`"priority": 5`, `"priority": 5, "hosts": []`, `hosts is an empty list`},
		{`"data_centres": ["north"]`, `"data_centres": []`, `data_centres is an empty list`},
		{`"op": "exists"`, `"op": "exist"`, `operator is "exist"`},
		{`"priority": 5`, `"priority": 10`, `priority is 10`},
		{`"priority": 5`, `"priority": 5, "weight": 1`, `unknown key "weight"`},
		{`"priority": 5`, `"priority": "5"`, `priority is a string`},
		{`{"name": "app", "kind"`, `{"name": "a2", "kind": "service", "path_prefix": "/", "slots_per_endpoint": 1}, {"name": "app", "kind"`, `path prefix "/app/" overlaps "/" of fleet "a2"`},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validText, c.old, c.new, 1)
			is.True(text != validText)
			configuration, list := ParseConfiguration("c.jsonc", []byte(text))
			is.Equal(configuration, nil)
			is.True(strings.Contains(list.Error(), c.want)) // the finding describes the error
			is.True(strings.HasPrefix(list.Error(), "c.jsonc:"))
		})
	}
}

func TestParseConfigurationReportsAllFindingsTogether(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validText, "900", `"900"`, 1)
	text = strings.Replace(text, `"priority": 5`, `"priority": 10`, 1)
	_, list := ParseConfiguration("c.jsonc", []byte(text))
	is.Equal(len(list), 2)
	is.Equal(list[0].Line, 6)
	is.Equal(list[1].Line, 23)
}

func TestParseConfigurationLimitsTextSize(t *testing.T) {
	is := is.New(t)
	_, list := ParseConfiguration("c.jsonc", make([]byte, MaxTextBytes+1))
	is.Equal(len(list), 1)
}

func TestMatches(t *testing.T) {
	labels := Labels{"tier": "gold"}
	cases := []struct {
		r    Requirement
		want bool
	}{
		{Requirement{"tier", OpIn, []string{"silver", "gold"}}, true},
		{Requirement{"zone", OpIn, []string{"gold"}}, false},
		{Requirement{"tier", OpNotIn, []string{"gold"}}, false},
		{Requirement{"zone", OpNotIn, []string{"gold"}}, true},
		{Requirement{"tier", OpExists, nil}, true},
		{Requirement{"tier", OpAbsent, nil}, false},
		{Requirement{"zone", OpAbsent, nil}, true},
		{Requirement{"tier", "other", nil}, false},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(Matches([]Requirement{c.r}, labels), c.want)
	}
	is := is.New(t)
	is.True(Matches(nil, nil))
	is.True(MatchesWithFallback([]Requirement{{"rack", OpIn, []string{"a"}}}, labels, Labels{"rack": "a"}))
}

func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"selectors":[{"name":"a"}],"hosts":null,"x":[[{}]]}`))
	f.Add([]byte(`[{"name": 1e999}] // tail`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, list := ParseConfiguration("f", text)
		if (c == nil) == (len(list) == 0) {
			t.Fatalf("a configuration and findings exclude each other: %v", list)
		}
		if c == nil {
			return
		}
		first, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		again, list := ParseConfiguration("f", first)
		if again == nil {
			t.Fatalf("accepted text does not parse again: %v", list)
		}
		second, err := json.Marshal(again)
		if err != nil || string(first) != string(second) {
			t.Fatalf("%s\nparsed again is\n%s", first, second)
		}
	})
}

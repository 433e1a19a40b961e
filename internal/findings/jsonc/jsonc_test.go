package jsonc

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type inner struct {
	Count int     `json:"count"`
	Share float64 `json:"share"`
}

type outer struct {
	Name   string            `json:"name"`
	On     bool              `json:"on"`
	Inner  []inner           `json:"inner"`
	Labels map[string]string `json:"labels"`
	Hidden string            `json:"-"`
}

func decode(text string) (outer, string) {
	var o outer
	d := Parse("f", []byte(text))
	d.Decode(&o)
	return o, d.Findings().Error()
}

func TestDecodeFillsTheStruct(t *testing.T) {
	is := is.New(t)
	o, found := decode(`{ // a comment
		"name": "x", "on": true, "inner": [{"count": 3, "share": 0.5,},],
		"labels": {"a": "b"}}`)
	is.Equal(found, "")
	is.Equal(o, outer{Name: "x", On: true, Inner: []inner{{3, 0.5}}, Labels: map[string]string{"a": "b"}})
}

func TestDecodeReportsAllErrors(t *testing.T) {
	is := is.New(t)
	_, found := decode("{\"nam\": 1,\n\"on\": 1,\n\"on\": true,\n\"inner\": [{\"count\": 1.5}, null],\n\"labels\": {\"a\": 1}}")
	is.Equal(found, strings.Join([]string{
		`f:1:2: unknown key "nam"; accepted are name, on, inner, labels`,
		`f:2:7: on is a number; accepted is true or false`,
		`f:3:1: key "on" stands twice; accepted is each key once`,
		`f:4:21: inner[0].count is a number; accepted is a whole number`,
		`f:4:27: inner[1] is null; accepted is an object`,
		`f:5:17: labels.a is a number; accepted is a string`,
	}, "\n"))
}

func TestParseRejectsInvalidText(t *testing.T) {
	cases := []struct{ text, want string }{
		{strings.Repeat("[", 1_000_000), "nested too deeply"},
		{"{\"name\": \"\xff\"}", "f:1:11: not valid UTF-8"},
		{"{\"name\" 3}", "f:1:9: "},
		{"", "f:1:1: "},
		{`{"name": "[[` + strings.Repeat("[", 100) + `"}`, ""},
		{`{/*` + strings.Repeat("[", 100) + "*/ //" + strings.Repeat("{", 100) + "\n}", ""},
	}
	for _, c := range cases {
		is := is.New(t)
		_, found := decode(c.text)
		is.True(strings.Contains(found, c.want))
		is.Equal(found == "", c.want == "")
	}
}

func TestAddSkipsValuesThatFailedToDecode(t *testing.T) {
	is := is.New(t)
	d := Parse("f", []byte(`{"name": 1}`))
	var o outer
	d.Decode(&o)
	d.Add(Path{}.Key("name"), "empty", "accepted is more")
	d.Add(Path{}.Key("inner").Item(2), "absent", "accepted is more")
	is.Equal(len(d.Findings()), 2)
	is.True(d.Has(Path{}.Key("name")))
	is.True(!d.Has(Path{}.Key("on")))
	is.Equal(Path{}.Key("a").Item(1).Key("b").String(), "a[1].b")
}

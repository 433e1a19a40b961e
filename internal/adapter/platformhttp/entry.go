package platformhttp

import (
	"encoding/json"
	"errors"
	"fmt"

	"rattanchute/internal/adapter/objecthttp"
	"rattanchute/internal/objectstore"
)

// object is an object as the service sends it.
type object struct{ objectstore.Object }

// errNoName means that an entry has no name.
var errNoName = errors.New("no name")

// decode decodes an object. If encoding/json does not accept it as a whole, the value is taken as it stands in the text:
// who decodes it finds what is wrong with it. It returns an error if the object cannot be identified.
func (o *object) decode(text []byte) error {
	if json.Unmarshal(text, &o.Object) == nil && o.Name != "" {
		return nil
	}
	o.Object = objectstore.Object{Value: objecthttp.Field(text, "value"), Status: objecthttp.Field(text, "status")}
	identity := []struct {
		field string
		to    any
	}{{"kind", &o.Kind}, {"name", &o.Name}, {"version", &o.Version}}
	for _, i := range identity {
		if err := json.Unmarshal(objecthttp.Field(text, i.field), i.to); err != nil {
			return fmt.Errorf("%s: %w", i.field, err)
		}
	}
	if o.Name == "" {
		return errNoName
	}
	return nil
}

// listResponse is the response body of List.
type listResponse struct {
	Version objectstore.Version `json:"version"`
	Objects []json.RawMessage   `json:"-"`
}

func (r *listResponse) decode(body []byte) (err error) {
	r.Objects, err = objecthttp.Split(body, "objects", r)
	return err
}

// watchResponse is the response body of Watch.
type watchResponse struct {
	Version objectstore.Version `json:"version"`
	Events  []json.RawMessage   `json:"-"`
}

func (r *watchResponse) decode(body []byte) (err error) {
	r.Events, err = objecthttp.Split(body, "events", r)
	return err
}

// objects returns the objects that can be identified.
func (s *Store) objects(kind objectstore.Kind, texts []json.RawMessage) []objectstore.Object {
	var all []objectstore.Object
	for _, text := range texts {
		var o object
		if err := o.decode(text); err != nil {
			s.options.OnMalformed(kind, text, err)
			continue
		}
		all = append(all, o.Object)
	}
	return all
}

// events returns the events whose objects can be identified.
func (s *Store) events(kind objectstore.Kind, texts []json.RawMessage) []objectstore.Event {
	var all []objectstore.Event
	for _, text := range texts {
		var o object
		deleted := false
		err := json.Unmarshal(objecthttp.Field(text, "deleted"), &deleted)
		if err == nil {
			err = o.decode(objecthttp.Field(text, "object"))
		}
		if err != nil {
			s.options.OnMalformed(kind, text, err)
			continue
		}
		all = append(all, objectstore.Event{Object: o.Object, Deleted: deleted})
	}
	return all
}

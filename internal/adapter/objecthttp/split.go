package objecthttp

import (
	"encoding/json"
	"fmt"

	"github.com/tidwall/gjson"
)

// Split decodes a JSON document into rest, except for the elements of the array at a key of it, which it returns as
// they stand in the text. Any writer may have contributed an element: one that encoding/json does not accept, because
// it is nested too deeply or has a token that is no JSON, costs neither the others nor the document.
func Split(document []byte, key string, rest any) ([]json.RawMessage, error) {
	text := string(document)
	array := gjson.Get(text, key)
	if !array.IsArray() {
		return nil, json.Unmarshal(document, rest)
	}
	without := text[:array.Index] + "[]" + text[array.Index+len(array.Raw):]
	if err := json.Unmarshal([]byte(without), rest); err != nil {
		return nil, fmt.Errorf("around %s: %w", key, err)
	}
	var elements []json.RawMessage
	array.ForEach(func(_, element gjson.Result) bool {
		elements = append(elements, json.RawMessage(element.Raw))
		return true
	})
	return elements, nil
}

// Field returns the value of a field of a JSON object as it stands in the text; nil if there is none. The other fields
// need not be well-formed.
func Field(object []byte, name string) json.RawMessage {
	value := gjson.GetBytes(object, name)
	if !value.Exists() {
		return nil
	}
	return json.RawMessage(value.Raw)
}

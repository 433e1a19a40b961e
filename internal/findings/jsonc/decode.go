package jsonc

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode stores the document in target, a pointer to a struct with json tags. It adds a
// finding for each unknown or repeated key and each value of the wrong type. It decodes
// the remaining values nonetheless, so that later checks can report their errors too. Of a
// repeated key, the first value is used. If the text could not be parsed, Decode does nothing. It
// panics at a value whose Go type it does not support.
func (d *Document) Decode(target any) {
	if d.root.Value == nil {
		return
	}
	d.decode(d.root, nil, reflect.ValueOf(target).Elem())
}

func (d *Document) decode(v hujson.Value, p Path, to reflect.Value) {
	if decoder, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(v, p, decoder)
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, p, to)
	case reflect.Slice:
		d.decodeSlice(v, p, to)
	case reflect.Map:
		d.decodeMap(v, p, to)
	case reflect.String:
		d.decodeString(v, p, to)
	case reflect.Bool:
		d.decodeBool(v, p, to)
	case reflect.Int, reflect.Int64:
		d.decodeInt(v, p, to)
	case reflect.Float64:
		d.decodeFloat(v, p, to)
	default:
		panic(fmt.Sprintf("jsonc: type %s is not supported", to.Type()))
	}
}

func (d *Document) addWrongType(v hujson.Value, p Path, accepted string) {
	message := fmt.Sprintf("%s is %s", pathName(p), kindName(v.Value.Kind()))
	d.addAtOffset(v.StartOffset, message, "accepted is "+accepted)
	d.undecodable[v.StartOffset] = true
}

func (d *Document) decodeStruct(v hujson.Value, p Path, to reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addWrongType(v, p, "an object")
		return
	}
	fields := d.fieldsOf(to.Type())
	seen := map[string]bool{}
	for _, m := range object.Members {
		key := literalString(m.Name)
		index, known := fields.index[key]
		switch {
		case !known:
			d.addAtOffset(m.Name.StartOffset, fmt.Sprintf("unknown key %q", key), "accepted are "+fields.names)
		case seen[key]:
			d.addRepeatedKey(m.Name, key)
		default:
			d.decode(m.Value, p.Key(key), to.Field(index))
		}
		seen[key] = true
	}
}

func (d *Document) addRepeatedKey(v hujson.Value, key string) {
	d.addAtOffset(v.StartOffset, fmt.Sprintf("key %q stands twice", key), "accepted is each key once")
}

// decodeSlice treats null as an absent array, because encoding/json encodes a nil slice as
// null.
func (d *Document) decodeSlice(v hujson.Value, p Path, to reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addWrongType(v, p, "an array")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(element, p.Item(i), to.Index(i))
	}
}

// decodeMap treats null as an absent object, because encoding/json encodes a nil map as
// null.
func (d *Document) decodeMap(v hujson.Value, p Path, to reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addWrongType(v, p, "an object of strings")
		return
	}
	to.Set(reflect.MakeMap(to.Type()))
	seen := map[string]bool{}
	for _, m := range object.Members {
		key := literalString(m.Name)
		if seen[key] {
			d.addRepeatedKey(m.Name, key)
			continue
		}
		seen[key] = true
		element := reflect.New(to.Type().Elem()).Elem()
		d.decode(m.Value, p.Key(key), element)
		to.SetMapIndex(reflect.ValueOf(key), element)
	}
}

func (d *Document) decodeText(v hujson.Value, p Path, to encoding.TextUnmarshaler) {
	if v.Value.Kind() != '"' {
		d.addWrongType(v, p, "a string")
		return
	}
	if err := to.UnmarshalText([]byte(literalString(v))); err != nil {
		message := fmt.Sprintf("%s is %q", pathName(p), literalString(v))
		d.addAtOffset(v.StartOffset, message, "accepted is "+err.Error())
		d.undecodable[v.StartOffset] = true
	}
}

func (d *Document) decodeString(v hujson.Value, p Path, to reflect.Value) {
	if v.Value.Kind() != '"' {
		d.addWrongType(v, p, "a string")
		return
	}
	to.SetString(literalString(v))
}

func (d *Document) decodeBool(v hujson.Value, p Path, to reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	if k := v.Value.Kind(); k != 't' && k != 'f' {
		d.addWrongType(v, p, "true or false")
		return
	}
	to.SetBool(literal.Bool())
}

func (d *Document) decodeInt(v hujson.Value, p Path, to reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if v.Value.Kind() != '0' || err != nil {
		d.addWrongType(v, p, "a whole number")
		return
	}
	to.SetInt(n)
}

func (d *Document) decodeFloat(v hujson.Value, p Path, to reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	f, err := strconv.ParseFloat(string(literal), 64)
	if v.Value.Kind() != '0' || err != nil {
		d.addWrongType(v, p, "a number")
		return
	}
	to.SetFloat(f)
}

// fields holds the keys that a struct type accepts.
type fields struct {
	index map[string]int
	names string
}

func (d *Document) fieldsOf(t reflect.Type) fields {
	if f, known := d.fields[t]; known {
		return f
	}
	f := fields{index: map[string]int{}}
	var names []string
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if key == "" || key == "-" {
			continue
		}
		f.index[key] = i
		names = append(names, key)
	}
	f.names = strings.Join(names, ", ")
	d.fields[t] = f
	return f
}

func pathName(p Path) string {
	if len(p) == 0 {
		return "the text"
	}
	return p.String()
}

func kindName(k hujson.Kind) string {
	switch k {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	}
	return "a truth value"
}
